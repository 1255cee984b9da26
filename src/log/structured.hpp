// The log as the operator's file wants it: text as ever or an object a line, written by a thread of its own
// from a bounded queue. A standard error that nobody reads holds nothing up.
#pragma once

#include <cstddef>

namespace woadtide::log {

// Takes over core::log_line until the object goes. One at a time.
class Structured {
 public:
  Structured(bool json, std::size_t queue);
  ~Structured();
  Structured(const Structured&) = delete;
  Structured& operator=(const Structured&) = delete;
  // From here on, at any time.
  void set_json(bool json);
};

}  // namespace woadtide::log
