// How late each change of a list was told to each client. Knows no sockets and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace woadtide::lab::hollow {

struct LatenessSummary {
  std::size_t told = 0;    // pairs of a change and a client
  std::size_t untold = 0;  // such pairs of clients that run, whose change has not been told
  double p50_ms = 0, p99_ms = 0, max_ms = 0;
};

// Changes are numbered by the version that they made, 1, 2, 3, ... Times are milliseconds.
class LatenessRecorder {
 public:
  // `due`: from when on a client could have been told of it.
  void add_change(double due) { due_.push_back(due); }
  // A client runs from `at` on, and knows the list up to `known_version`: what is newer is news to it.
  void begin_client(std::size_t client, std::int64_t known_version, double at);
  void end_client(std::size_t client);
  // A client has been sent everything up to `version`.
  void add_told(std::size_t client, std::int64_t version, double at);
  // Counts anew: what was told before is in no summary from here on.
  void forget_told() { lateness_.clear(); }
  LatenessSummary summary() const;

 private:
  struct Client {
    bool runs = false;
    std::int64_t told_version = 0;
    double began = 0;
  };
  std::vector<double> due_;
  std::vector<Client> clients_;
  std::vector<float> lateness_;
};

}  // namespace woadtide::lab::hollow
