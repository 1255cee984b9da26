// Tests of the code between the dispatchers' statistics and the rollout: cohorts and baselines, simulated
// rollouts, the checker of a rollout with each kind of violation planted, and the operator's file.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <fstream>

#include "cli/settings_commands.hpp"
#include "control/assessor.hpp"
#include "lab/cluster/change_judge.hpp"
#include "lab/fleet_sim.hpp"

namespace woadtide::control {
namespace {

using rollout::MemberState;

core::ClassStats figures(int asked, int failed, double ms) {
  core::ClassStats counts;
  counts.accepted = static_cast<std::uint64_t>(asked);
  counts.failed = static_cast<std::uint64_t>(failed);
  for (int i = 0; i < asked - failed; ++i) counts.add_served(ms, false);
  return counts;
}

TEST_CASE("statistics survive serialization, and malformed text is refused") {
  const core::DispatcherStats all{{"a", figures(20, 3, 55)}, {"b", {}}};
  CHECK(core::parse_stats(core::serialize(all)) == all);
  for (const char* malformed : {"", "[]x", "{\"a\":{}}",
                                "{\"a\":{\"asked\":1,\"served\":1,\"refused\":0,\"failed\":0,"
                                "\"late\":0,\"bins\":[[128,1]]}}"})
    CHECK_THROWS_AS(core::parse_stats(malformed), std::runtime_error);
  CHECK(core::latency_bin_of(0) == 0);
  CHECK(core::latency_bin_of(-1) == 0);
  CHECK(core::latency_bin_of(1e9) == core::kLatencyBinCount - 1);
  for (const double ms : {1.5, 10.0, 333.0}) {
    CHECK(ms <= core::latency_bin_limit_ms(core::latency_bin_of(ms)));
    CHECK(ms > core::latency_bin_limit_ms(core::latency_bin_of(ms) - 1));
  }
}

// Two dispatchers in one zone, sampled every second.
struct SampledDispatchers {
  Cohorts cohorts{{{"x", "a"}, {"y", "a"}}};
  std::map<std::string, Sample> samples{{"x", {0, 1, 0, 10, 0, {}}}, {"y", {0, 2, 0, 10, 0, {}}}};
  void serve_second(const std::string& name, int asked, int failed, double ms = 50) {
    core::ClassStats& sum = samples[name].classes["a"];
    const core::ClassStats more = figures(asked, failed, ms);
    sum.accepted += more.accepted;
    sum.served += more.served;
    sum.failed += more.failed;
    for (std::size_t i = 0; i < core::kLatencyBinCount; ++i) sum.latency_bins[i] += more.latency_bins[i];
  }
  void sample(const std::set<std::string>& unchanged) {
    for (auto& [name, sample] : samples) sample.at_ms += 1'000;
    cohorts.add_samples(samples, unchanged);
  }
};
const Cohorts::Assignment kXChanged{{"x", Cohort::changed}, {"y", Cohort::reference}};

TEST_CASE("counts cover the time between two samples; a new process has none, but its restart counts") {
  SampledDispatchers dispatchers;
  dispatchers.sample({"x", "y"});
  dispatchers.serve_second("x", 10, 1);
  dispatchers.serve_second("y", 20, 0);
  dispatchers.sample({"x", "y"});
  const verdict::Slice slice = dispatchers.cohorts.slice(kXChanged);
  CHECK(slice.at("a").changed.classes.at("a").accepted == 10);
  CHECK(slice.at("a").changed.classes.at("a").failed == 1);
  CHECK(slice.at("a").reference.classes.at("a").accepted == 20);
  dispatchers.samples["x"] = {dispatchers.samples["x"].at_ms, 9, 1, 10, 0, {{"a", figures(500, 500, 50)}}};
  dispatchers.sample({});
  const verdict::Slice after = dispatchers.cohorts.slice(kXChanged);
  CHECK(after.at("a").changed.classes.empty());
  CHECK(after.at("a").changed.restarts == 1);
  CHECK(after.at("a").changed.dispatchers == 1);
}

// A dispatcher that always failed more must not count as made worse by its version; one that matches the
// others is measured by their baselines, so that rare events are detected.
TEST_CASE("a dispatcher is measured by its own baseline where that differs from the fleet's, else by all") {
  for (const bool failed_before : {true, false}) {
    CAPTURE(failed_before);
    SampledDispatchers dispatchers;
    dispatchers.sample({"x", "y"});
    for (int i = 0; i < 60; ++i) {
      dispatchers.serve_second("x", 40, failed_before ? 6 : 0);
      dispatchers.serve_second("y", 40, 0);
      dispatchers.sample({"x", "y"});
    }
    verdict::Verdict verdict;
    for (int i = 0; i < 60; ++i) {
      dispatchers.serve_second("x", 40, 6);
      dispatchers.serve_second("y", 40, 0);
      dispatchers.sample({"y"});
      verdict.add(dispatchers.cohorts.slice(kXChanged));
    }
    CAPTURE(verdict.reason());
    CHECK((verdict.outcome() == verdict::Outcome::worse) == !failed_before);
  }
}

TEST_CASE("baselines are restored by the next run of the controller") {
  SampledDispatchers dispatchers;
  dispatchers.sample({"x", "y"});
  dispatchers.serve_second("x", 100, 10);
  dispatchers.sample({"x", "y"});
  Cohorts next{{{"x", "a"}, {"y", "a"}}};
  next.restore_baselines(dispatchers.cohorts.serialize_baselines());
  CHECK(next.serialize_baselines() == dispatchers.cohorts.serialize_baselines());
  CHECK_THROWS_AS(next.restore_baselines("{\"x\":1}"), std::runtime_error);
}

TEST_CASE("members with much traffic are changed first, except for the busiest quarter") {
  std::vector<config::RolloutSettings::Member> members;
  for (const char* name : {"a", "b", "c", "d"}) members.push_back({name, "", ""});
  order_by_traffic(members, {{"a", 1}, {"b", 9}, {"c", 5}});
  CHECK(members[0].name == "c");
  CHECK(members.back().name == "b");
}

// The real state machines with a simulated fleet: a fault of a whole zone must not stop a change, and a
// defect must stop it in its first stage.
TEST_CASE(
    "simulated fleet: a change without faults is not stopped, a bad one is stopped in its first stage") {
  lab::FleetSimSettings settings;
  settings.dispatchers = 30;
  settings.stages = {2, 30};
  settings.margin = 0.05;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const lab::FleetSimResult clean = lab::simulate_change(settings, seed);
    CAPTURE(clean.reason);
    CHECK(clean.outcome != "back");
    lab::FleetSimSettings defective = settings;
    defective.failed_payout_share = 0.3;
    const lab::FleetSimResult stopped = lab::simulate_change(defective, seed);
    CHECK(stopped.outcome == "back");
    CHECK(stopped.max_on_new <= 2);
    CHECK(stopped.rolled_back_after_s < 60);
  }
}

// The checker ---------------------------------------------------------------------------------------------

using lab::cluster::ChangeFindings;
using lab::cluster::ChangeRecords;
using lab::cluster::check_change;

ChangeRecords valid_records() {
  ChangeRecords records;
  records.old_version = "old";
  records.events = {{"n0", "start", "old", 1, 10},  {"n1", "start", "old", 1, 11},
                    {"n0", "start", "new", 20, 12}, {"n0", "gone", "", 25, 10},
                    {"n1", "start", "new", 40, 13}, {"n1", "gone", "", 45, 11}};
  records.states = {{10, "checking", "", "", 0, {}},
                    {15, "moving", "", "", 1, {{"n0", "moving"}, {"n1", "on old"}}},
                    {35, "moving", "", "", 2, {{"n0", "on new"}, {"n1", "moving"}}},
                    {60, "complete", "", "", 2, {{"n0", "on new"}, {"n1", "on new"}}}};
  records.final_versions = {{"n0", "new"}, {"n1", "new"}};
  return records;
}

TEST_CASE("a change that followed its plan passes the check, and each planted violation is found") {
  CHECK(check_change(valid_records()).good());
  CHECK(check_change(valid_records()).max_on_new == 2);
  {
    ChangeRecords records = valid_records();
    records.events[4].at_ms = 30;  // before its stage allowed it
    CHECK(check_change(records).stage_overruns == 1);
  }
  {
    ChangeRecords records = valid_records();
    records.final_versions["n1"] = "old";
    CHECK(check_change(records).wrong_versions == 1);
    records.final_versions["n1"] = "";
    CHECK(check_change(records).wrong_versions == 1);
    records.states.back().phase = "back";
    records.states.back().places["n0"] = "left";
    records.final_versions["n1"] = "old";
    CHECK(check_change(records).good());  // the member that could not go back is reported
  }
  {
    ChangeRecords records = valid_records();
    records.states.pop_back();
    CHECK(check_change(records).unfinished == 1);
  }
}

// The operator's file -------------------------------------------------------------------------------------

std::string write_file(const std::string& text) {
  char folder[] = "/tmp/woadtide-control-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/operator.toml";
  std::ofstream(path) << text;
  return path;
}

TEST_CASE("operator's file: one format newer loads without unknown keys, newer is refused, older loads") {
  const auto newer = config::load_operator_file(
      write_file("format = 3\nlantern = 1\n[log]\nformat = \"json\"\ncolour = true\n"));
  CHECK(newer.log.json);
  CHECK(newer.ignored_keys == std::vector<std::string>{"log.colour", "lantern"});
  CHECK_THROWS_AS(config::load_operator_file(write_file("lantern = 1\n")), std::runtime_error);
  CHECK(config::load_operator_file(write_file("format = 1\n[jobs]\nlinks = 5\n")).jobs.links == 5);
  try {
    config::load_operator_file(write_file("\nformat = 4\n"));
    FAIL("the file was accepted");
  } catch (const std::runtime_error& error) {
    CHECK(std::string(error.what()).find(":2: format: 4 is more than one step") != std::string::npos);
  }
}

TEST_CASE("differences between two files are listed by key, with those that apply without a restart") {
  const auto one = config::load_operator_file(write_file("[log]\nformat = \"text\"\n"));
  const auto other =
      config::load_operator_file(write_file("[log]\nformat = \"json\"\n[jobs]\nlease_ms = 500\n"));
  const auto changed = cli::changed_settings(one, other);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].key == "jobs.lease_ms");
  CHECK(changed[0].to == "500");
  CHECK_FALSE(cli::applies_on_reload(changed[0].key));
  CHECK(changed[1].key == "log.format");
  CHECK(cli::applies_on_reload(changed[1].key));
  CHECK(cli::changed_settings(one, one).empty());
}

}  // namespace
}  // namespace woadtide::control
