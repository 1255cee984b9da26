#include "core/endpoint.hpp"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/clock.hpp"

namespace woadtide::core {

using woadtide::WorkerState;

namespace {

// 2^53: doubles up to it hold every integer exactly, and convert to std::int64_t.
constexpr double kMaxExactInteger = 9007199254740992.0;

template <typename Value>
Value decode_value(const nlohmann::json& value, const char* field) {
  try {
    return value.get<Value>();
  } catch (const nlohmann::json::type_error&) {
    throw EndpointFieldError(field, std::string("must not be of type ") + value.type_name());
  }
}

template <typename Value>
Value required(const nlohmann::json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) throw EndpointFieldError(field, "is missing");
  return decode_value<Value>(*found, field);
}

template <typename Value>
Value optional(const nlohmann::json& object, const char* field, Value fallback) {
  const auto found = object.find(field);
  return found == object.end() ? fallback : decode_value<Value>(*found, field);
}

std::int64_t optional_integer(const nlohmann::json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) return 0;
  if (found->is_number_float() && !(std::abs(found->get<double>()) <= kMaxExactInteger))
    throw EndpointFieldError(field, "is out of range");
  return decode_value<std::int64_t>(*found, field);
}

WorkerState decode_health(const std::string& health) {
  if (health == "Ready") return WorkerState::ready;
  if (health == "Terminating") return WorkerState::draining;
  if (health == "Gone") return WorkerState::gone;
  throw EndpointFieldError("health", "must be Ready, Terminating or Gone");
}

}  // namespace

bool operator==(const Endpoint& left, const Endpoint& right) {
  const woadtide::ListEntry& a = left.entry;
  const woadtide::ListEntry& b = right.entry;
  return a.worker == b.worker && left.address == right.address && a.state == b.state && a.zone == b.zone &&
         a.kind == b.kind && a.cell == b.cell && a.weight == b.weight && a.started == b.started;
}

Endpoint decode_endpoint(const nlohmann::json& object) {
  if (!object.is_object()) throw EndpointFieldError("hosts", "contains an entry that is not an object");
  Endpoint endpoint;
  endpoint.entry.worker = required<std::string>(object, "host");
  endpoint.entry.state = decode_health(required<std::string>(object, "health"));
  endpoint.entry.zone = optional<std::string>(object, "site", "");
  endpoint.entry.kind = optional<std::string>(object, "class", "");
  endpoint.entry.cell = optional_integer(object, "block");
  endpoint.entry.weight = optional(object, "share", 1.0);
  const double born = optional(object, "born_ms", 0.0);
  if (born > 0) endpoint.entry.started = to_micros(born);
  endpoint.address = required<std::string>(object, "dial");
  return endpoint;
}

}  // namespace woadtide::core
