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

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::map<std::string, std::string>& environment, const std::string& log) {
  std::vector<char*> argv, envp;
  for (const std::string& word : arguments) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  std::vector<std::string> environment_texts;
  for (char** variable = environ; *variable; ++variable) environment_texts.emplace_back(*variable);
  for (const auto& [name, value] : environment) environment_texts.push_back(name + '=' + value);
  for (const std::string& text : environment_texts) envp.push_back(const_cast<char*>(text.c_str()));
  envp.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&file_actions, 2, 1);
  const int error =
      ::posix_spawn(&pid_, arguments.at(0).c_str(), &file_actions, nullptr, argv.data(), envp.data());
  posix_spawn_file_actions_destroy(&file_actions);
  if (error != 0) {
    pid_ = -1;
    throw std::system_error(error, std::generic_category(), arguments.at(0));
  }
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  kill();
  pid_ = std::exchange(other.pid_, -1);
  return *this;
}

void ChildProcess::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(std::exchange(pid_, -1), nullptr, 0);
}

int ChildProcess::terminate() {
  int status = 0;
  if (pid_ <= 0) return status;
  ::kill(pid_, SIGTERM);
  ::waitpid(std::exchange(pid_, -1), &status, 0);
  return status;
}

std::optional<int> ChildProcess::poll_exit() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  return status;
}

// The ports are below the kernel's ephemeral range, so that no outgoing connection takes one before its
// process listens on it. The first port depends on the process id, so that parallel runs get different ports.
std::vector<int> free_ports(std::size_t count) {
  constexpr int kMinPort = 12'000, kMaxPort = 30'000, kPortsPerProcess = 97;
  std::vector<net::Socket> listeners;
  std::vector<int> ports;
  for (int port = kMinPort + ::getpid() * kPortsPerProcess % (kMaxPort - kMinPort); ports.size() < count;
       ++port) {
    if (port >= kMaxPort) port = kMinPort;
    try {
      listeners.push_back(net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(port))));
      ports.push_back(port);
    } catch (const std::system_error&) {  // the port is in use
    }
  }
  return ports;
}

}  // namespace woadtide::lab
