// The operator's configuration file (TOML): features beyond those that the platform configures. All of them
// are off if there is no file.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace woadtide::config {

// Section [jobs]: the durable job service. Members are named like their keys.
struct JobsSettings {
  bool enabled = false;
  std::string listen = "127.0.0.1:8300";
  std::string operators;            // address of the operators' listener; empty if there is none
  std::string folder;               // directory of the store
  std::int64_t most_mb = 1'024;     // maximum size of the store on disk
  std::int64_t most_open = 10'000;  // maximum number of open jobs
  std::int64_t links = 64;          // maximum number of client links
  std::int64_t lease_ms = 10'000;
  std::int64_t ask_every_ms = 250;
  std::int64_t early_ms = 250;
  std::int64_t keep_hours = 168;
  std::vector<std::string> answering_kinds;  // kinds of workers that answer inquiries about jobs
};

// Section [log].
struct LogSettings {
  bool json = false;           // one JSON object per line instead of text
  std::int64_t queue = 8'192;  // capacity in lines
};

// Section [supervise]: the supervisor of one dispatcher. See docs/supervise.md.
struct SuperviseSettings {
  std::string folder, config, control;  // all three are required by `woadtide supervise`
  std::string zone = "";
  std::vector<std::string> management;  // two addresses
  std::string program, settings;        // for the first start; empty: this program, and no operator's file
  double ready_ms = 10'000, end_ms = 8'000, good_ms = 30'000;
  double backoff_ms = 100, most_backoff_ms = 5'000;
  std::int64_t crashes = 3;
};

// Section [rollout]: staged changes of the fleet. See docs/rollout.md.
struct RolloutSettings {
  // A dispatcher of the fleet. `control`: address of its supervisor.
  struct Member {
    std::string name, zone, control;
  };
  std::string folder;
  std::vector<Member> members;
  std::vector<int> stages;  // cumulative number of changed members per stage; empty: one, a quarter, all
  double turn_ms = 1'000;   // interval between two polls of all members
  // History used as the baseline; minimum and maximum duration of a stage; time limit of an order.
  double look_ms = 10'000, bake_ms = 60'000, patience_ms = 600'000, step_ms = 30'000;
  std::int64_t tries = 3;
  double margin = 0.02, false_stop = 0.01, false_go = 0.05;
};

// Format version of the file. Versions one step apart are compatible: an older file is complete without the
// newer keys, and in a newer file the unknown keys are ignored.
constexpr std::int64_t kFileFormat = 2;

// The whole file.
struct OperatorFile {
  std::int64_t format = kFileFormat;
  std::vector<std::string> ignored_keys;  // unknown keys of a newer format
  JobsSettings jobs;
  LogSettings log;
  SuperviseSettings supervise;
  RolloutSettings rollout;
};

// Reads and validates the file. Throws std::runtime_error with one line of text that names the file, line,
// key and what was expected.
OperatorFile load_operator_file(const std::string& path);

}  // namespace woadtide::config
