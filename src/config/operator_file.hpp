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

// One dispatcher's parent, docs/supervise.md.
struct SupervisePart {
  std::string folder, config, control;  // all three wanted where `woadtide supervise` is to run
  std::string zone = "";
  std::vector<std::string> management;  // two addresses
  std::string program, settings;        // of the first start; empty: this program, no file
  double ready_ms = 10'000, end_ms = 8'000, good_ms = 30'000;
  double backoff_ms = 100, most_backoff_ms = 5'000;
  std::int64_t crashes = 3;
};

// Changes of the fleet, docs/rollout.md.
struct RolloutPart {
  struct Member {
    std::string name, zone, control;
  };
  std::string folder;
  std::vector<Member> members;
  std::vector<int> stages;  // empty: one, a quarter, all
  double turn_ms = 1'000;   // gap between two looks at all members
  double look_ms = 10'000, bake_ms = 60'000, patience_ms = 600'000, step_ms = 30'000;
  std::int64_t tries = 3;
  double margin = 0.02, false_stop = 0.01, false_go = 0.05;
};

// Of the file. One step apart they go together: an older file is whole without the newer keys, and in a newer
// one the keys that are not known are passed over.
constexpr std::int64_t kFileFormat = 2;

struct OperatorFile {
  std::int64_t format = kFileFormat;
  std::vector<std::string> passed_over;  // keys of a newer file
  JobsPart jobs;
  LogPart log;
  SupervisePart supervise;
  RolloutPart rollout;
};

// Throws std::runtime_error with one line: file, line, key and what was expected.
OperatorFile load_operator_file(const std::string& path);

}  // namespace woadtide::config
