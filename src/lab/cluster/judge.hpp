// Checker of a multi-process run. It judges from the records of clients and discovery, the workers' ledgers
// and the fault schedule, and never from a dispatcher's own claims.
#pragma once

#include <string>
#include <vector>

#include "lab/cluster/plan.hpp"
#include "lab/ledger.hpp"

namespace woadtide::lab::cluster {

// Records that the processes of a run left.
struct RunRecords {
  std::vector<QueryRecord> queries;
  std::vector<DiscoveryNotice> notices;
  std::map<std::string, std::vector<LedgerEntry>> ledgers;  // by worker
};

// Result of the check: counts of outcomes and of violations.
struct Findings {
  int queries = 0, served = 0, refused = 0, failed = 0;
  int excused = 0;            // without an answer because of an active fault
  int lost = 0;               // without an answer, and no fault excuses it
  int late = 0;               // answered after the time limit, and no fault excuses it
  int duplicate_payouts = 0;  // payouts that were started twice
  int contradictions = 0;     // answers that contradict the ledgers
  int late_sends = 0;         // to a worker whose drain was announced longer ago than the grace period
  int crashes = 0;            // dispatchers that exited unexpectedly, or with an error when they were stopped
  std::vector<std::string> lines;  // one for each violation

  bool good() const { return lost + late + duplicate_payouts + contradictions + late_sends + crashes == 0; }
  std::string summary() const;
};

// Checks a run; pure.
Findings check_run(const Plan& plan, const RunRecords& records);

// Reads the files asked-*.jsonl, told.jsonl and w*.ledger of a run folder.
RunRecords read_run_records(const Plan& plan, const std::string& folder);

}  // namespace woadtide::lab::cluster
