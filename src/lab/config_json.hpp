// A config as the platform would give it to one dispatcher of the laboratory: two classes, one safe and one
// payout.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace woadtide::lab {

// `known`: discovery's list, JSON. Port 0 takes a free one.
inline nlohmann::json config_json(const std::string& known, const std::string& discovery, int port,
                                  int sockets = 256, std::int64_t most_retry_us = 500'000) {
  using nlohmann::json;
  const json limits = {
      {"TryLimit", 5}, {"RetryAfter", true}, {"MaxRetryAfterUs", most_retry_us}, {"DialTimeoutUs", 250'000}};
  const json safe = {
      {"Name", "receipt-check"}, {"Effect", "idempotent"}, {"DeadlineUs", 8'000'000}, {"PromiseUs", 400'000}};
  const json once = {{"Name", "refund-payout"},
                     {"Effect", "at_most_once"},
                     {"DeadlineUs", 5'000'000},
                     {"PromiseUs", 400'000}};
  return {{"name", "n0"},
          {"listen", "127.0.0.1:" + std::to_string(port)},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", sockets}}},
          {"known", json::parse(known)},
          {"settings",
           {{"MyZone", "a"},
            {"Discovery", "on_request"},
            {"Invariants", {{"MustAskInUs", 10'000'000}}},
            {"PolicyLimits", limits},
            {"Categories", {safe, once}}}}};
}

}  // namespace woadtide::lab
