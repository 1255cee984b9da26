// Shutdown of a process in any order: no destroyed object is called back.
#include <stdlib.h>

#include <atomic>
#include <filesystem>
#include <stdexcept>
#include <thread>

#include "node_harness.hpp"

namespace woadtide {
namespace {

// An addition whose threads put messages into the inbox until it is destroyed, as server links, the thread
// pool and the durable job service may: it outlives the decision loop that takes them.
class InboxWriter : public NodeExtension {
 public:
  InboxWriter(const ExtensionContext& parts, bool opens_ok) : parts_(parts), opens_ok_(opens_ok) {}
  ~InboxWriter() override {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  core::Executor& executor() override { return parts_.server_links; }
  core::ExecutionObserver* observer() override { return nullptr; }
  void open() override {
    for (int i = 0; i < 2; ++i)
      threads_.emplace_back([this] {
        while (!stopping_) parts_.inbox.push_hint(core::ExecutionStarted{{"nobody", 0}});
      });
    if (!opens_ok_) throw std::runtime_error("the addition cannot be opened");
  }
  void set_accepting_clients(bool) override {}
  std::size_t active_executions() override { return 0; }
  void close() override {}

 private:
  const ExtensionContext parts_;
  const bool opens_ok_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

TEST_CASE("resetting the inbox's callback waits for a running call, and no call follows") {
  core::Inbox inbox;
  std::atomic<bool> called{false}, release{false}, reset_done{false};
  inbox.set_notifier([&] {
    called = true;
    while (!release) std::this_thread::yield();
    CHECK_FALSE(reset_done);
  });
  std::thread writer([&] { inbox.push(core::SiblingJoined{}); });
  while (!called) std::this_thread::yield();
  std::thread owner([&] {
    inbox.set_notifier({});
    reset_done = true;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK_FALSE(reset_done);
  release = true;
  writer.join();
  owner.join();
  inbox.push(core::SiblingJoined{});  // kept, and no callback
  CHECK(inbox.take_all().size() == 2);
}

// Shutdown on a busy machine: a sanitizer detects a call to a decision loop that was destroyed.
TEST_CASE("a node ends while other threads still put messages into its inbox") {
  ListeningPort discovery;
  core::Clock clock;
  clock.set(kStartTimeMs);
  for (int i = 0; i < 20; ++i) {
    const core::Config config = core::read_config(config_json({}, discovery.dial()));
    Node node(config, clock,
              [](const ExtensionContext& parts) { return std::make_unique<InboxWriter>(parts, true); });
  }
}

// The same for a start that fails late: the link of the sibling process calls back from threads of its own.
TEST_CASE("a node that fails to open beside one that ends leaves no thread that calls it") {
  char folder[] = "/tmp/woadtide-end-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  ListeningPort discovery;
  core::Clock clock;
  clock.set(kStartTimeMs);
  for (int i = 0; i < 10; ++i) {
    core::Config config = core::read_config(config_json({}, discovery.dial()));
    config.shared_folder = folder;
    std::optional<Node> first(std::in_place, config, clock);
    std::thread closer([&first] { first.reset(); });
    CHECK_THROWS_AS(
        Node(config, clock,
             [](const ExtensionContext& parts) { return std::make_unique<InboxWriter>(parts, false); }),
        std::runtime_error);
    closer.join();
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace woadtide
