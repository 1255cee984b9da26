// The operator's own file, TOML: what is on beside the platform's part. All of it is off where there is no
// file.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace woadtide::config {

struct JobsPart {
  bool enabled = false;
  std::string listen = "127.0.0.1:8300";
  std::string operators;  // empty: none
  std::string folder;
  std::int64_t most_mb = 1'024;
  std::int64_t most_open = 10'000;
  std::int64_t links = 64;
  std::int64_t lease_ms = 10'000;
  std::int64_t ask_every_ms = 250;
  std::int64_t early_ms = 250;
  std::int64_t keep_hours = 168;
  std::vector<std::string> answering;  // kinds of workers
};

struct LogPart {
  bool json = false;
  std::int64_t queue = 8'192;  // lines
};

struct OperatorFile {
  JobsPart jobs;
  LogPart log;
};

// Throws std::runtime_error with one line: file, line, key and what was expected.
OperatorFile load_operator_file(const std::string& path);

}  // namespace woadtide::config
