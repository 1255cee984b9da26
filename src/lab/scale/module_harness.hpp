// One decision module with a list of workers and requests in flight, driven event by event on a simulated
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide::lab::scale {

// The size of the simulated fleet.
struct ModuleSize {
  int workers = 0;
  int dispatchers = 0;
};

// Mean duration of a task, 114 s: 33,000 running tasks divided by 290 starts per second.
constexpr Micros kTaskDuration = std::chrono::seconds(114);

// Module settings of dispatcher `number` of this many.
woadtide::Settings module_settings(int dispatchers, int number);
// The list entry of worker `number` in a fleet of 21 zones in 8 regions.
woadtide::ListEntry worker_entry(int number);
// The entries of workers 0 to `count` - 1.
std::vector<woadtide::ListEntry> worker_entries(int count);

// Feeds events to one module and keeps track of the requests in flight.
class ModuleHarness {
 public:
  ModuleHarness(ModuleSize size, std::uint64_t seed);

  // Each of the following functions feeds one event to the module; actions() has the actions of the last one.
  void send_whole_list();
  void send_list_change();
  // Returns whether the request was sent to a worker; if so, it is in flight.
  bool send_request();
  void report_start_of_newest();
  // Ends the oldest request in flight successfully, after its hinted time.
  void finish_oldest();
  void fire_limits_timer();

  // Sends and starts requests until this many are in flight or one is refused. Returns how many are in
  // flight.
  std::size_t fill_to(std::size_t requests);
  // Lets every worker respond often enough to get a limit of its own and report free slots, so that the
  // module admits many requests.
  void warm_up_workers();

  // The actions returned for the last event.
  const std::vector<woadtide::Action>& actions() const { return actions_; }
  std::size_t in_flight() const { return in_flight_.size(); }
  // The worker of the newest request in flight, of which there must be one.
  const std::string& newest_worker() const { return in_flight_.back().worker; }

 private:
  struct InFlight {
    std::string id, worker;
    Micros sent_at{0};
  };
  void feed(const woadtide::Event& event);
  // Ends a request successfully after its hinted time, with an optional load report of its worker.
  void complete(const InFlight& request, std::optional<woadtide::LoadReport> load);

  std::vector<woadtide::ListEntry> entries_;
  woadtide::Dispatcher dispatcher_;
  Micros now_{std::chrono::seconds(1)};
  std::vector<woadtide::Action> actions_;
  std::deque<InFlight> in_flight_;
  std::uint64_t request_count_ = 0;
  std::size_t change_count_ = 0;
};

}  // namespace woadtide::lab::scale
