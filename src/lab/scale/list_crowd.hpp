// Many decision modules that ask one source for the endpoint list, on a made-up clock: how many calls come
// due in one second after all have started at once, and when all have the list.
//
// The source answers one call at a time and works on those that gave up, too.
#pragma once

#include <cstdint>

#include "woadtide/balance.hpp"

namespace woadtide::lab::scale {

struct ListCrowd {
  int dispatchers = 0;
  Micros call_time{0};                             // the source's work for one call
  Micros call_patience = std::chrono::seconds(2);  // then the caller gives up
  Micros must_ask_within = std::chrono::seconds(10);
  Micros run_time = std::chrono::seconds(120);
};

struct ListCrowdResult {
  int calls = 0, failed_calls = 0;
  int most_calls_in_a_second = 0;
  int subscribed = 0;           // at the end
  double all_subscribed_s = 0;  // since the start; the whole run's time where some never were
};
ListCrowdResult simulate(const ListCrowd& crowd, std::uint64_t seed);

}  // namespace woadtide::lab::scale
