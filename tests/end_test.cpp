// The end of a process, in any order: nobody is called back who is gone.
#include <stdlib.h>

#include <atomic>
#include <filesystem>
#include <stdexcept>
#include <thread>

#include "node_harness.hpp"

namespace woadtide {
namespace {

// An addition whose threads put into the inbox until it ends, as server links, the crew and the Keeper may:
// it outlives the loop that empties it.
class Chatter : public Addition {
 public:
  Chatter(const Parts& parts, bool opens) : parts_(parts), opens_(opens) {}
  ~Chatter() override {
    over_ = true;
    for (std::thread& one : threads_) one.join();
  }
  core::Executor& executor() override { return parts_.links; }
  core::Witness* witness() override { return nullptr; }
  void open() override {
    for (int i = 0; i < 2; ++i)
      threads_.emplace_back([this] {
        while (!over_) parts_.inbox.put_hint(core::ExecutionStarted{{"nobody", 0}});
      });
    if (!opens_) throw std::runtime_error("the part cannot be opened");
  }
  void set_taking(bool) override {}
  std::size_t busy() override { return 0; }
  void close() override {}

 private:
  const Parts parts_;
  const bool opens_;
  std::atomic<bool> over_{false};
  std::vector<std::thread> threads_;
};

TEST_CASE("who takes the inbox's call back waits for the one that runs, and is called no more") {
  core::Inbox inbox;
  std::atomic<bool> called{false}, let_go{false}, taken_back{false};
  inbox.set_owner([&] {
    called = true;
    while (!let_go) std::this_thread::yield();
    CHECK_FALSE(taken_back);
  });
  std::thread puts([&] { inbox.put(core::KinJoined{}); });
  while (!called) std::this_thread::yield();
  std::thread owner([&] {
    inbox.set_owner({});
    taken_back = true;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK_FALSE(taken_back);
  let_go = true;
  puts.join();
  owner.join();
  inbox.put(core::KinJoined{});  // kept, and nobody called
  CHECK(inbox.take().size() == 2);
}

// Guards the end beside a busy machine: the sanitizers see a call on a loop that is gone.
TEST_CASE("a node ends while others still put into its inbox") {
  Port discovery;
  core::Clock clock;
  clock.set(kNow);
  for (int i = 0; i < 20; ++i) {
    const core::Config config = core::read_config(config_json({}, discovery.dial()));
    Node node(config, clock, [](const Parts& parts) { return std::make_unique<Chatter>(parts, true); });
  }
}

// Guards the same for a start that fails late: the other process' link calls back from threads of its own.
TEST_CASE("a node that cannot be opened beside one that ends leaves nobody who calls it") {
  char folder[] = "/tmp/woadtide-end-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  Port discovery;
  core::Clock clock;
  clock.set(kNow);
  for (int i = 0; i < 10; ++i) {
    core::Config config = core::read_config(config_json({}, discovery.dial()));
    config.folder = folder;
    std::optional<Node> first(std::in_place, config, clock);
    std::thread ends([&first] { first.reset(); });
    CHECK_THROWS_AS(
        Node(config, clock, [](const Parts& parts) { return std::make_unique<Chatter>(parts, false); }),
        std::runtime_error);
    ends.join();
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace woadtide
