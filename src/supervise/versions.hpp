// Copies of programs and their settings, by what they hold: a version can be gone back to though its files
// were replaced meanwhile.
#pragma once

#include <string>
#include <vector>

#include "supervise/supervise.hpp"

namespace woadtide::supervise {

class Versions {
 public:
  explicit Versions(std::string folder) : folder_(std::move(folder)) {}
  // Copies both files; nothing where the same are there. Throws std::runtime_error with one line.
  Version take(const std::string& program, const std::string& settings) const;
  // All but those: what was copied for a change that is over.
  void keep_only(const std::vector<std::string>& ids) const;

 private:
  const std::string folder_;
};

}  // namespace woadtide::supervise
