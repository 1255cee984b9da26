#include "lab/scale/stand_in_supervisors.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

namespace woadtide::lab::scale {

namespace {

constexpr double kCallTimeoutMs = 1'000, kPollIntervalMs = 20;

// The status line of a supervisor whose dispatcher serves, in the format of supervise::Supervisor.
std::string status_text() {
  const nlohmann::json child{{"slot", 0},
                             {"pid", 12345},
                             {"version", "0123456789abcdef"},
                             {"stands", "serving"},
                             {"management", "10.0.0.7:8401"}};
  const nlohmann::json status{{"name", "dispatcher-0001"},
                              {"zone", "zone-01"},
                              {"serves", true},
                              {"version", "0123456789abcdef"},
                              {"pid", 12345},
                              {"since_ms", 123456.5},
                              {"wanted", "0123456789abcdef"},
                              {"good", "0123456789abcdef"},
                              {"candidate", ""},
                              {"before", ""},
                              {"controller", "0011223344556677"},
                              {"change", "c-01234567"},
                              {"newest", 17},
                              {"progress", "done"},
                              {"why", ""},
                              {"fell_back", ""},
                              {"evacuated", false},
                              {"excluded", nlohmann::json::array()},
                              {"crashes", 0},
                              {"children", {child}}};
  return "done " + status.dump() + '\n';
}

}  // namespace

FakeSupervisors::FakeSupervisors()
    : listener_(net::Socket::listen_at(net::Address("127.0.0.1:0"))),
      status_(status_text()),
      thread_("supervisors", [this] { run(); }) {}

FakeSupervisors::~FakeSupervisors() {
  stopping_ = true;
  thread_.join();
}

std::string FakeSupervisors::address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

void FakeSupervisors::run() {
  while (!stopping_) {
    const auto [ready, unused] =
        net::poll_until(listener_.fd(), POLLIN, -1, clock_.now() + kPollIntervalMs, clock_);
    if (ready != 0) answer_call();
  }
}

// Serves one call to its end before the next one is accepted: the controller writes the whole line as soon as
// it has connected.
void FakeSupervisors::answer_call() {
  net::Socket caller{net::Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!caller) return;
  const double deadline = clock_.now() + kCallTimeoutMs;
  std::string call;
  char bytes[256];
  std::size_t received = 0;
  while (call.find('\n') == std::string::npos) {
    if (caller.receive(bytes, sizeof bytes, received, deadline, clock_) != net::IoResult::done) return;
    call.append(bytes, received);
  }
  caller.send({status_}, deadline, clock_);
  calls_ += 1;
}

}  // namespace woadtide::lab::scale
