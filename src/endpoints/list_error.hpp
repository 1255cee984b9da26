// Why a text of service discovery was refused.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace woadtide::endpoints {

enum class EndpointListErrorKind {
  not_json,
  wrong_field,         // missing, of the wrong type or value, or given twice
  duplicate_endpoint,  // twice in one update, alike or contradictory
  too_many_endpoints,
  update_too_large,
  entry_too_large,
  truncated,  // the body ended within an object
  too_deep,
};

struct EndpointListError {
  EndpointListErrorKind kind = EndpointListErrorKind::not_json;
  std::string text;                  // one line for the log
  std::string field;                 // of `wrong_field`
  std::optional<std::size_t> entry;  // counted from 1, where it lies in an entry
};

}  // namespace woadtide::endpoints
