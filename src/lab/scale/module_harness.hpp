// One decision module with a list of workers and requests in flight, driven event by event on a made-up
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

struct ModuleSize {
  int workers = 0;
  int dispatchers = 0;
};

// Tasks take 114 s in the mean: 33,000 that run, by 290 starts a second.
constexpr Micros kTaskTime = std::chrono::seconds(114);

woadtide::Settings module_settings(int dispatchers, int number);
// Worker `number` of a fleet in 8 regions and 21 zones.
woadtide::ListEntry worker_entry(int number);
std::vector<woadtide::ListEntry> worker_entries(int count);

class ModuleHarness {
 public:
  ModuleHarness(ModuleSize size, std::uint64_t seed);

  // Each hands one event to the module. Actions of the last event are in actions().
  void whole_list();
  void list_change();
  // Whether it was sent; then it is in flight.
  bool request();
  void note_start_of_newest();
  // The oldest request in flight ends well, after its hinted time.
  void finish_oldest();
  void update_limits();

  // Requests until so many are in flight, or until one is refused; how many are in flight then.
  std::size_t fill(std::size_t requests);
  // Every worker answers often enough to be judged by itself, and reports free slots: it admits many
  // requests.
  void let_workers_report();

  const std::vector<woadtide::Action>& actions() const { return actions_; }
  std::size_t in_flight() const { return in_flight_.size(); }
  // The worker of the newest request in flight.
  const std::string& newest_worker() const { return in_flight_.back().worker; }

 private:
  struct InFlight {
    std::string id, worker;
    Micros sent{0};
  };
  void feed(const woadtide::Event& event);
  // It took its hinted time.
  void finish(const InFlight& request, std::optional<woadtide::LoadReport> load);

  std::vector<woadtide::ListEntry> entries_;
  woadtide::Dispatcher dispatcher_;
  Micros now_{std::chrono::seconds(1)};
  std::vector<woadtide::Action> actions_;
  std::deque<InFlight> in_flight_;
  std::uint64_t requests_ = 0;
  std::size_t changed_ = 0;
};

}  // namespace woadtide::lab::scale
