// Simulates many decision modules that request the endpoint list from one source (a thundering herd), on a
// simulated clock: how many calls arrive within one second after all have started at once, and when all have
// the list.
//
// The source answers one call at a time and also works on calls whose caller has given up.
#pragma once

#include <cstdint>

#include "woadtide/balance.hpp"

namespace woadtide::lab::scale {

// The simulated dispatchers and their source.
struct ListCrowdLoad {
  int dispatchers = 0;
  Micros call_time{0};                            // service time of one call at the source
  Micros call_timeout = std::chrono::seconds(2);  // after it the caller gives up
  Micros must_ask_within = std::chrono::seconds(10);
  Micros run_time = std::chrono::seconds(120);
};

// What the calls came to.
struct ListCrowdResult {
  int calls = 0, failed_calls = 0;
  int max_calls_per_second = 0;
  int subscribed = 0;           // dispatchers that have the list at the end
  double all_subscribed_s = 0;  // seconds from the start; the run time if some never subscribed
};
// Runs the simulation. The result depends on the arguments only.
ListCrowdResult simulate(const ListCrowdLoad& load, std::uint64_t seed);

}  // namespace woadtide::lab::scale
