// Checker of durable jobs: compares the answers that clients got with the workers' ledgers, and never relies
// on the dispatcher's own claims.
#pragma once

#include <string>
#include <vector>

#include "lab/ledger.hpp"

namespace woadtide::lab {

// One observation of a client. `what`: "asked" (a job was submitted), "told" (a final answer came), "gave-up"
// (no final answer in time).
struct Seen {
  std::string key, what;
  bool once = false;
  int status = 0;
  std::string state, body;
};

// Result of the check: counts of outcomes and of violations.
struct Verdict {
  int jobs = 0, finished = 0, failed = 0, refused = 0, in_doubt = 0;
  int twice = 0;                   // at-most-once jobs that were started twice
  int unanswered = 0;              // jobs without a final answer before their client gave up
  int changed = 0;                 // jobs with two different final answers
  int contradictions = 0;          // answers that contradict the ledgers
  std::vector<std::string> lines;  // one for each violation

  bool good() const { return twice + unanswered + changed + contradictions == 0; }
  std::string summary() const;
};

// Checks a history; pure.
Verdict judge(const std::vector<Seen>& seen, const std::vector<Entry>& ledgers);

// File format: one JSON object per line.
std::string line_of(const Seen& seen);
std::vector<Seen> read_history(const std::string& path);
std::string history_of(const std::string& folder);
// Checks the history and the ledgers in the folder of a run.
Verdict judge_folder(const std::string& folder);

}  // namespace woadtide::lab
