// A client of durable jobs as it should be: brings a job under its key, and asks by that key until it is told
// the end or gives up, whatever happens to its links.
#pragma once

#include <optional>
#include <string>

#include "core/clock.hpp"
#include "lab/history.hpp"
#include "net/socket.hpp"

namespace woadtide::lab {

struct Heard {
  int status = 0;
  std::string state, body;
  double retry_after_ms = 0;
};

class JobClient {
 public:
  explicit JobClient(int port) : port_(port) {}

  // One call over the kept link, or a fresh one. Nothing, where the link broke or `until` passed.
  std::optional<Heard> call(const std::string& text, double until);
  std::optional<Heard> put(const std::string& key, bool once, const std::string& body, double budget_ms,
                           double until);
  std::optional<Heard> get(const std::string& key, double wait_ms, double until);
  // The whole life of one job, to the end that its client sees.
  Seen bring(const std::string& key, bool once, const std::string& body, double budget_ms);
  double now() const { return clock_.now(); }

 private:
  core::Clock clock_;
  const int port_;
  net::Socket socket_;
};

}  // namespace woadtide::lab
