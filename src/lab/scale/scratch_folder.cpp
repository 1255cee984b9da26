#include "lab/scale/scratch_folder.hpp"

#include <stdlib.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

namespace woadtide::lab::scale {

namespace fs = std::filesystem;

ScratchFolder::ScratchFolder(const std::string& parent)
    : path_((parent.empty() ? fs::temp_directory_path() : fs::path(parent)) / "woadtide-scale-XXXXXX") {
  if (!::mkdtemp(path_.data())) throw std::system_error(errno, std::generic_category(), path_);
}

ScratchFolder::~ScratchFolder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
}

}  // namespace woadtide::lab::scale
