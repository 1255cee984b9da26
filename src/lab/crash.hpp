// Crash test of durable jobs: kills the dispatcher and test workers at random while clients submit jobs, then
// checks the clients' history against the workers' ledgers.
#pragma once

#include <cstdint>
#include <string>

#include "lab/history.hpp"

namespace woadtide::lab {

// Settings of a crash test.
struct CrashSettings {
  // Path of the dispatcher. One built with the fault VFS also dies within store operations.
  std::string dispatcher_program;
  std::string folder;  // for all files; not deleted
  int kills = 40;
  std::uint64_t seed = 1;
  int clients = 8, workers = 3;
  bool workers_answer_inquiries = true;  // workers answer GET /jobs/KEY
  bool store_faults = true;  // half of the dispatcher processes end at a random operation of the store
  double budget_ms = 4'000;
  bool hot_restarts = true;  // some processes are replaced: a successor starts, then they get SIGTERM
  double mean_kill_interval_ms = 300;  // mean time between two kills, ms
};

// Result of a crash test: the verdict and the number of kills by kind.
struct CrashReport {
  HistoryFindings verdict;
  int dispatcher_kills = 0, store_kills = 0, worker_kills = 0, both_kills = 0, emptied_workers = 0;
  int hot_restarts = 0;
  int unexpected_exits = 0;  // exits that the test did not cause
};

// Result of a fault sweep.
struct FaultSweepReport {
  HistoryFindings verdict;
  int runs = 0, deaths = 0;  // number of runs, and of those in which the dispatcher died
};
// Injects a fault of `kind` ("kill", "torn", "fail", "full") at the Nth operation of the dispatcher's store,
// for N from 1 until a run reaches no fault. Each run submits one at-most-once and one idempotent job.
FaultSweepReport run_fault_sweep(const CrashSettings& settings, const std::string& kind,
                                 const std::string& lab_program);

// Runs the crash test. `lab_program`: path of woadtide-lab, which runs the workers.
CrashReport run_crash_test(const CrashSettings& settings, const std::string& lab_program);

}  // namespace woadtide::lab
