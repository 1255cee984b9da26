// One endpoint of service discovery's list, and its decoding from JSON. All readers of lists, whole ones or
// entry by entry, decode the entries here.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// A worker as service discovery lists it, with its address.
struct Endpoint {
  woadtide::ListEntry entry;
  std::string address;  // address (host:port) at which this dispatcher reaches it

  // Returns the id of the worker.
  const std::string& name() const { return entry.worker; }
};

// Compares all fields that service discovery sends.
bool operator==(const Endpoint& left, const Endpoint& right);

// Thrown where a field of an entry is missing or has an invalid value.
class EndpointFieldError : public std::runtime_error {
 public:
  EndpointFieldError(std::string field, const std::string& problem)
      : std::runtime_error("'" + field + "' " + problem), field_(std::move(field)) {}
  // Returns the name of the field.
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

// Decodes one entry of a list. Unknown fields are ignored. Throws EndpointFieldError.
Endpoint decode_endpoint(const nlohmann::json& object);

}  // namespace woadtide::core
