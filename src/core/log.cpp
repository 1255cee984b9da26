#include "core/log.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

namespace woadtide::core {

namespace {
LogSink log_sink = nullptr;
}

void set_log_sink(LogSink sink) { log_sink = sink; }

void log_line(std::string_view text) {
  if (log_sink) return log_sink(text);
  const auto now = std::chrono::system_clock::now();
  const std::time_t second = std::chrono::system_clock::to_time_t(now);
  const auto epoch_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  std::tm utc{};
  gmtime_r(&second, &utc);
  char stamp[40];
  const std::size_t length = std::strftime(stamp, sizeof stamp, "%FT%T", &utc);
  std::snprintf(stamp + length, sizeof stamp - length, ".%03dZ ", static_cast<int>(epoch_ms % 1000));
  std::string line = stamp;
  line.append(text).push_back('\n');
  // A single write, so that lines of several threads do not mix. A failure to write is ignored.
  if (::write(STDERR_FILENO, line.data(), line.size()) < 0) return;
}

}  // namespace woadtide::core
