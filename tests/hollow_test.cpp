// Tests of the stand-in service discovery and the hollow dispatchers, on which the fleet measurements depend.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <poll.h>

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/log.hpp"
#include "lab/hollow/fleet_day.hpp"
#include "lab/hollow/hollow_fleet.hpp"
#include "net/http.hpp"

namespace woadtide::lab::hollow {
namespace {

using woadtide::WorkerState;

constexpr double kEventTimeoutMs = 10'000;  // time limit for expected events; a test that reaches it fails
constexpr auto kNoLines = [] { return std::size_t{0}; };

core::EndpointList parse_list(const std::string& text) {
  return core::parse_endpoint_list(nlohmann::json::parse(text));
}

// The worker states that a reader of the list's lines has.
using States = std::map<std::string, WorkerState>;
void apply_list(States& states, const core::EndpointList& list) {
  if (list.complete) states.clear();
  for (const core::Endpoint& host : list.endpoints) {
    if (host.entry.state == WorkerState::gone)
      states.erase(host.entry.worker);
    else
      states[host.entry.worker] = host.entry.state;
  }
}

States states_of(const core::EndpointList& list) {
  States states;
  apply_list(states, list);
  return states;
}

WorkerState draw_state(std::mt19937_64& random) {
  constexpr WorkerState kStates[] = {WorkerState::ready, WorkerState::draining, WorkerState::gone};
  return kStates[random() % std::size(kStates)];
}

bool becomes_true(const std::function<bool()>& condition) {
  const core::Clock clock;
  const double until_ms = clock.now() + kEventTimeoutMs;
  while (!condition() && clock.now() < until_ms) ::poll(nullptr, 0, 2);
  return condition();
}

// Versioned list --------------------------------------------------------------------------------------

TEST_CASE(
    "a reader that continues from any version ends with the same list, by complete lines or by changes") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 50; ++round) {
    VersionedList list(20);
    std::vector<States> known{{}};  // indexed by version
    for (int i = 0; i < 60; ++i) {
      list.set(HollowFleet::worker_endpoint(random() % 12, draw_state(random)));
      known.push_back(states_of(list.snapshot()));
    }
    for (std::int64_t since = 0; since <= list.version(); ++since) {
      const ListLine line = list.line_since(since);
      const core::EndpointList update = parse_list(line.text);
      CAPTURE(since);
      CHECK(line.complete == (since < list.version() - 20));
      CHECK(update.complete == line.complete);
      CHECK(update.seq == list.version());
      CHECK(update.endpoints.size() == line.entries);
      CHECK(list.entries_since(since) == line.entries);
      States states = known[static_cast<std::size_t>(since)];
      apply_list(states, update);
      CHECK(states == known.back());
    }
  }
}

TEST_CASE(
    "a client that is ahead of the list is sent the complete list, and an up-to-date one an empty line") {
  VersionedList list(10);
  list.set(HollowFleet::worker_endpoint(0, WorkerState::ready));
  CHECK(list.line_since(2).complete);
  const ListLine line = list.line_since(1);
  CHECK_FALSE(line.complete);
  CHECK(line.entries == 0);
}

// Call queue ------------------------------------------------------------------------------------------

std::vector<CallQueue::CallId> calls_of(const std::vector<CallQueue::CompletedCall>& completed,
                                        CallQueue::Outcome outcome) {
  std::vector<CallQueue::CallId> calls;
  for (const CallQueue::CompletedCall& call : completed)
    if (call.outcome == outcome) calls.push_back(call.call);
  return calls;
}
using CallIds = std::vector<CallQueue::CallId>;

TEST_CASE("calls are processed one at a time in order of arrival, at a cost per call and per line") {
  CallQueue queue({.work_per_call_ms = 10, .work_per_line_ms = 0.5, .patience_ms = 1'000});
  queue.add_call(1, 0, [] { return std::size_t{4}; });
  queue.add_call(2, 0, kNoLines);
  queue.add_call(3, 5, kNoLines);
  CHECK(queue.next_due() == 12);
  CHECK(queue.advance(11.9).empty());
  CHECK(calls_of(queue.advance(12), CallQueue::Outcome::answered) == CallIds{1});
  CHECK(calls_of(queue.advance(21.9), CallQueue::Outcome::answered).empty());
  CHECK(calls_of(queue.advance(32), CallQueue::Outcome::answered) == CallIds{2, 3});
  CHECK(queue.next_due() == CallQueue::kNever);
  queue.add_call(4, 100, kNoLines);
  CHECK(queue.next_due() == 110);
}

TEST_CASE("a call that waits too long is refused and still uses its turn") {
  CallQueue queue({.work_per_call_ms = 40, .work_per_line_ms = 0, .patience_ms = 100});
  for (CallQueue::CallId call = 1; call <= 4; ++call) queue.add_call(call, 0, kNoLines);
  const auto completed = queue.advance(100);
  CHECK(calls_of(completed, CallQueue::Outcome::answered) == CallIds{1, 2});
  CHECK(calls_of(completed, CallQueue::Outcome::refused) == CallIds{3, 4});
  queue.add_call(5, 100, kNoLines);
  CHECK(queue.advance(199).empty());  // the turns of 3 and 4 last until 160
  CHECK(calls_of(queue.advance(200), CallQueue::Outcome::answered) == CallIds{5});
  CHECK(queue.wasted_turns() == 2);
}

TEST_CASE("an abandoned call is still processed unless the service notices the disconnect") {
  for (const bool notices_disconnect : {false, true}) {
    CallQueue queue({.work_per_call_ms = 40, .patience_ms = 1'000, .skips_abandoned = notices_disconnect});
    for (CallQueue::CallId call = 1; call <= 3; ++call) queue.add_call(call, 0, kNoLines);
    queue.abandon(2);
    const auto completed = queue.advance(80);
    CHECK(calls_of(completed, CallQueue::Outcome::answered) ==
          (notices_disconnect ? CallIds{1, 3} : CallIds{1}));
    queue.advance(120);
    CHECK(queue.wasted_turns() == (notices_disconnect ? 0 : 1));
  }
}

TEST_CASE("during an outage calls wait and are refused, and those still waiting at its end are answered") {
  CallQueue queue({.work_per_call_ms = 10, .patience_ms = 100});
  queue.set_available(false);
  queue.add_call(1, 0, kNoLines);
  CHECK(queue.advance(99).empty());
  CHECK(calls_of(queue.advance(100), CallQueue::Outcome::refused) == CallIds{1});
  queue.add_call(2, 195, kNoLines);
  queue.advance(200);
  queue.set_available(true);
  CHECK(calls_of(queue.advance(205), CallQueue::Outcome::answered) == CallIds{2});
}

// Lateness ---------------------------------------------------------------------------------------------

TEST_CASE("lateness is counted per change and client, from the earliest possible delivery") {
  LatenessRecorder recorder;
  recorder.start_client(0, 0, 0);
  recorder.start_client(1, 1, 50);  // has the first change, and starts after the second
  recorder.add_change(0);
  recorder.add_change(10);
  recorder.add_delivery(0, 1, 4);
  recorder.add_delivery(0, 2, 12);
  recorder.add_delivery(0, 2, 99);  // delivered again: not counted
  LatenessSummary summary = recorder.summary();
  CHECK(summary.delivered == 2);
  CHECK(summary.undelivered == 1);
  recorder.add_delivery(1, 2, 57);
  summary = recorder.summary();
  CHECK(summary.delivered == 3);
  CHECK(summary.undelivered == 0);
  CHECK(summary.p50_ms == 4);
  CHECK(summary.max_ms == 7);
  recorder.add_change(60);
  CHECK(recorder.summary().undelivered == 2);
  recorder.clear_deliveries();
  CHECK(recorder.summary().delivered == 0);
  CHECK(recorder.summary().undelivered == 2);
  recorder.stop_client(1);
  CHECK(recorder.summary().undelivered == 1);
}

// List source on sockets ------------------------------------------------------------------------------

// One watch call to the source, read line by line. Counts the bytes read.
class Watch {
 public:
  Watch(ListSource& source, std::size_t client, std::int64_t since) {
    const net::Address address(source.address(client));
    socket_ = net::Socket::create(address);
    REQUIRE(socket_.connect(address, kEventTimeoutMs));
    const std::string request =
        "GET /registry/instances?follow=1&since=" + std::to_string(since) + " HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(socket_.send({request}, clock_.now() + kEventTimeoutMs, clock_) == net::IoResult::done);
  }
  // Reads the response head and returns the status.
  int status() {
    net::IoResult io = net::IoResult::done;
    const auto length = input_.read_head(clock_.now() + kEventTimeoutMs, io);
    REQUIRE(length);
    const net::MessageHead head = net::parse_response_head(input_.view().substr(0, *length));
    bytes_ += *length;
    const net::Framing framing = net::response_framing(head);
    input_.consume(*length);
    lines_.emplace(input_, framing);
    return head.status;
  }
  // The next line that contains a list; nullopt if the watch ended.
  std::optional<core::EndpointList> next() {
    std::string line;
    for (;;) {
      const auto result = lines_->next(line, clock_.now() + kEventTimeoutMs);
      REQUIRE(result != net::LineReader::Result::timed_out);
      if (result != net::LineReader::Result::line) return std::nullopt;
      bytes_ += chunk_size(line);
      if (line.empty()) {
        empty_lines_ += 1;
        continue;
      }
      return parse_list(line);
    }
  }
  bool read_empty_line() {
    std::string line;
    if (lines_->next(line, clock_.now() + kEventTimeoutMs) != net::LineReader::Result::line) return false;
    bytes_ += chunk_size(line);
    return line.empty();
  }
  std::uint64_t bytes() const { return bytes_; }

 private:
  static std::size_t chunk_size(const std::string& line) {
    char size[20];
    const int digits = std::snprintf(size, sizeof size, "%zx", line.size() + 1);
    // Plus two line ends of the chunk and one of the line.
    return static_cast<std::size_t>(digits) + line.size() + 5;
  }

  core::Clock clock_;
  net::BufferPool pool_{1};
  net::Socket socket_;
  net::BufferedInput input_{socket_, clock_, pool_};
  std::optional<net::LineReader> lines_;
  std::uint64_t bytes_ = 0;
  int empty_lines_ = 0;
};

ListSourceSettings fast_settings() {
  ListSourceSettings settings;
  settings.calls = {.work_per_call_ms = 1, .work_per_line_ms = 0, .patience_ms = 300};
  settings.history_limit = 50;
  return settings;
}

TEST_CASE("a watch gets all changes in order and continues from the sequence number that it names") {
  core::Clock clock;
  ListSource source(fast_settings(), clock);
  const std::size_t client = source.add_client();
  source.start_client(client, 0);
  std::mt19937_64 random(5);
  States states;
  std::int64_t seq = 0;
  for (int round = 0; round < 4; ++round) {
    Watch watch(source, client, seq);
    CHECK(watch.status() == 200);
    for (int i = 0; i < 10; ++i) source.set(HollowFleet::worker_endpoint(random() % 8, draw_state(random)));
    const std::int64_t newest = source.set(HollowFleet::worker_endpoint(random() % 8, draw_state(random)));
    while (seq < newest) {
      const auto list = watch.next();
      REQUIRE(list);
      CHECK(list->seq >= seq);
      CHECK_FALSE(list->complete);
      seq = list->seq;
      apply_list(states, *list);
    }
    CHECK(states == states_of(source.snapshot()));
  }
  for (int i = 0; i < 60; ++i) source.set(HollowFleet::worker_endpoint(0, WorkerState::ready));
  Watch outdated(source, client, seq);
  CHECK(outdated.status() == 200);
  const auto list = outdated.next();
  REQUIRE(list);
  CHECK(list->complete);
  CHECK(becomes_true([&] { return source.lateness().undelivered == 0; }));
  CHECK(source.lateness().delivered == 44 + 60);
  // Delivered at once, not with the next empty line.
  CHECK(source.lateness().max_ms < ListSource::kEmptyLineMs / 2);
}

TEST_CASE("the source's counters match what its clients read, and idle watches get empty lines") {
  core::Clock clock;
  ListSource source(fast_settings(), clock);
  const std::size_t first = source.add_client(), second = source.add_client();
  for (std::size_t i = 0; i < 30; ++i) source.set(HollowFleet::worker_endpoint(i, WorkerState::ready));
  Watch first_watch(source, first, 0), second_watch(source, second, 30);
  CHECK(first_watch.status() == 200);
  CHECK(first_watch.next()->endpoints.size() == 30);
  CHECK(second_watch.status() == 200);
  CHECK(second_watch.next()->endpoints.empty());
  source.set(HollowFleet::worker_endpoint(1, WorkerState::draining));
  CHECK(first_watch.next()->endpoints.size() == 1);
  CHECK(second_watch.next()->endpoints.size() == 1);
  CHECK(first_watch.read_empty_line());
  CHECK(second_watch.read_empty_line());
  const ListSourceCounts counts = source.counts();
  CHECK(counts.calls == 2);
  CHECK(counts.answered == 2);
  CHECK(counts.refused == 0);
  CHECK(counts.lines == 4);
  CHECK(counts.entries == 32);
  CHECK(counts.empty_lines == 2);
  CHECK(counts.bytes == first_watch.bytes() + second_watch.bytes());
  const ClientTraffic traffic = source.traffic(first);
  CHECK(traffic.list_bytes + traffic.empty_bytes == first_watch.bytes());
  CHECK(traffic.empty_bytes == 6);
}

TEST_CASE(
    "an outage closes open watches, calls during it are refused at their timeout, later ones are answered") {
  core::Clock clock;
  ListSource source(fast_settings(), clock);
  const std::size_t client = source.add_client();
  source.start_client(client, 0);
  source.set(HollowFleet::worker_endpoint(0, WorkerState::ready));
  Watch open_watch(source, client, 0);
  CHECK(open_watch.status() == 200);
  CHECK(open_watch.next()->seq == 1);
  source.start_outage(1'000);
  CHECK_FALSE(source.is_up());
  CHECK_FALSE(open_watch.next());
  source.set(HollowFleet::worker_endpoint(0, WorkerState::draining));
  const double called_at_ms = clock.now();
  Watch held(source, client, 1);
  CHECK(held.status() == 503);
  CHECK(clock.now() - called_at_ms >= 295);
  CHECK(becomes_true([&] { return source.is_up(); }));
  Watch after(source, client, 1);
  CHECK(after.status() == 200);
  CHECK(after.next()->endpoints.at(0).entry.state == WorkerState::draining);
  const ListSourceCounts counts = source.counts();
  CHECK(counts.calls == 3);
  CHECK(counts.answered == 2);
  CHECK(counts.refused == 1);
  CHECK(counts.wasted_turns == 0);  // its turn ended before its timeout
  CHECK(source.lateness().delivered == 2);
}

TEST_CASE("configured outages start and end on schedule") {
  ListSourceSettings settings = fast_settings();
  settings.outages = {{.start_ms = 100, .length_ms = 200}};
  core::Clock clock;
  ListSource source(settings, clock);
  const std::size_t client = source.add_client();
  Watch watch(source, client, 0);
  CHECK(watch.status() == 200);
  CHECK(watch.next());
  CHECK_FALSE(watch.next());
  CHECK(becomes_true([&] { return source.is_up(); }));
  Watch after(source, client, 0);
  CHECK(after.status() == 200);
}

TEST_CASE("the configured share of lines is cut, the same ones for the same seed, and no change is lost") {
  const auto cuts = [](std::uint64_t seed) {
    ListSourceSettings settings = fast_settings();
    settings.cut_share = 0.3;
    settings.seed = seed;
    core::Clock clock;
    ListSource source(settings, clock);
    const std::size_t client = source.add_client();
    source.start_client(client, 0);
    std::string outcomes;
    std::int64_t seq = 0;
    // One watch at a time, so that the source never has two lines to this client in flight.
    std::optional<Watch> watch;
    for (std::size_t i = 0; i < 40; ++i) {
      const std::int64_t newest = source.set(HollowFleet::worker_endpoint(i, WorkerState::ready));
      while (seq < newest) {
        if (!watch) CHECK(watch.emplace(source, client, seq).status() == 200);
        const auto list = watch->next();
        outcomes += list ? '.' : 'x';
        if (list)
          seq = list->seq;
        else
          watch.reset();
      }
    }
    const auto count = static_cast<std::uint64_t>(std::count(outcomes.begin(), outcomes.end(), 'x'));
    CHECK(source.counts().cut_lines == count);
    CHECK(count >= 5);
    CHECK(count <= 40);
    CHECK(source.lateness().undelivered == 0);
    return outcomes;
  };
  const std::string outcomes_of_seed_3 = cuts(3);
  CHECK(outcomes_of_seed_3 == cuts(3));
  CHECK(outcomes_of_seed_3 != cuts(4));
}

// Hollow dispatchers -----------------------------------------------------------------------------------

TEST_CASE("hollow dispatchers track the list through cut lines, an outage and a restart from an old list") {
  core::set_log_sink([](std::string_view) {});
  HollowFleetSettings settings;
  settings.dispatchers = 6;
  settings.workers = 40;
  settings.dispatchers_per_runtime = 3;
  settings.must_ask_within_ms = 500;
  settings.source = fast_settings();
  settings.source.cut_share = 0.1;
  core::Clock clock;
  HollowFleet fleet(settings, clock);
  CHECK(fleet.runtime_count() == 2);
  const core::EndpointList old_list = fleet.source().snapshot();
  const auto all_have = [&](const std::string& worker, WorkerState state) {
    return becomes_true([&] {
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto known = fleet.dispatcher(i).find(worker);
        if (!known || known->entry.state != state) return false;
      }
      return true;
    });
  };
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i, {});
  CHECK(all_have("worker-39", WorkerState::ready));
  fleet.source().set(HollowFleet::worker_endpoint(39, WorkerState::draining));
  CHECK(all_have("worker-39", WorkerState::draining));
  fleet.start(0, old_list);
  fleet.source().start_outage(300);
  fleet.source().set(HollowFleet::worker_endpoint(38, WorkerState::draining));
  CHECK(all_have("worker-38", WorkerState::draining));
  CHECK(all_have("worker-39", WorkerState::draining));
  CHECK(becomes_true([&] { return fleet.source().lateness().undelivered == 0; }));
  core::set_log_sink(nullptr);
}

// Generated day ---------------------------------------------------------------------------------------

TEST_CASE("a generated day is the same for the same seed, ordered, and leaves every worker on the list") {
  const FleetDaySettings settings{.workers = 320, .speed = 100, .seed = 9, .start_ms = 1e12};
  const std::vector<FleetChange> day = generate_day(settings), repeated_day = generate_day(settings);
  REQUIRE(day.size() == repeated_day.size());
  const std::size_t zone = 320 / 3 + 1;
  // Failures, restarts, a rack, a zone and weight changes; a zone may have one worker less.
  const std::size_t max_changes = 2 * 6 + 3 * 100 + 2 * 40 + 2 * zone + 130;
  CHECK(day.size() <= max_changes);
  CHECK(day.size() >= max_changes - 2);
  std::map<std::string, WorkerState> last;
  for (std::size_t i = 0; i < day.size(); ++i) {
    CHECK(day[i].at_ms == repeated_day[i].at_ms);
    CHECK(day[i].endpoint.entry.worker == repeated_day[i].endpoint.entry.worker);
    CHECK(day[i].at_ms <= 24 * 3'600'000.0 / 100);
    if (i > 0) CHECK(day[i - 1].at_ms <= day[i].at_ms);
    last[day[i].endpoint.entry.worker] = day[i].endpoint.entry.state;
  }
  for (const auto& [worker, state] : last) CHECK(state == WorkerState::ready);
}

}  // namespace
}  // namespace woadtide::lab::hollow
