// A folder for files of one run, removed at its end.
#pragma once

#include <string>

namespace woadtide::lab::scale {

class ScratchFolder {
 public:
  // A new one in `parent`, which must be there; empty: in the system's folder for temporary files.
  explicit ScratchFolder(const std::string& parent);
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace woadtide::lab::scale
