#include "lab/hollow/hollow_dispatcher.hpp"

#include <utility>

#include "core/decision_loop.hpp"
#include "core/inbox.hpp"
#include "core/kin.hpp"
#include "core/query.hpp"

namespace woadtide::lab::hollow {

namespace {

// Gives each start of a dispatcher its own random stream.
constexpr std::uint64_t kSeedStep = 0x9E3779B97F4A7C15U;

// Sends nothing: every attempt and every probe succeeds immediately.
class ImmediateExecutor : public core::Executor {
 public:
  explicit ImmediateExecutor(core::Inbox& inbox) : inbox_(inbox) {}
  void start(core::Execution execution) override {
    inbox_.push(core::ExecutionEnded{std::move(execution.key), woadtide::Status::ok, {}});
  }
  void cancel(const core::ExecutionKey&) override {}
  void withdraw(const core::ExecutionKey&) override {}
  void probe(const std::string& worker) override {
    inbox_.push(core::ProbeEnded{worker, woadtide::Status::ok});
  }
  void set_excluded(const std::string&, bool) override {}

 private:
  core::Inbox& inbox_;
};

// Stands for the absence of a sibling process.
class NoSibling : public core::SiblingProcess {
 public:
  void send(const core::SiblingMessage&) override {}
  bool has_no_sibling() const override { return true; }
};

}  // namespace

// The state of a dispatcher from a start to the next stop.
struct HollowDispatcher::Instance : park::EventHandler {
  Instance(HollowRuntime& shared_runtime, const HollowDispatcherSettings& settings, std::uint64_t seed,
           const OnList& list_callback, const core::EndpointList& remembered)
      : runtime(shared_runtime),
        on_list(list_callback),
        executor(inbox),
        endpoint_client(settings.discovery, remembered, shared_runtime.clock, list_updates,
                        shared_runtime.buffers, shared_runtime.event_loop, shared_runtime.thread_pool),
        loop(settings.settings, settings.class_names, seed, shared_runtime.clock, inbox, executor,
             endpoint_client, sibling),
        token(shared_runtime.event_loop.add(*this, -1)) {
    const auto wake = [this] { runtime.event_loop.wake(token, {}); };
    list_updates.set_notifier(wake);
    inbox.set_notifier(wake);
    wake();  // for messages that arrived before the notifiers were set
  }
  ~Instance() override {
    list_updates.set_notifier({});  // the thread pool may push into it until `endpoint_client` is destroyed
    inbox.set_notifier({});
    runtime.event_loop.remove(token);
    runtime.event_loop.quiesce();
  }

  void on_ready(park::ReadinessEvents) override { on_timeout(); }
  void on_timeout() override {
    for (core::Message& message : list_updates.take_all()) {
      if (const auto* received = std::get_if<core::ListUpdateReceived>(&message); received && on_list)
        on_list(received->update);
      inbox.push(std::move(message), core::Inbox::Notify::with_next);
    }
    runtime.event_loop.set_timeout(token, runtime.clock.now() + loop.step());
  }

  HollowRuntime& runtime;
  const OnList& on_list;
  core::Inbox list_updates, inbox;  // of the discovery client, observed here; of the decision loop
  ImmediateExecutor executor;
  NoSibling sibling;
  net::EndpointListClient endpoint_client;
  core::DecisionLoop loop;
  park::EventLoop::Token token;
};

HollowDispatcher::HollowDispatcher(HollowRuntime& runtime, HollowDispatcherSettings settings, OnList on_list)
    : runtime_(runtime), settings_(std::move(settings)), on_list_(std::move(on_list)) {}

HollowDispatcher::~HollowDispatcher() = default;

void HollowDispatcher::start(const core::EndpointList& remembered) {
  stop();
  const std::uint64_t seed = settings_.seed + kSeedStep * start_count_++;
  instance_ = std::make_unique<Instance>(runtime_, settings_, seed, on_list_, remembered);
}

void HollowDispatcher::stop() { instance_.reset(); }

std::optional<net::EndpointListClient::ResolvedEndpoint> HollowDispatcher::find(
    const std::string& worker) const {
  return instance_ ? instance_->endpoint_client.find(worker) : std::nullopt;
}

}  // namespace woadtide::lab::hollow
