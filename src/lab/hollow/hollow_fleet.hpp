// Many hollow dispatchers in one process, and the service discovery that they follow.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lab/hollow/hollow_dispatcher.hpp"
#include "lab/hollow/list_source.hpp"

namespace woadtide::lab::hollow {

struct HollowFleetSettings {
  int dispatchers = 300;
  int workers = 200;
  int dispatchers_per_runtime = 50;  // that share an event loop and a thread pool
  double must_ask_within_ms = 10'000;
  std::uint64_t seed = 1;
  ListSourceSettings source;
};

class HollowFleet {
 public:
  // The dispatcher's number, and the list that came to it. Called on several threads. Must not block.
  using OnList = std::function<void(std::size_t, const woadtide::ListUpdate&)>;

  // All workers are on the list, and no dispatcher runs.
  HollowFleet(const HollowFleetSettings& settings, core::Clock& clock, OnList on_list = {});

  std::size_t size() const { return dispatchers_.size(); }
  std::size_t workers() const { return workers_; }
  ListSource& source() { return source_; }
  HollowDispatcher& dispatcher(std::size_t number) { return *dispatchers_.at(number); }
  // Starts it, or starts it again, from a list that it remembers.
  void start(std::size_t dispatcher, const core::HostList& remembered);
  // Threads of the processor time of which the dispatchers' part is made.
  std::size_t runtimes() const { return runtimes_.size(); }

  // Entry of a worker, as the list has it. `started_ms`: whole ms count; 0: long ago.
  static core::Host worker(std::size_t number, woadtide::WorkerState state, double started_ms = 0);

 private:
  const std::size_t workers_;
  ListSource source_;
  std::vector<std::unique_ptr<HollowRuntime>> runtimes_;
  std::vector<std::unique_ptr<HollowDispatcher>> dispatchers_;  // last: they use the runtimes
};

}  // namespace woadtide::lab::hollow
