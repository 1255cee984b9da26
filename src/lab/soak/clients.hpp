// Clients of a soak run, each on its own thread: well-behaved ones, which keep a connection for as long as
// the dispatcher does, and misbehaving ones, which never send a complete request and stay connected.
#pragma once

#include <atomic>
#include <string>

#include "lab/soak/plan.hpp"
#include "lab/soak/records.hpp"
#include "net/socket.hpp"

namespace woadtide::lab::soak {

// State of the run that its clients read; the run updates it. Times are ms of the run's clock.
struct RunState {
  static constexpr double kNever = 1e18;
  net::Address dispatcher;
  std::atomic<double> connects_until_ms{kNever};  // clients open new connections until then
  std::atomic<double> ends_at_ms{kNever};         // clients start no request from then on
};

// Runs a well-behaved client. Returns once the run is over and the client's last request has ended.
void run_client(const SoakPlan& plan, int number, const core::Clock& clock, const RunState& run_state,
                Recorder& recorder);
// Runs a misbehaving client: connects once, at a time drawn from the seed, and sends part of a request.
// Returns when the dispatcher answers or closes the connection, or after a time limit.
void run_bad_client(const SoakPlan& plan, int number, const core::Clock& clock, const RunState& run_state,
                    Recorder& recorder);

}  // namespace woadtide::lab::soak
