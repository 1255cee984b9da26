// The stand-in service discovery and hollow dispatchers: what a measurement with them rests on.
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

constexpr double kPatienceMs = 10'000;  // for what must come; a test that waits so long fails
constexpr auto kNoLines = [] { return std::size_t{0}; };

core::HostList read(const std::string& text) { return core::read_host_list(nlohmann::json::parse(text)); }

// What a reader of the list's lines knows.
using States = std::map<std::string, WorkerState>;
void apply(States& states, const core::HostList& list) {
  if (list.whole) states.clear();
  for (const core::Host& host : list.hosts) {
    if (host.entry.state == WorkerState::gone)
      states.erase(host.entry.worker);
    else
      states[host.entry.worker] = host.entry.state;
  }
}

States states_of(const core::HostList& list) {
  States states;
  apply(states, list);
  return states;
}

WorkerState draw_state(std::mt19937_64& random) {
  constexpr WorkerState kStates[] = {WorkerState::ready, WorkerState::draining, WorkerState::gone};
  return kStates[random() % std::size(kStates)];
}

bool becomes_true(const std::function<bool()>& condition) {
  const core::Clock clock;
  const double until = clock.now() + kPatienceMs;
  while (!condition() && clock.now() < until) ::poll(nullptr, 0, 2);
  return condition();
}

// The list ---------------------------------------------------------------------------------------------

TEST_CASE("whoever goes on from any version ends with the same list, by whole lines or by changes") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 50; ++round) {
    VersionedList list(20);
    std::vector<States> known{{}};  // by version
    for (int i = 0; i < 60; ++i) {
      list.set(HollowFleet::worker(random() % 12, draw_state(random)));
      known.push_back(states_of(list.snapshot()));
    }
    for (std::int64_t since = 0; since <= list.version(); ++since) {
      const ListLine line = list.line_since(since);
      const core::HostList told = read(line.text);
      CAPTURE(since);
      CHECK(line.whole == (since < list.version() - 20));
      CHECK(told.whole == line.whole);
      CHECK(told.seq == list.version());
      CHECK(told.hosts.size() == line.entries);
      CHECK(list.entries_since(since) == line.entries);
      States states = known[static_cast<std::size_t>(since)];
      apply(states, told);
      CHECK(states == known.back());
    }
  }
}

TEST_CASE(
    "a client that is ahead of the list is sent the whole list, and one that is up to date an empty line") {
  VersionedList list(10);
  list.set(HollowFleet::worker(0, WorkerState::ready));
  CHECK(list.line_since(2).whole);
  const ListLine line = list.line_since(1);
  CHECK_FALSE(line.whole);
  CHECK(line.entries == 0);
}

// Calls in turn ----------------------------------------------------------------------------------------

std::vector<CallQueue::CallId> calls_of(const std::vector<CallQueue::Ended>& ended,
                                        CallQueue::Ending ending) {
  std::vector<CallQueue::CallId> calls;
  for (const CallQueue::Ended& one : ended)
    if (one.ending == ending) calls.push_back(one.call);
  return calls;
}
using Calls = std::vector<CallQueue::CallId>;

TEST_CASE("calls are taken one at a time, in the order of arrival, and cost by the call and by the line") {
  CallQueue queue({.work_per_call_ms = 10, .work_per_line_ms = 0.5, .patience_ms = 1'000});
  queue.arrive(1, 0, [] { return std::size_t{4}; });
  queue.arrive(2, 0, kNoLines);
  queue.arrive(3, 5, kNoLines);
  CHECK(queue.next_due() == 12);
  CHECK(queue.advance(11.9).empty());
  CHECK(calls_of(queue.advance(12), CallQueue::Ending::answered) == Calls{1});
  CHECK(calls_of(queue.advance(21.9), CallQueue::Ending::answered).empty());
  CHECK(calls_of(queue.advance(32), CallQueue::Ending::answered) == Calls{2, 3});
  CHECK(queue.next_due() == CallQueue::kNever);
  queue.arrive(4, 100, kNoLines);
  CHECK(queue.next_due() == 110);
}

TEST_CASE("a call that waits too long is refused, and takes its turn all the same") {
  CallQueue queue({.work_per_call_ms = 40, .work_per_line_ms = 0, .patience_ms = 100});
  for (CallQueue::CallId call = 1; call <= 4; ++call) queue.arrive(call, 0, kNoLines);
  const auto ended = queue.advance(100);
  CHECK(calls_of(ended, CallQueue::Ending::answered) == Calls{1, 2});
  CHECK(calls_of(ended, CallQueue::Ending::refused) == Calls{3, 4});
  queue.arrive(5, 100, kNoLines);
  CHECK(queue.advance(199).empty());  // until 160 the turns of 3 and 4
  CHECK(calls_of(queue.advance(200), CallQueue::Ending::answered) == Calls{5});
  CHECK(queue.wasted_turns() == 2);
}

TEST_CASE("a call whose caller left is worked on, unless the service notices") {
  for (const bool notices : {false, true}) {
    CallQueue queue({.work_per_call_ms = 40, .patience_ms = 1'000, .skips_abandoned = notices});
    for (CallQueue::CallId call = 1; call <= 3; ++call) queue.arrive(call, 0, kNoLines);
    queue.abandon(2);
    const auto ended = queue.advance(80);
    CHECK(calls_of(ended, CallQueue::Ending::answered) == (notices ? Calls{1, 3} : Calls{1}));
    queue.advance(120);
    CHECK(queue.wasted_turns() == (notices ? 0 : 1));
  }
}

TEST_CASE(
    "while the service is down calls are held and refused, and those still held are answered after it") {
  CallQueue queue({.work_per_call_ms = 10, .patience_ms = 100});
  queue.set_available(false);
  queue.arrive(1, 0, kNoLines);
  CHECK(queue.advance(99).empty());
  CHECK(calls_of(queue.advance(100), CallQueue::Ending::refused) == Calls{1});
  queue.arrive(2, 195, kNoLines);
  queue.advance(200);
  queue.set_available(true);
  CHECK(calls_of(queue.advance(205), CallQueue::Ending::answered) == Calls{2});
}

// Lateness ---------------------------------------------------------------------------------------------

TEST_CASE("lateness is counted for each change and client, from when it could have been told") {
  LatenessRecorder recorder;
  recorder.begin_client(0, 0, 0);
  recorder.begin_client(1, 1, 50);  // knows the first change, and starts after the second
  recorder.add_change(0);
  recorder.add_change(10);
  recorder.add_told(0, 1, 4);
  recorder.add_told(0, 2, 12);
  recorder.add_told(0, 2, 99);  // told again: not counted
  LatenessSummary summary = recorder.summary();
  CHECK(summary.told == 2);
  CHECK(summary.untold == 1);
  recorder.add_told(1, 2, 57);
  summary = recorder.summary();
  CHECK(summary.told == 3);
  CHECK(summary.untold == 0);
  CHECK(summary.p50_ms == 4);
  CHECK(summary.max_ms == 7);
  recorder.add_change(60);
  CHECK(recorder.summary().untold == 2);
  recorder.forget_told();
  CHECK(recorder.summary().told == 0);
  CHECK(recorder.summary().untold == 2);
  recorder.end_client(1);
  CHECK(recorder.summary().untold == 1);
}

// The source on its sockets ----------------------------------------------------------------------------

// One call to the source, read line by line. Counts the bytes that it reads.
class Watch {
 public:
  Watch(ListSource& source, std::size_t client, std::int64_t since) {
    const net::Address address(source.address(client));
    socket_ = net::Socket::make(address);
    REQUIRE(socket_.connect(address, kPatienceMs));
    const std::string request =
        "GET /registry/instances?follow=1&since=" + std::to_string(since) + " HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(socket_.send({request}, clock_.now() + kPatienceMs, clock_) == net::Io::done);
  }
  // The answer's status.
  int status() {
    net::Io why = net::Io::done;
    const auto length = intake_.head(clock_.now() + kPatienceMs, why);
    REQUIRE(length);
    const net::Head head = net::read_answer_head(intake_.view().substr(0, *length));
    bytes_ += *length;
    const net::Framing framing = net::framing_of_answer(head);
    intake_.use(*length);
    lines_.emplace(intake_, framing);
    return head.status;
  }
  // The next line with a list in it; nullopt where the watch has ended.
  std::optional<core::HostList> next() {
    std::string line;
    for (;;) {
      const auto got = lines_->next(line, clock_.now() + kPatienceMs);
      REQUIRE(got != net::LineReader::Got::late);
      if (got != net::LineReader::Got::line) return std::nullopt;
      bytes_ += chunk_size(line);
      if (line.empty()) {
        empty_lines_ += 1;
        continue;
      }
      return read(line);
    }
  }
  bool read_empty_line() {
    std::string line;
    if (lines_->next(line, clock_.now() + kPatienceMs) != net::LineReader::Got::line) return false;
    bytes_ += chunk_size(line);
    return line.empty();
  }
  std::uint64_t bytes() const { return bytes_; }

 private:
  static std::size_t chunk_size(const std::string& line) {
    char size[20];
    const int digits = std::snprintf(size, sizeof size, "%zx", line.size() + 1);
    return static_cast<std::size_t>(digits) + line.size() + 5;  // two line ends of the chunk, one of the line
  }

  core::Clock clock_;
  net::BufferPool pool_{1};
  net::Socket socket_;
  net::Intake intake_{socket_, clock_, pool_};
  std::optional<net::LineReader> lines_;
  std::uint64_t bytes_ = 0;
  int empty_lines_ = 0;
};

ListSourceSettings quick_settings() {
  ListSourceSettings settings;
  settings.calls = {.work_per_call_ms = 1, .work_per_line_ms = 0, .patience_ms = 300};
  settings.kept_versions = 50;
  return settings;
}

TEST_CASE("a watch is told all changes in order, and goes on from the sequence that it names") {
  core::Clock clock;
  ListSource source(quick_settings(), clock);
  const std::size_t client = source.add_client();
  source.begin_client(client, 0);
  std::mt19937_64 random(5);
  States states;
  std::int64_t seq = 0;
  for (int round = 0; round < 4; ++round) {
    Watch watch(source, client, seq);
    CHECK(watch.status() == 200);
    for (int i = 0; i < 10; ++i) source.set(HollowFleet::worker(random() % 8, draw_state(random)));
    const std::int64_t newest = source.set(HollowFleet::worker(random() % 8, draw_state(random)));
    while (seq < newest) {
      const auto list = watch.next();
      REQUIRE(list);
      CHECK(list->seq >= seq);
      CHECK_FALSE(list->whole);
      seq = list->seq;
      apply(states, *list);
    }
    CHECK(states == states_of(source.snapshot()));
  }
  for (int i = 0; i < 60; ++i) source.set(HollowFleet::worker(0, WorkerState::ready));
  Watch behind(source, client, seq);
  CHECK(behind.status() == 200);
  const auto list = behind.next();
  REQUIRE(list);
  CHECK(list->whole);
  CHECK(becomes_true([&] { return source.lateness().untold == 0; }));
  CHECK(source.lateness().told == 44 + 60);
  CHECK(source.lateness().max_ms < ListSource::kEmptyLineMs / 2);  // at once, not with the next empty line
}

TEST_CASE("what the source counts is what its clients read, and quiet watches get empty lines") {
  core::Clock clock;
  ListSource source(quick_settings(), clock);
  const std::size_t first = source.add_client(), second = source.add_client();
  for (std::size_t i = 0; i < 30; ++i) source.set(HollowFleet::worker(i, WorkerState::ready));
  Watch a(source, first, 0), b(source, second, 30);
  CHECK(a.status() == 200);
  CHECK(a.next()->hosts.size() == 30);
  CHECK(b.status() == 200);
  CHECK(b.next()->hosts.empty());
  source.set(HollowFleet::worker(1, WorkerState::draining));
  CHECK(a.next()->hosts.size() == 1);
  CHECK(b.next()->hosts.size() == 1);
  CHECK(a.read_empty_line());
  CHECK(b.read_empty_line());
  const ListSourceCounts counts = source.counts();
  CHECK(counts.calls == 2);
  CHECK(counts.answered == 2);
  CHECK(counts.refused == 0);
  CHECK(counts.lines == 4);
  CHECK(counts.entries == 32);
  CHECK(counts.empty_lines == 2);
  CHECK(counts.bytes == a.bytes() + b.bytes());
  const ClientTraffic traffic = source.traffic(first);
  CHECK(traffic.list_bytes + traffic.empty_bytes == a.bytes());
  CHECK(traffic.empty_bytes == 6);
}

TEST_CASE("an outage ends open watches, calls in it are refused after their patience, later ones answered") {
  core::Clock clock;
  ListSource source(quick_settings(), clock);
  const std::size_t client = source.add_client();
  source.begin_client(client, 0);
  source.set(HollowFleet::worker(0, WorkerState::ready));
  Watch open(source, client, 0);
  CHECK(open.status() == 200);
  CHECK(open.next()->seq == 1);
  source.fail_for(1'000);
  CHECK_FALSE(source.is_up());
  CHECK_FALSE(open.next());
  source.set(HollowFleet::worker(0, WorkerState::draining));
  const double asked = clock.now();
  Watch held(source, client, 1);
  CHECK(held.status() == 503);
  CHECK(clock.now() - asked >= 295);
  CHECK(becomes_true([&] { return source.is_up(); }));
  Watch after(source, client, 1);
  CHECK(after.status() == 200);
  CHECK(after.next()->hosts.at(0).entry.state == WorkerState::draining);
  const ListSourceCounts counts = source.counts();
  CHECK(counts.calls == 3);
  CHECK(counts.answered == 2);
  CHECK(counts.refused == 1);
  CHECK(counts.wasted_turns == 0);  // its turn was over before its patience was
  CHECK(source.lateness().told == 2);
}

TEST_CASE("outages of the settings begin and end by themselves") {
  ListSourceSettings settings = quick_settings();
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

TEST_CASE("the stated share of lines is cut, the same ones for the same seed, and nothing is lost by it") {
  const auto cuts = [](std::uint64_t seed) {
    ListSourceSettings settings = quick_settings();
    settings.cut_share = 0.3;
    settings.seed = seed;
    core::Clock clock;
    ListSource source(settings, clock);
    const std::size_t client = source.add_client();
    source.begin_client(client, 0);
    std::string cut_at;
    std::int64_t seq = 0;
    std::optional<Watch> watch;  // one at a time: the source never has two lines of ours on the way
    for (std::size_t i = 0; i < 40; ++i) {
      const std::int64_t newest = source.set(HollowFleet::worker(i, WorkerState::ready));
      while (seq < newest) {
        if (!watch) CHECK(watch.emplace(source, client, seq).status() == 200);
        const auto list = watch->next();
        cut_at += list ? '.' : 'x';
        if (list)
          seq = list->seq;
        else
          watch.reset();
      }
    }
    const auto count = static_cast<std::uint64_t>(std::count(cut_at.begin(), cut_at.end(), 'x'));
    CHECK(source.counts().cut_lines == count);
    CHECK(count >= 5);
    CHECK(count <= 40);
    CHECK(source.lateness().untold == 0);
    return cut_at;
  };
  const std::string one = cuts(3);
  CHECK(one == cuts(3));
  CHECK(one != cuts(4));
}

// Hollow dispatchers -----------------------------------------------------------------------------------

TEST_CASE("hollow dispatchers follow the list through cut lines, an outage and a restart from an old list") {
  core::set_log_sink([](std::string_view) {});
  HollowFleetSettings settings;
  settings.dispatchers = 6;
  settings.workers = 40;
  settings.dispatchers_per_runtime = 3;
  settings.must_ask_within_ms = 500;
  settings.source = quick_settings();
  settings.source.cut_share = 0.1;
  core::Clock clock;
  HollowFleet fleet(settings, clock);
  CHECK(fleet.runtimes() == 2);
  const core::HostList old = fleet.source().snapshot();
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
  fleet.source().set(HollowFleet::worker(39, WorkerState::draining));
  CHECK(all_have("worker-39", WorkerState::draining));
  fleet.start(0, old);
  fleet.source().fail_for(300);
  fleet.source().set(HollowFleet::worker(38, WorkerState::draining));
  CHECK(all_have("worker-38", WorkerState::draining));
  CHECK(all_have("worker-39", WorkerState::draining));
  CHECK(becomes_true([&] { return fleet.source().lateness().untold == 0; }));
  core::set_log_sink(nullptr);
}

// The day ----------------------------------------------------------------------------------------------

TEST_CASE("a day is the same for the same seed, in order, and leaves every worker on the list") {
  const FleetDaySettings settings{.workers = 320, .speed = 100, .seed = 9, .start_ms = 1e12};
  const std::vector<FleetChange> day = draw_day(settings), again = draw_day(settings);
  REQUIRE(day.size() == again.size());
  const std::size_t zone = 320 / 3 + 1;
  // Failures, restarts, a rack, a zone and other changes; a zone may have one worker less.
  const std::size_t most = 2 * 6 + 3 * 100 + 2 * 40 + 2 * zone + 130;
  CHECK(day.size() <= most);
  CHECK(day.size() >= most - 2);
  std::map<std::string, WorkerState> last;
  for (std::size_t i = 0; i < day.size(); ++i) {
    CHECK(day[i].at_ms == again[i].at_ms);
    CHECK(day[i].host.entry.worker == again[i].host.entry.worker);
    CHECK(day[i].at_ms <= 24 * 3'600'000.0 / 100);
    if (i > 0) CHECK(day[i - 1].at_ms <= day[i].at_ms);
    last[day[i].host.entry.worker] = day[i].host.entry.state;
  }
  for (const auto& [worker, state] : last) CHECK(state == WorkerState::ready);
}

}  // namespace
}  // namespace woadtide::lab::hollow
