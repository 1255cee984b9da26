#include "lab/hollow/hollow_dispatcher.hpp"

#include <utility>

#include "core/decision_loop.hpp"
#include "core/inbox.hpp"
#include "core/kin.hpp"
#include "core/query.hpp"

namespace woadtide::lab::hollow {

namespace {

constexpr std::uint64_t kSeedStep = 0x9E3779B97F4A7C15U;  // a dispatcher that starts again draws anew

// Sends nothing: every attempt succeeds at once, and so does every probe.
class ImmediateExecutor : public core::Executor {
 public:
  explicit ImmediateExecutor(core::Inbox& inbox) : inbox_(inbox) {}
  void start(core::Execution execution) override {
    inbox_.put(core::ExecutionEnded{std::move(execution.key), woadtide::Status::ok, {}});
  }
  void cancel(const core::ExecutionKey&) override {}
  void withdraw(const core::ExecutionKey&) override {}
  void probe(const std::string& worker) override {
    inbox_.put(core::ProbeEnded{worker, woadtide::Status::ok});
  }
  void exclude(const std::string&, bool) override {}

 private:
  core::Inbox& inbox_;
};

// There is no other process of this dispatcher.
class NoKin : public core::Kin {
 public:
  void tell(const core::Word&) override {}
  bool alone() const override { return true; }
};

}  // namespace

// One life of a dispatcher, from a start to its stop.
struct HollowDispatcher::Instance : park::Guest {
  Instance(HollowRuntime& in, const HollowDispatcherSettings& settings, std::uint64_t seed,
           const OnList& observer, const core::HostList& remembered)
      : runtime(in),
        on_list(observer),
        executor(inbox),
        hosts(settings.discovery, remembered, in.clock, lists, in.buffers, in.park, in.crew),
        loop(settings.settings, settings.class_names, seed, in.clock, inbox, executor, hosts, kin),
        place(in.park.enter(*this, -1)) {
    const auto wake = [this] { runtime.park.poke(place, {}); };
    lists.set_owner(wake);
    inbox.set_owner(wake);
    wake();  // what has come by now
  }
  ~Instance() override {
    lists.set_owner({});  // the thread pool may put into it until `hosts` has ended
    inbox.set_owner({});
    runtime.park.leave(place);
    runtime.park.quiesce();
  }

  void ready(park::Signs) override { late(); }
  void late() override {
    for (core::Message& message : lists.take()) {
      if (const auto* told = std::get_if<core::ListTold>(&message); told && on_list) on_list(told->update);
      inbox.put(std::move(message), core::Inbox::Call::with_next);
    }
    runtime.park.wake_at(place, runtime.clock.now() + loop.step());
  }

  HollowRuntime& runtime;
  const OnList& on_list;
  core::Inbox lists, inbox;  // from the client of discovery, where it is observed; of the decision loop
  ImmediateExecutor executor;
  NoKin kin;
  net::HostGroup hosts;
  core::DecisionLoop loop;
  park::Park::Token place;
};

HollowDispatcher::HollowDispatcher(HollowRuntime& runtime, HollowDispatcherSettings settings, OnList on_list)
    : runtime_(runtime), settings_(std::move(settings)), on_list_(std::move(on_list)) {}

HollowDispatcher::~HollowDispatcher() = default;

void HollowDispatcher::start(const core::HostList& remembered) {
  stop();
  const std::uint64_t seed = settings_.seed + kSeedStep * starts_++;
  instance_ = std::make_unique<Instance>(runtime_, settings_, seed, on_list_, remembered);
}

void HollowDispatcher::stop() { instance_.reset(); }

std::optional<net::HostGroup::Known> HollowDispatcher::find(const std::string& worker) const {
  return instance_ ? instance_->hosts.find(worker) : std::nullopt;
}

}  // namespace woadtide::lab::hollow
