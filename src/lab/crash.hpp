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
  bool upgrades = true;  // some processes are replaced in order: a next one beside them, then SIGTERM
  double gap_ms = 300;   // mean time between two kills
};

struct CrashReport {
  Verdict verdict;
  int dispatcher_kills = 0, store_kills = 0, worker_kills = 0, both_kills = 0, emptied = 0;
  int upgrades = 0;
  int crashes = 0;  // ends that nobody asked for
};

// Every fault of `kind` ("kill", "torn", "fail", "full") at the Nth operation of the dispatcher's store, for
// N from 1 until a run passes untouched: a payout and a safe job in each. `runs`: how many there were.
struct PointsReport {
  Verdict verdict;
  int runs = 0, ended = 0;  // runs, and those in which the dispatcher died of it
};
PointsReport run_points(const CrashSettings& settings, const std::string& kind, const std::string& self);

CrashReport run_crash(const CrashSettings& settings, const std::string& self);

}  // namespace woadtide::lab
