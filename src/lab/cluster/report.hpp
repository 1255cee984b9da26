// HTML report of a run: for each dispatcher a timeline of what its clients saw, with the faults.
#pragma once

#include <string>

#include "lab/cluster/judge.hpp"

namespace woadtide::lab::cluster {

// Writes the report to `path`.
void write_report(const Plan& plan, const RunRecords& records, const Findings& findings,
                  const std::string& path);

}  // namespace woadtide::lab::cluster
