// Asynchronous log in the format that the operator's file selects: plain text or one JSON object per line. A
// thread of its own writes from a bounded queue to standard error, so that a blocked standard error delays
// nothing.
#pragma once

#include <cstddef>

namespace woadtide::log {

// Receives the lines of core::log_line during its lifetime. Only one may exist at a time.
class AsyncLog {
 public:
  // `queue`: capacity in lines; when it is full, the oldest lines are dropped.
  AsyncLog(bool json, std::size_t queue);
  ~AsyncLog();
  AsyncLog(const AsyncLog&) = delete;
  AsyncLog& operator=(const AsyncLog&) = delete;
  // Switches between text and JSON for all following lines, at any time.
  void set_json(bool json);
};

}  // namespace woadtide::log
