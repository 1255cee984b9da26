// The log: one line per event, on standard error. docs/on-call.md lists the lines.
#pragma once

#include <string_view>

namespace woadtide::core {

// Writes a line with the current time in front. May be called from any thread.
void log_line(std::string_view text);
// Receives the lines of the log, without the time.
using LogSink = void (*)(std::string_view text);
// Sends the lines to `sink` from now on; nullptr: to standard error again. To be called before the first
// thread is started.
void set_log_sink(LogSink sink);

// Rate limit for log lines that could come by the hundred: one in five seconds. Not thread-safe.
class LogRateLimit {
 public:
  // Returns whether a line may be written at `now` (ms), and if so, counts it.
  bool allow(double now) {
    if (now < next_allowed_) return false;
    next_allowed_ = now + 5'000;
    return true;
  }

 private:
  double next_allowed_ = 0;
};

}  // namespace woadtide::core
