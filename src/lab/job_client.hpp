// Reference client of durable jobs: submits a job under its key and polls by that key until it gets the final
// answer or gives up, across failures of its links.
#pragma once

#include <optional>
#include <string>

#include "core/clock.hpp"
#include "lab/history.hpp"
#include "net/socket.hpp"

namespace woadtide::lab {

// An answer of the dispatcher; `state` is the value of X-Job-State.
struct JobResponse {
  int status = 0;
  std::string state, body;
  double retry_after_ms = 0;
};

// Client of one dispatcher on loopback. Times are in ms of its clock. Not thread-safe.
class JobClient {
 public:
  explicit JobClient(int port) : port_(port) {}

  // Sends a request over the open link or a new one. Returns nullopt if the link failed or the deadline
  // passed.
  std::optional<JobResponse> send_request(const std::string& request, double deadline_ms);
  // Submits a job.
  std::optional<JobResponse> submit(const std::string& key, bool once, const std::string& body,
                                    double budget_ms, double deadline_ms);
  // Asks for the state of a job; the dispatcher may wait up to `wait_ms` for its end.
  std::optional<JobResponse> get_state(const std::string& key, double wait_ms, double deadline_ms);
  // Submits a job and follows it to its final answer or the end of the budget.
  ClientObservation run_job(const std::string& key, bool once, const std::string& body, double budget_ms);
  double now() const { return clock_.now(); }

 private:
  core::Clock clock_;
  const int port_;
  net::Socket socket_;
};

}  // namespace woadtide::lab
