// Kills the dispatcher and stand-in workers at random while clients bring jobs, then judges what was told and
// done.
#pragma once

#include <cstdint>
#include <string>

#include "lab/history.hpp"

namespace woadtide::lab {

struct CrashSettings {
  std::string dispatcher_program;  // the program; one built with the fault VFS also dies within its store's
                                   // operations
  std::string folder;              // for all files; kept
  int kills = 40;
  std::uint64_t seed = 1;
  int clients = 8, workers = 3;
  bool workers_answer_inquiries = true;  // workers can be asked about jobs
  bool store_faults = true;  // half of the dispatcher's starts end at a random operation of the store
  double budget_ms = 4'000;
  bool hot_restarts = true;  // some processes are replaced in order: a next one beside them, then SIGTERM
  double mean_kill_interval_ms = 300;  // mean time between two kills
};

struct CrashReport {
  Verdict verdict;
  int dispatcher_kills = 0, store_kills = 0, worker_kills = 0, both_kills = 0, emptied_workers = 0;
  int hot_restarts = 0;
  int unexpected_exits = 0;  // ends that nobody asked for
};

// Every fault of `kind` ("kill", "torn", "fail", "full") at the Nth operation of the dispatcher's store, for
// N from 1 until a run passes untouched: a payout and a safe job in each. `runs`: how many there were.
struct FaultSweepReport {
  Verdict verdict;
  int runs = 0, deaths = 0;  // runs, and those in which the dispatcher died of it
};
FaultSweepReport run_fault_sweep(const CrashSettings& settings, const std::string& kind,
                                 const std::string& lab_program);

CrashReport run_crash_test(const CrashSettings& settings, const std::string& lab_program);

}  // namespace woadtide::lab
