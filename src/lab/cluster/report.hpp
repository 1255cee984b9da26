// One HTML file of a run: a time line for each dispatcher, faults over the service that its clients saw.
#pragma once

#include <string>

#include "lab/cluster/judge.hpp"

namespace woadtide::lab::cluster {

void write_report(const Plan& plan, const Books& books, const Findings& found, const std::string& path);

}  // namespace woadtide::lab::cluster
