// Kills the dispatcher and stand-in workers at random while clients bring jobs, then judges what was told and
// done.
#pragma once

#include <cstdint>
#include <string>

#include "lab/history.hpp"

namespace woadtide::lab {

struct CrashSettings {
  std::string
      dispatcher;      // the program; one built with the fault VFS also dies within its store's operations
  std::string folder;  // for all files; kept
  int kills = 40;
  std::uint64_t seed = 1;
  int clients = 8, workers = 3;
  bool answers = true;  // workers can be asked about jobs
  bool faults = true;   // half of the dispatcher's starts end at a random operation of the store
  double budget_ms = 4'000;
  double gap_ms = 300;  // mean time between two kills
};

struct CrashReport {
  Verdict verdict;
  int dispatcher_kills = 0, store_kills = 0, worker_kills = 0, both_kills = 0, emptied = 0;
  int crashes = 0;  // ends that nobody asked for
};

CrashReport run_crash(const CrashSettings& settings, const std::string& self);

}  // namespace woadtide::lab
