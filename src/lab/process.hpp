// Child processes of the laboratory, and free ports for them. Whatever is still alive ends with its object.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace woadtide::lab {

class Process {
 public:
  Process() = default;
  // Standard output and error are appended to `log`. Throws std::system_error.
  Process(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment,
          const std::string& log);
  ~Process() { kill(); }
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  // SIGKILL, and waits for the end.
  void kill();
  // SIGTERM, and waits for the end; its status as waitpid gives it.
  int end();
  // The status, if it has ended by itself.
  std::optional<int> ended();
  bool alive() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

// Ports that nobody listens at now.
std::vector<int> free_ports(std::size_t count);

}  // namespace woadtide::lab
