// Process statistics from /proc, for the benchmarks.
#pragma once

#include <unistd.h>

#include <fstream>
#include <string>

namespace woadtide::bench {

// CPU time of all threads of a process since its start, in microseconds.
inline double cpu_us(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  long ticks = 0;
  for (int i = 1; i <= 15 && stat >> word; ++i)
    if (i >= 14) ticks += std::stol(word);
  return static_cast<double>(ticks) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// The value of one line of /proc/PID/status; empty if there is no such line.
inline std::string status_line(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.starts_with(name + ":")) return line.substr(line.find_first_not_of(" \t", name.size() + 1));
  return {};
}

}  // namespace woadtide::bench
