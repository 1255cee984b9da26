// A simulated fleet whose two cohorts are compared: for the tests of the comparison and for its benchmark.
#pragma once

#include <algorithm>
#include <boost/random/binomial_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <pcg_random.hpp>
#include <string>
#include <utility>

#include "verdict/verdict.hpp"

namespace woadtide::verdict {

// Twelve dispatchers, one or more of them changed, with traffic that is spread unevenly and varies, and with
// faults that hit both cohorts. The first members are the defects of the changed cohort.
struct SimulatedFleet {
  double extra_failed_share = 0,
         extra_slow_share = 0;  // share of queries that fails in addition; relative increase of slow queries
  double restarts = 0;          // per second and changed dispatcher
  double leak_mb_per_s = 0;
  bool shared_faults = true;
  int changed_dispatchers = 1;
  double queries_per_s = 120;

  // Returns the slice of second `at`.
  Slice next_slice(pcg32& random, int at) const {
    const auto uniform = [&] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
    // A lost zone or a release: for one eighth of the time both cohorts have a fault.
    const bool fault = shared_faults && at / 10 % 8 == 3;
    // The changed cohort's share of the traffic varies from second to second.
    const double changed_share = changed_dispatchers / 12.0 * (0.5 + uniform());
    const auto side = [&](bool is_changed) {
      CohortStats stats;
      stats.dispatchers = is_changed ? changed_dispatchers : 12 - changed_dispatchers;
      stats.memory_mb = 30 + (is_changed ? leak_mb_per_s * at : 0);
      for (const auto& [name, share_of_queries] :
           {std::pair{"receipt-check", 0.62}, std::pair{"refund-payout", 0.38}}) {
        Counts counts;
        const double mean =
            queries_per_s * share_of_queries * (is_changed ? changed_share : 1 - changed_share);
        counts.accepted = boost::random::poisson_distribution<int>(std::max(mean, 0.01))(random);
        const auto draw = [&](double chance) {
          return boost::random::binomial_distribution<int>(counts.accepted, std::min(chance, 1.0))(random);
        };
        const bool has_defect = is_changed && std::string(name) == "refund-payout";
        counts.failed = draw((fault ? 0.3 : 0.002) + (has_defect ? extra_failed_share : 0));
        counts.refused = draw(fault ? 0.2 : 0.01);
        counts.served_late = draw(fault ? 0.2 : 0.03);
        counts.slow[0] = draw(0.05 * (fault ? 4 : 1) * (is_changed ? 1 + extra_slow_share : 1));
        counts.slow[1] = draw(0.01 * (fault ? 6 : 1) * (is_changed ? 1 + extra_slow_share : 1));
        stats.classes[name] = counts;
      }
      if (is_changed && restarts > 0)
        stats.restarts = boost::random::poisson_distribution<int>(restarts * changed_dispatchers)(random);
      return stats;
    };
    const CohortStats changed = side(true);
    return {{"a", {changed, side(false)}}};
  }
};

}  // namespace woadtide::verdict
