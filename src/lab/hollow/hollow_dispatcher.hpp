// A hollow dispatcher: the real service discovery client, the real module and its decision loop, but no
// client listener and no connections to workers. Hundreds of them share one process and a few threads, to
// measure the load that a large fleet puts on discovery, and what the endpoint list costs each dispatcher.
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

// Resources shared by hollow dispatchers: an event loop, a thread pool that opens their watches, and buffers.
struct HollowRuntime {
  static constexpr std::size_t kThreadCount = 8, kBufferCount = 64;
  explicit HollowRuntime(core::Clock& shared_clock)
      : clock(shared_clock),
        buffers(kBufferCount),
        event_loop(shared_clock),
        thread_pool({.max_threads = kThreadCount}) {}

  core::Clock& clock;
  net::BufferPool buffers;
  park::EventLoop event_loop;
  park::ThreadPool thread_pool;
};

// Settings of one hollow dispatcher.
struct HollowDispatcherSettings {
  std::string discovery;  // address of service discovery, HOST:PORT
  std::uint64_t seed = 0;
  woadtide::Settings settings;
  std::vector<std::string> class_names;
};

// One hollow dispatcher, which can be stopped and started again.
class HollowDispatcher {
 public:
  // Called on the runtime's event loop with each list update, before the module gets it. Must not block.
  using OnList = std::function<void(const woadtide::ListUpdate&)>;

  HollowDispatcher(HollowRuntime& runtime, HollowDispatcherSettings settings, OnList on_list = {});
  ~HollowDispatcher();
  HollowDispatcher(const HollowDispatcher&) = delete;
  HollowDispatcher& operator=(const HollowDispatcher&) = delete;

  // Starts or restarts the dispatcher with a remembered list.
  void start(const core::EndpointList& remembered);
  void stop();
  bool is_running() const { return instance_ != nullptr; }
  // The worker's entry in the newest list; nullopt if it has none or the dispatcher is stopped.
  std::optional<net::EndpointListClient::ResolvedEndpoint> find(const std::string& worker) const;

 private:
  struct Instance;

  HollowRuntime& runtime_;
  const HollowDispatcherSettings settings_;
  const OnList on_list_;
  std::uint64_t start_count_ = 0;
  std::unique_ptr<Instance> instance_;
};

}  // namespace woadtide::lab::hollow
