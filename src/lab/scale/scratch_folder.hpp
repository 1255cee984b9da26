// A temporary folder for the files of one run.
#pragma once

#include <string>

namespace woadtide::lab::scale {

// Creates a folder and removes it, with its contents, on destruction.
class ScratchFolder {
 public:
  // Creates the folder in `parent`, which must exist; empty: in the system's temporary folder. Throws
  // std::system_error if it cannot be created.
  explicit ScratchFolder(const std::string& parent);
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace woadtide::lab::scale
