// The checker of a run of many processes: from what clients saw, what discovery told and what the workers'
// ledgers hold. It knows the schedule, and no dispatcher's word.
#pragma once

#include <string>
#include <vector>

#include "lab/cluster/plan.hpp"
#include "lab/ledger.hpp"

namespace woadtide::lab::cluster {

struct Books {
  std::vector<Asked> asked;
  std::vector<Told> told;
  std::map<std::string, std::vector<Entry>> ledgers;  // by worker
};

struct Findings {
  int queries = 0, served = 0, refused = 0, failed = 0;
  int excused = 0;                 // without an answer, by a fault that was in force
  int lost = 0;                    // without an answer, and nothing excuses it
  int late = 0;                    // answered behind their time, and nothing excuses it
  int twice = 0;                   // payouts that began twice
  int untrue = 0;                  // answers that the ledgers contradict
  int late_sends = 0;              // to a worker whose drain was told longer ago than the grace
  int crashes = 0;                 // dispatchers that ended by themselves, or badly when they were told to
  std::vector<std::string> lines;  // each of them

  bool good() const { return lost + late + twice + untrue + late_sends + crashes == 0; }
  std::string summary() const;
};

Findings judge(const Plan& plan, const Books& books);

// A run's files: asked-*.jsonl, told.jsonl, w*.ledger.
Books read_books(const Plan& plan, const std::string& folder);

}  // namespace woadtide::lab::cluster
