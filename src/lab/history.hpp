// Checker of durable jobs: compares the answers that clients got with the workers' ledgers, and never relies
// on the dispatcher's own claims.
#pragma once

#include <string>
#include <vector>

#include "lab/ledger.hpp"

namespace woadtide::lab {

// One observation of a client. `what`: "asked" (a job was submitted), "told" (a final answer came), "gave-up"
// (no final answer in time).
struct ClientObservation {
  std::string key, what;
  bool once = false;
  int status = 0;
  std::string state, body;
};

// Result of the check: counts of outcomes and of violations.
struct HistoryFindings {
  int jobs = 0, finished = 0, failed = 0, refused = 0, in_doubt = 0;
  int duplicate_payouts = 0;       // at-most-once jobs that were started twice
  int unanswered = 0;              // jobs without a final answer before their client gave up
  int changed_answers = 0;         // jobs with two different final answers
  int contradictions = 0;          // answers that contradict the ledgers
  std::vector<std::string> lines;  // one for each violation

  bool good() const { return duplicate_payouts + unanswered + changed_answers + contradictions == 0; }
  std::string summary() const;
};

// Checks a history; pure.
HistoryFindings check_history(const std::vector<ClientObservation>& seen,
                              const std::vector<LedgerEntry>& ledgers);

// File format: one JSON object per line.
std::string to_json_line(const ClientObservation& seen);
std::vector<ClientObservation> read_history(const std::string& path);
std::string history_path(const std::string& folder);
// Checks the history and the ledgers in the folder of a run.
HistoryFindings check_folder(const std::string& folder);

}  // namespace woadtide::lab
