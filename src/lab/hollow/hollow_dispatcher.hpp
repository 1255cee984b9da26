// A dispatcher without real work: the real client of service discovery, the real module and its decision
// loop, but no listener for clients and no connections to workers. Hundreds share one process and a few
// threads, so that what a large fleet asks of discovery, and what the list costs each dispatcher, can be
// measured.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/host_list.hpp"
#include "net/buffer_pool.hpp"
#include "net/host_group.hpp"
#include "park/park.hpp"
#include "woadtide/balance.hpp"

namespace woadtide::lab::hollow {

// What hollow dispatchers share: an event loop, a thread pool that opens their watches, and buffers.
struct HollowRuntime {
  static constexpr std::size_t kThreads = 8, kBuffers = 64;
  explicit HollowRuntime(core::Clock& on)
      : clock(on), buffers(kBuffers), park(on), crew({.most = kThreads}) {}

  core::Clock& clock;
  net::BufferPool buffers;
  park::Park park;
  park::Crew crew;
};

struct HollowDispatcherSettings {
  std::string discovery;  // address
  std::uint64_t seed = 0;
  woadtide::Settings settings;
  std::vector<std::string> class_names;
};

class HollowDispatcher {
 public:
  // Called on the runtime's event loop with each list that comes, before the module has it. Must not block.
  using OnList = std::function<void(const woadtide::ListUpdate&)>;

  HollowDispatcher(HollowRuntime& runtime, HollowDispatcherSettings settings, OnList on_list = {});
  ~HollowDispatcher();
  HollowDispatcher(const HollowDispatcher&) = delete;
  HollowDispatcher& operator=(const HollowDispatcher&) = delete;

  // Starts it, or starts it again, from a list that it remembers.
  void start(const core::HostList& remembered);
  void stop();
  bool runs() const { return instance_ != nullptr; }
  // As its newest list has the worker; nullopt where it names no such worker, or the dispatcher does not run.
  std::optional<net::HostGroup::Known> find(const std::string& worker) const;

 private:
  struct Instance;

  HollowRuntime& runtime_;
  const HollowDispatcherSettings settings_;
  const OnList on_list_;
  std::uint64_t starts_ = 0;
  std::unique_ptr<Instance> instance_;
};

}  // namespace woadtide::lab::hollow
