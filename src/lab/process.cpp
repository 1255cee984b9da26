#include "lab/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>

#include "net/socket.hpp"

namespace woadtide::lab {

Process::Process(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment,
                 const std::string& log) {
  std::vector<char*> arguments, variables;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  std::vector<std::string> texts;
  for (char** one = environ; *one; ++one) texts.emplace_back(*one);
  for (const auto& [name, value] : environment) texts.push_back(name + '=' + value);
  for (const std::string& text : texts) variables.push_back(const_cast<char*>(text.c_str()));
  variables.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 2, 1);
  const int error =
      ::posix_spawn(&pid_, words.at(0).c_str(), &files, nullptr, arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    pid_ = -1;
    throw std::system_error(error, std::generic_category(), words.at(0));
  }
}

Process::Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

Process& Process::operator=(Process&& other) noexcept {
  kill();
  pid_ = std::exchange(other.pid_, -1);
  return *this;
}

void Process::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(std::exchange(pid_, -1), nullptr, 0);
}

int Process::end() {
  int status = 0;
  if (pid_ <= 0) return status;
  ::kill(pid_, SIGTERM);
  ::waitpid(std::exchange(pid_, -1), &status, 0);
  return status;
}

std::optional<int> Process::ended() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  return status;
}

// Under those that the kernel deals out to connects, so that none is taken between here and its process;
// apart for runs side by side.
std::vector<int> free_ports(std::size_t count) {
  constexpr int kFrom = 12'000, kTo = 30'000, kApart = 97;
  std::vector<net::Socket> held;
  std::vector<int> ports;
  for (int port = kFrom + ::getpid() * kApart % (kTo - kFrom); ports.size() < count; ++port) {
    if (port >= kTo) port = kFrom;
    try {
      held.push_back(net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(port))));
      ports.push_back(port);
    } catch (const std::system_error&) {  // somebody is there
    }
  }
  return ports;
}

}  // namespace woadtide::lab
