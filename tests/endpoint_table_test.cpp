// Tests of the endpoint table: what an update changes, and what it costs.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <pcg_random.hpp>

#include "allocation_counter.hpp"
#include "endpoints_harness.hpp"

namespace woadtide::endpoints {
namespace {

EndpointTable table_of(int count) {
  EndpointTable table;
  table.apply(update_of(1, true, count));
  return table;
}

EndpointUpdate delta_with(Endpoint endpoint, std::int64_t sequence = 2) {
  return {sequence, false, {std::move(endpoint)}};
}

std::vector<std::string> names_of(const std::vector<const Endpoint*>& endpoints) {
  std::vector<std::string> names;
  for (const Endpoint* endpoint : endpoints) names.push_back(endpoint->name());
  return names;
}

TEST_CASE("a first snapshot adds all endpoints, the same snapshot again changes nothing") {
  EndpointTable table;
  CHECK(table.empty());
  const EndpointDelta first = table.apply(update_of(5, true, 100));
  CHECK(first.added.size() == 100);
  CHECK(first.changed.empty());
  CHECK(first.removed.empty());
  CHECK(table.size() == 100);
  CHECK(table.sequence() == 5);
  CHECK(table.apply(update_of(6, true, 100)).empty());
  CHECK(table.sequence() == 6);
  REQUIRE(table.find(endpoint_numbered(7).name()) != nullptr);
  CHECK(*table.find(endpoint_numbered(7).name()) == endpoint_numbered(7));
  CHECK(table.find("nobody") == nullptr);
}

TEST_CASE("the delta of a snapshot contains only actual differences") {
  EndpointTable table = table_of(100);
  EndpointUpdate snapshot = update_of(2, true, 100, 2);  // without 0 and 1, with 100 and 101
  snapshot.endpoints[0].entry.state = WorkerState::draining;
  const EndpointDelta delta = table.apply(std::move(snapshot));
  CHECK(names_of(delta.added) ==
        std::vector<std::string>{endpoint_numbered(100).name(), endpoint_numbered(101).name()});
  REQUIRE(delta.changed.size() == 1);
  CHECK(delta.changed[0].before == endpoint_numbered(2));
  CHECK(delta.changed[0].after->entry.state == WorkerState::draining);
  CHECK(delta.removed == EndpointSequence{endpoint_numbered(0), endpoint_numbered(1)});
  CHECK(table.size() == 100);
}

TEST_CASE("a snapshot of a tenth of the list removes the others, and an empty snapshot removes all") {
  EndpointTable table = table_of(3'200);
  const EndpointDelta delta = table.apply(update_of(2, true, 320));
  CHECK(delta.removed.size() == 2'880);
  CHECK(delta.added.empty());
  CHECK(delta.changed.empty());
  CHECK(table.size() == 320);
  CHECK(table.apply(update_of(3, true, 0)).removed.size() == 320);
  CHECK(table.empty());
}

TEST_CASE("an endpoint with state gone in a snapshot is not listed") {
  EndpointTable table = table_of(2);
  EndpointUpdate snapshot = update_of(2, true, 3);
  for (Endpoint& endpoint : snapshot.endpoints) endpoint.entry.state = WorkerState::gone;
  const EndpointDelta delta = table.apply(std::move(snapshot));
  CHECK(delta.removed.size() == 2);
  CHECK(delta.added.empty());
  CHECK(table.empty());
}

TEST_CASE("a difference in any field is a change, including the address") {
  std::vector<Endpoint> modified_endpoints(7, endpoint_numbered(1));
  modified_endpoints[0].address = "10.9.9.9:8000";
  modified_endpoints[1].entry.zone = "z";
  modified_endpoints[2].entry.kind = "m9";
  modified_endpoints[3].entry.cell = 99;
  modified_endpoints[4].entry.state = WorkerState::draining;
  modified_endpoints[5].entry.weight = 0.5;
  modified_endpoints[6].entry.started = std::chrono::milliseconds(kStartedAtMs);
  for (const Endpoint& modified : modified_endpoints) {
    EndpointTable table = table_of(3);
    const EndpointDelta delta = table.apply(delta_with(modified));
    REQUIRE(delta.changed.size() == 1);
    CHECK(delta.changed[0].before == endpoint_numbered(1));
    CHECK(*delta.changed[0].after == modified);
    CHECK(*table.find(modified.name()) == modified);
    CHECK(table.apply(delta_with(modified, 3)).empty());
  }
}

TEST_CASE("a delta adds endpoints, and removes those with state gone if they are listed") {
  EndpointTable table = table_of(3);
  CHECK(names_of(table.apply(delta_with(endpoint_numbered(3))).added) ==
        std::vector<std::string>{endpoint_numbered(3).name()});
  Endpoint gone = endpoint_numbered(1);
  gone.entry.state = WorkerState::gone;
  const EndpointDelta delta = table.apply(delta_with(gone));
  CHECK(delta.removed == EndpointSequence{endpoint_numbered(1)});
  CHECK(table.find(gone.name()) == nullptr);
  CHECK(table.apply(delta_with(gone)).empty());
  CHECK(table.size() == 3);
}

TEST_CASE("an update that adds an endpoint and removes it again is rejected as an error of the caller") {
  EndpointTable table = table_of(3);
  EndpointUpdate update = delta_with(endpoint_numbered(9));
  update.endpoints.push_back(endpoint_numbered(9));
  update.endpoints.back().entry.state = WorkerState::gone;
  CHECK_THROWS_AS(table.apply(std::move(update)), std::invalid_argument);
}

TEST_CASE("a change costs the same at any table size, a snapshot one pass over both lists") {
  std::size_t allocations_at_100 = 0;
  for (const int count : {100, 1'000, 3'200, 10'000}) {
    CAPTURE(count);
    EndpointTable table = table_of(count);
    Endpoint modified = endpoint_numbered(50);
    modified.address = "10.9.9.9:8000";
    EndpointUpdate change = delta_with(modified);
    std::uint64_t visited = table.entries_visited();
    const std::size_t allocations = testing::heap_usage().allocations;
    const EndpointDelta delta = table.apply(std::move(change));
    const std::size_t allocations_of_change = testing::heap_usage().allocations - allocations;
    CHECK(delta.changed.size() == 1);
    CHECK(table.entries_visited() - visited == 1);
    if (count == 100) allocations_at_100 = allocations_of_change;
    CHECK(allocations_of_change == allocations_at_100);  // nothing is copied

    visited = table.entries_visited();
    table.apply(update_of(3, true, count));
    CHECK(table.entries_visited() - visited == 2 * static_cast<std::uint64_t>(count));
  }
}

TEST_CASE("after any updates the table equals a plain map, and the deltas describe every change") {
  CHECK(rc::check([] {
    pcg32 random(*rc::gen::arbitrary<std::uint32_t>());
    const int updates = *rc::gen::inRange(1, 12);
    EndpointTable table;
    std::map<std::string, Endpoint> expected;
    std::map<std::string, Endpoint> rebuilt_from_deltas;
    for (int sequence = 1; sequence <= updates; ++sequence) {
      EndpointUpdate update{sequence, random(3) == 0, {}};
      for (int number = 0; number < 8; ++number) {
        if (random(2) == 0) continue;
        update.endpoints.push_back(endpoint_numbered(number));
        update.endpoints.back().entry.state = static_cast<WorkerState>(random(3));
        update.endpoints.back().entry.cell = random(2);
      }
      if (update.is_snapshot) expected.clear();
      for (const Endpoint& endpoint : update.endpoints) {
        expected.erase(endpoint.name());
        if (endpoint.entry.state != WorkerState::gone) expected.emplace(endpoint.name(), endpoint);
      }
      const EndpointDelta delta = table.apply(std::move(update));
      for (const Endpoint& endpoint : delta.removed)
        RC_ASSERT(rebuilt_from_deltas.erase(endpoint.name()) == 1u);
      for (const Endpoint* endpoint : delta.added)
        RC_ASSERT(rebuilt_from_deltas.emplace(endpoint->name(), *endpoint).second);
      for (const EndpointChange& change : delta.changed) {
        RC_ASSERT(rebuilt_from_deltas.at(change.after->name()) == change.before);
        RC_ASSERT(!(change.before == *change.after));
        rebuilt_from_deltas[change.after->name()] = *change.after;
      }
      RC_ASSERT(rebuilt_from_deltas == expected);
      auto at = expected.begin();
      for (const Endpoint& endpoint : table) RC_ASSERT(endpoint == (at++)->second);
      RC_ASSERT(at == expected.end());
    }
  }));
}

}  // namespace
}  // namespace woadtide::endpoints
