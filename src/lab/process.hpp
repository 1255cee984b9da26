// Child processes of tests, and free ports for them. A process that still runs is killed by the destructor.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace woadtide::lab {

// A child process.
class ChildProcess {
 public:
  ChildProcess() = default;
  // Starts arguments[0] with the current environment and additional variables. Standard output and error are
  // appended to `log`. Throws std::system_error.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::map<std::string, std::string>& environment, const std::string& log);
  ~ChildProcess() { kill(); }
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  // Sends SIGKILL and waits for the exit.
  void kill();
  // Sends SIGTERM and waits for the exit. Returns the status of waitpid.
  int terminate();
  // Returns the status of waitpid if the process has exited by itself.
  std::optional<int> poll_exit();
  bool is_running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

// Returns loopback ports on which nothing listens now.
std::vector<int> free_ports(std::size_t count);

}  // namespace woadtide::lab
