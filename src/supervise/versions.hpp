// Copies of programs and their settings, addressed by content: a version can be started again although its
// original files have been replaced.
#pragma once

#include <string>
#include <vector>

#include "supervise/supervise.hpp"

namespace woadtide::supervise {

class Versions {
 public:
  explicit Versions(std::string folder) : folder_(std::move(folder)) {}
  // Copies both files, unless a copy with the same contents exists. Throws std::runtime_error with one line.
  Version copy(const std::string& program, const std::string& settings) const;
  // Deletes all copies except those with the given ids.
  void keep_only(const std::vector<std::string>& ids) const;

 private:
  const std::string folder_;
};

}  // namespace woadtide::supervise
