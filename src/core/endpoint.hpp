// One endpoint of service discovery's list, and its decoding from JSON. Whoever reads a list, whole or entry
// by entry, decodes its entries here.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// A worker as discovery lists it, and where it is reached.
struct Endpoint {
  woadtide::ListEntry entry;
  std::string dial;  // host:port, as this dispatcher reaches it

  const std::string& name() const { return entry.worker; }
};

// Equal in every field that discovery tells.
bool operator==(const Endpoint& left, const Endpoint& right);

// A field of an entry is missing, or is not what discovery may write there.
class EndpointFieldError : public std::runtime_error {
 public:
  EndpointFieldError(std::string field, const std::string& problem)
      : std::runtime_error("'" + field + "' " + problem), field_(std::move(field)) {}
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

// Throws EndpointFieldError. Unknown fields are passed over.
Endpoint decode_endpoint(const nlohmann::json& object);

}  // namespace woadtide::core
