// Records how late each change of a list was delivered to each client. Uses no sockets and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace woadtide::lab::hollow {

// Delivery counts and the distribution of the delays.
struct LatenessSummary {
  std::size_t delivered = 0;    // deliveries: pairs of a change and a client
  std::size_t undelivered = 0;  // pairs of a change and a running client that did not get it yet
  double p50_ms = 0, p99_ms = 0, max_ms = 0;
};

// Changes are numbered by the list version that they created, 1, 2, 3, ... Times are milliseconds of one
// clock.
class LatenessRecorder {
 public:
  // Adds a change. `due_ms`: the earliest time at which it could be delivered.
  void add_change(double due_ms) { due_ms_.push_back(due_ms); }
  // A client runs from `at_ms` on and has the list up to `known_version`; newer changes are due to it.
  void start_client(std::size_t client, std::int64_t known_version, double at_ms);
  // A stopped client's undelivered changes no longer count.
  void stop_client(std::size_t client);
  // A client was sent everything up to `version`. Versions that it already had are not counted again.
  void add_delivery(std::size_t client, std::int64_t version, double at_ms);
  // Discards the deliveries so far; undelivered changes still count.
  void clear_deliveries() { lateness_ms_.clear(); }
  LatenessSummary summary() const;

 private:
  struct Client {
    bool is_running = false;
    std::int64_t delivered_version = 0;
    double started_at_ms = 0;
  };
  std::vector<double> due_ms_;
  std::vector<Client> clients_;
  std::vector<float> lateness_ms_;
};

}  // namespace woadtide::lab::hollow
