// The log: one line for each event of interest, on standard error. docs/on-call.md lists the lines.
#pragma once

#include <string_view>

namespace woadtide::core {

void log_line(std::string_view text);
// From here on lines go there instead, without time; nullptr: to standard error again. Before the first
// thread.
using LogSink = void (*)(std::string_view text);
void set_log_sink(LogSink sink);

// For lines that could come by the hundred, by one thread at a time: one in five seconds is enough.
class Seldom {
 public:
  bool due(double now) {
    if (now < next_) return false;
    next_ = now + 5'000;
    return true;
  }

 private:
  double next_ = 0;
};

}  // namespace woadtide::core
