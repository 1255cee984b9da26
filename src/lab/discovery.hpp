// Test service discovery on a loopback socket: serves the complete list, and a watch that sends each change
// at once.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "lab/acceptor.hpp"

namespace woadtide::lab {

// In-process service discovery for tests and benchmarks. Thread-safe.
class TestDiscovery {
 public:
  TestDiscovery();
  ~TestDiscovery();

  // Address for dispatchers.
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.port()); }
  // Adds or changes a worker. `health`: "Ready", "Terminating", "Gone"; `kind`: its class.
  void set_worker(const std::string& host, const std::string& dial, const std::string& health = "Ready",
                  const std::string& kind = "lab");
  // The current list as JSON.
  std::string serialized_list();
  // While it is down, calls are refused and open watches end.
  void set_down(bool down) { down_ = down; }
  // Delays the answers to further calls.
  void set_answer_delay_ms(double delay_ms) { answer_delay_ms_ = delay_ms; }
  // Keeps the currently open watches open, but sends nothing more on them.
  void mute_open_watches() { silence_count_ += 1; }
  // When a list in which the worker is not ready was first sent to any caller, in ms of the clock.
  std::optional<double> not_ready_sent_at(const std::string& host);

 private:
  void serve(net::Socket& socket);
  void serve_watch(net::Socket& socket);
  bool write(net::Socket& socket, const std::string& text);
  bool write_list_if_changed(net::Socket& socket, int& sent_seq);

  core::Clock clock_;
  std::mutex mutex_;
  std::map<std::string, std::string> endpoints_;  // JSON entries by host
  std::map<std::string, double> not_ready_sent_at_;
  int seq_ = 1;
  std::atomic<bool> stopping_{false}, down_{false};
  std::atomic<double> answer_delay_ms_{0};
  std::atomic<int> silence_count_{0};  // number of mute_open_watches() calls
  Acceptor acceptor_;                  // declared last: its threads use the other members
};

}  // namespace woadtide::lab
