// Errors in the endpoint list that service discovery sends.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace woadtide::endpoints {

// Kind of error. README.md says what to do about each.
enum class EndpointListErrorKind {
  not_json,
  wrong_field,         // missing, wrong type or value, or given twice
  duplicate_endpoint,  // a name twice in one update, even if the entries are equal
  too_many_endpoints,
  update_too_large,
  entry_too_large,
  truncated,  // the body ended within an object
  too_deep,
};

// An error and where it is.
struct EndpointListError {
  EndpointListErrorKind kind = EndpointListErrorKind::not_json;
  std::string text;                  // one line for the log
  std::string field;                 // for `wrong_field`
  std::optional<std::size_t> entry;  // number of the entry, from 1, if the error is in one
};

}  // namespace woadtide::endpoints
