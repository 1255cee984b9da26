// Many hollow dispatchers in one process, and the service discovery that they watch.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lab/hollow/hollow_dispatcher.hpp"
#include "lab/hollow/list_source.hpp"

namespace woadtide::lab::hollow {

// Size and settings of a fleet.
struct HollowFleetSettings {
  int dispatchers = 300;
  int workers = 200;
  int dispatchers_per_runtime = 50;    // how many share an event loop and a thread pool
  double must_ask_within_ms = 10'000;  // longest interval of calls while not subscribed
  std::uint64_t seed = 1;
  ListSourceSettings source;
};

// Owns the dispatchers, their runtimes and the discovery.
class HollowFleet {
 public:
  // Called with a dispatcher's number and each list update that it gets, on several threads. Must not block.
  using OnList = std::function<void(std::size_t, const woadtide::ListUpdate&)>;

  // Afterwards all workers are on the list, and no dispatcher is running.
  HollowFleet(const HollowFleetSettings& settings, core::Clock& clock, OnList on_list = {});

  std::size_t size() const { return dispatchers_.size(); }
  std::size_t worker_count() const { return workers_; }
  ListSource& source() { return source_; }
  HollowDispatcher& dispatcher(std::size_t number) { return *dispatchers_.at(number); }
  // Starts or restarts a dispatcher with a remembered list.
  void start(std::size_t dispatcher, const core::EndpointList& remembered);
  // Number of event loops with their thread pools.
  std::size_t runtime_count() const { return runtimes_.size(); }

  // A worker's entry on the list. `started_ms`: Unix time in ms, rounded down to whole ms; 0: no start time.
  static core::Endpoint worker_endpoint(std::size_t number, woadtide::WorkerState state,
                                        double started_ms = 0);

 private:
  const std::size_t workers_;
  ListSource source_;
  std::vector<std::unique_ptr<HollowRuntime>> runtimes_;
  // Last: destroyed before the runtimes that they use.
  std::vector<std::unique_ptr<HollowDispatcher>> dispatchers_;
};

}  // namespace woadtide::lab::hollow
