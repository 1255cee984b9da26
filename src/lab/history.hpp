// The checker: judges what clients were told and what workers' ledgers say, never the dispatcher's own word.
#pragma once

#include <string>
#include <vector>

#include "lab/ledger.hpp"

namespace woadtide::lab {

// One thing that a client saw. `what`: "asked" (a job, first of all), "told" (an answer that is final),
// "gave-up".
struct Seen {
  std::string key, what;
  bool once = false;
  int status = 0;
  std::string state, body;
};

struct Verdict {
  int jobs = 0, finished = 0, failed = 0, refused = 0, in_doubt = 0;
  int twice = 0;                   // at-most-once jobs that began twice
  int unanswered = 0;              // without a final answer before their client gave up
  int changed = 0;                 // told one end, then another
  int contradictions = 0;          // answers that the ledgers contradict
  std::vector<std::string> lines;  // each of them

  bool good() const { return twice + unanswered + changed + contradictions == 0; }
  std::string summary() const;
};

Verdict judge(const std::vector<Seen>& seen, const std::vector<Entry>& ledgers);

// As a file, a JSON object a line.
std::string line_of(const Seen& seen);
std::vector<Seen> read_history(const std::string& path);
std::string history_of(const std::string& folder);
// The history and the ledgers that a run left in its folder.
Verdict judge_folder(const std::string& folder);

}  // namespace woadtide::lab
