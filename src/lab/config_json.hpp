// Test configuration of a dispatcher, in the form that the platform writes: one idempotent and one
// at-most-once class.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace woadtide::lab {

// Returns the configuration. `known_endpoints`: an endpoint list as JSON. Port 0 selects a free port.
inline nlohmann::json config_json(const std::string& known_endpoints, const std::string& discovery_address,
                                  int port, int max_sockets = 256,
                                  std::int64_t max_retry_after_us = 500'000) {
  using nlohmann::json;
  const json limits = {{"TryLimit", 5},
                       {"RetryAfter", true},
                       {"MaxRetryAfterUs", max_retry_after_us},
                       {"DialTimeoutUs", 250'000}};
  const json idempotent_class = {
      {"Name", "receipt-check"}, {"Effect", "idempotent"}, {"DeadlineUs", 8'000'000}, {"PromiseUs", 400'000}};
  const json at_most_once_class = {{"Name", "refund-payout"},
                                   {"Effect", "at_most_once"},
                                   {"DeadlineUs", 5'000'000},
                                   {"PromiseUs", 400'000}};
  return {{"name", "n0"},
          {"listen", "127.0.0.1:" + std::to_string(port)},
          {"discovery", discovery_address},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", max_sockets}}},
          {"known", json::parse(known_endpoints)},
          {"settings",
           {{"MyZone", "a"},
            {"Discovery", "on_request"},
            {"Invariants", {{"MustAskInUs", 10'000'000}}},
            {"PolicyLimits", limits},
            {"Categories", {idempotent_class, at_most_once_class}}}}};
}

}  // namespace woadtide::lab
