// Answers the controller's calls as any number of supervisors would: one loopback address, one thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "net/socket.hpp"
#include "park/thread.hpp"

namespace woadtide::lab::scale {

class StandInSupervisors {
 public:
  StandInSupervisors();
  ~StandInSupervisors();
  StandInSupervisors(const StandInSupervisors&) = delete;
  StandInSupervisors& operator=(const StandInSupervisors&) = delete;

  std::string address() const;
  std::uint64_t calls() const { return calls_; }
  std::size_t status_bytes() const { return status_.size(); }

 private:
  void run();
  void answer_one();

  core::Clock clock_;
  net::Socket listener_;
  const std::string status_;
  std::atomic<bool> ending_{false};
  std::atomic<std::uint64_t> calls_{0};
  park::Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::lab::scale
