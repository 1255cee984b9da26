// A made-up fleet whose two cohorts are compared: for the tests of the verdict, and for its measurement.
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

// Twelve dispatchers, one or more of them changed, with unlike traffic that moves, and troubles of both.
struct World {
  double failed = 0, slow = 0;  // more of it on the fresh side: share of queries, factor on what is slow
  double restarts = 0;          // a second, at each fresh dispatcher
  double leak_mb = 0;           // a second
  bool troubles = true;
  int fresh = 1;
  double rate = 120;  // queries a second, in all

  Slice second(pcg32& random, int at) const {
    const auto share = [&] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
    // A lost zone, a release: one second in eight is bad for all.
    const bool bad = troubles && at / 10 % 8 == 3;
    const double part = fresh / 12.0 * (0.5 + share());  // few queries or many, from second to second
    const auto side = [&](bool is_fresh) {
      Side one;
      one.dispatchers = is_fresh ? fresh : 12 - fresh;
      one.memory_mb = 30 + (is_fresh ? leak_mb * at : 0);
      for (const auto& [name, of_all] :
           {std::pair{"receipt-check", 0.62}, std::pair{"refund-payout", 0.38}}) {
        Counts counts;
        const double mean = rate * of_all * (is_fresh ? part : 1 - part);
        counts.asked = boost::random::poisson_distribution<int>(std::max(mean, 0.01))(random);
        const auto some = [&](double chance) {
          return boost::random::binomial_distribution<int>(counts.asked, std::min(chance, 1.0))(random);
        };
        const bool hit = is_fresh && std::string(name) == "refund-payout";
        counts.failed = some((bad ? 0.3 : 0.002) + (hit ? failed : 0));
        counts.refused = some(bad ? 0.2 : 0.01);
        counts.late = some(bad ? 0.2 : 0.03);
        counts.slow[0] = some(0.05 * (bad ? 4 : 1) * (is_fresh ? 1 + slow : 1));
        counts.slow[1] = some(0.01 * (bad ? 6 : 1) * (is_fresh ? 1 + slow : 1));
        one.classes[name] = counts;
      }
      if (is_fresh && restarts > 0)
        one.restarts = boost::random::poisson_distribution<int>(restarts * fresh)(random);
      return one;
    };
    const Side changed = side(true);
    return {{"a", {changed, side(false)}}};
  }
};

}  // namespace woadtide::verdict
