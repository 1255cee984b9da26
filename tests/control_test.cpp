// What lies between dispatchers' figures and the rollout: cohorts by each one's past, stages that are judged,
// the checker of a change with each finding planted, and the files that say all that.
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

using rollout::Place;

core::ClassFigures figures(int asked, int failed, double ms) {
  core::ClassFigures one;
  one.asked = static_cast<std::uint64_t>(asked);
  one.failed = static_cast<std::uint64_t>(failed);
  for (int i = 0; i < asked - failed; ++i) one.add_served(ms, false);
  return one;
}

TEST_CASE("figures go through their text whole, and what is none is refused in a line") {
  const core::Figures all{{"a", figures(20, 3, 55)}, {"b", {}}};
  CHECK(core::read_figures(core::text_of(all)) == all);
  for (const char* bad : {"", "[]x", "{\"a\":{}}",
                          "{\"a\":{\"asked\":1,\"served\":1,\"refused\":0,\"failed\":0,"
                          "\"late\":0,\"bins\":[[128,1]]}}"})
    CHECK_THROWS_AS(core::read_figures(bad), std::runtime_error);
  CHECK(core::bin_of(0) == 0);
  CHECK(core::bin_of(-1) == 0);
  CHECK(core::bin_of(1e9) == core::kBins - 1);
  for (const double ms : {1.5, 10.0, 333.0}) {
    CHECK(ms <= core::top_of(core::bin_of(ms)));
    CHECK(ms > core::top_of(core::bin_of(ms) - 1));
  }
}

// Two dispatchers in one zone, looked at second by second.
struct Looked {
  Cohorts cohorts{{{"x", "a"}, {"y", "a"}}};
  std::map<std::string, Sample> samples{{"x", {0, 1, 0, 10, 0, {}}}, {"y", {0, 2, 0, 10, 0, {}}}};
  void second(const std::string& who, int asked, int failed, double ms = 50) {
    core::ClassFigures& sum = samples[who].classes["a"];
    const core::ClassFigures more = figures(asked, failed, ms);
    sum.asked += more.asked;
    sum.served += more.served;
    sum.failed += more.failed;
    for (std::size_t i = 0; i < core::kBins; ++i) sum.bins[i] += more.bins[i];
  }
  void look(const std::set<std::string>& learns) {
    for (auto& [name, sample] : samples) sample.at_ms += 1'000;
    cohorts.look(samples, learns);
  }
};
const Cohorts::Sides kXIsNew{{"x", Cohort::fresh}, {"y", Cohort::old}};

TEST_CASE("counts are of one look to the next; another process has none, but its restart counts") {
  Looked looked;
  looked.look({"x", "y"});
  looked.second("x", 10, 1);
  looked.second("y", 20, 0);
  looked.look({"x", "y"});
  const verdict::Slice slice = looked.cohorts.slice(kXIsNew);
  CHECK(slice.at("a").fresh.classes.at("a").asked == 10);
  CHECK(slice.at("a").fresh.classes.at("a").failed == 1);
  CHECK(slice.at("a").old.classes.at("a").asked == 20);
  looked.samples["x"] = {looked.samples["x"].at_ms, 9, 1, 10, 0, {{"a", figures(500, 500, 50)}}};
  looked.look({});
  const verdict::Slice after = looked.cohorts.slice(kXIsNew);
  CHECK(after.at("a").fresh.classes.empty());
  CHECK(after.at("a").fresh.restarts == 1);
  CHECK(after.at("a").fresh.dispatchers == 1);
}

// Guards both ways: one that always failed more is not made worse by its version, and one that is as the
// others is measured by them, so that rare events tell.
TEST_CASE("a dispatcher is measured by its own past where that differs, and by all where it does not") {
  for (const bool always : {true, false}) {
    CAPTURE(always);
    Looked looked;
    looked.look({"x", "y"});
    for (int i = 0; i < 60; ++i) {
      looked.second("x", 40, always ? 6 : 0);
      looked.second("y", 40, 0);
      looked.look({"x", "y"});
    }
    verdict::Verdict verdict;
    for (int i = 0; i < 60; ++i) {
      looked.second("x", 40, 6);
      looked.second("y", 40, 0);
      looked.look({"y"});
      verdict.add(looked.cohorts.slice(kXIsNew));
    }
    CAPTURE(verdict.reason());
    CHECK((verdict.outcome() == verdict::Outcome::worse) == !always);
  }
}

TEST_CASE("a past is remembered by the next life of the controller") {
  Looked looked;
  looked.look({"x", "y"});
  looked.second("x", 100, 10);
  looked.look({"x", "y"});
  Cohorts next{{{"x", "a"}, {"y", "a"}}};
  next.remember(looked.cohorts.text());
  CHECK(next.text() == looked.cohorts.text());
  CHECK_THROWS_AS(next.remember("{\"x\":1}"), std::runtime_error);
}

TEST_CASE("those with much traffic are changed first, but not the busiest quarter") {
  std::vector<config::RolloutPart::Member> members;
  for (const char* name : {"a", "b", "c", "d"}) members.push_back({name, "", ""});
  order_by_traffic(members, {{"a", 1}, {"b", 9}, {"c", 5}});
  CHECK(members[0].name == "c");
  CHECK(members.back().name == "b");
}

// The real cores over a made-up fleet: no false stop by a zone's trouble, and a defect ends where it begins.
TEST_CASE("a simulated fleet: a clean change is not stopped, a bad one stops at its first dispatcher") {
  lab::FleetSim setup;
  setup.dispatchers = 30;
  setup.stages = {2, 30};
  setup.margin = 0.05;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const lab::FleetSimResult clean = lab::simulate(setup, seed);
    CAPTURE(clean.reason);
    CHECK(clean.outcome != "back");
    lab::FleetSim bad = setup;
    bad.failed = 0.3;
    const lab::FleetSimResult stopped = lab::simulate(bad, seed);
    CHECK(stopped.outcome == "back");
    CHECK(stopped.most_on_new <= 2);
    CHECK(stopped.stopped_s < 60);
  }
}

// The checker
// --------------------------------------------------------------------------------------------------

using lab::cluster::ChangeBooks;
using lab::cluster::ChangeFindings;
using lab::cluster::judge_change;

ChangeBooks good_books() {
  ChangeBooks books;
  books.old_version = "old";
  books.lives = {{"n0", "start", "old", 1, 10},  {"n1", "start", "old", 1, 11},
                 {"n0", "start", "new", 20, 12}, {"n0", "gone", "", 25, 10},
                 {"n1", "start", "new", 40, 13}, {"n1", "gone", "", 45, 11}};
  books.stood = {{10, "checking", "", "", 0, {}},
                 {15, "moving", "", "", 1, {{"n0", "moving"}, {"n1", "on old"}}},
                 {35, "moving", "", "", 2, {{"n0", "on new"}, {"n1", "moving"}}},
                 {60, "complete", "", "", 2, {{"n0", "on new"}, {"n1", "on new"}}}};
  books.runs = {{"n0", "new"}, {"n1", "new"}};
  return books;
}

TEST_CASE("a change that kept to its plan is good, and each planted finding is found") {
  CHECK(judge_change(good_books()).good());
  CHECK(judge_change(good_books()).most_on_new == 2);
  {
    ChangeBooks books = good_books();
    books.lives[4].at_ms = 30;  // before its stage
    CHECK(judge_change(books).over_stage == 1);
  }
  {
    ChangeBooks books = good_books();
    books.runs["n1"] = "old";
    CHECK(judge_change(books).untrue == 1);
    books.runs["n1"] = "";
    CHECK(judge_change(books).untrue == 1);
    books.stood.back().phase = "back";
    books.stood.back().places["n0"] = "left";
    books.runs["n1"] = "old";
    CHECK(judge_change(books).good());  // the one that could not go back is named
  }
  {
    ChangeBooks books = good_books();
    books.stood.pop_back();
    CHECK(judge_change(books).no_end == 1);
  }
}

// Files
// ----------------------------------------------------------------------------------------------------------

std::string written(const std::string& text) {
  char folder[] = "/tmp/woadtide-control-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/operator.toml";
  std::ofstream(path) << text;
  return path;
}

TEST_CASE(
    "an operator's file one step newer is read without what is not known, more is refused, older is whole") {
  const auto newer = config::load_operator_file(
      written("format = 3\nlantern = 1\n[log]\nformat = \"json\"\ncolour = true\n"));
  CHECK(newer.log.json);
  CHECK(newer.passed_over == std::vector<std::string>{"log.colour", "lantern"});
  CHECK_THROWS_AS(config::load_operator_file(written("lantern = 1\n")), std::runtime_error);
  CHECK(config::load_operator_file(written("format = 1\n[jobs]\nlinks = 5\n")).jobs.links == 5);
  try {
    config::load_operator_file(written("\nformat = 4\n"));
    FAIL("it was taken");
  } catch (const std::runtime_error& wrong) {
    CHECK(std::string(wrong.what()).find(":2: format: 4 is more than one step") != std::string::npos);
  }
}

TEST_CASE("what differs between two files is told by key, and what of it takes hold in service") {
  const auto one = config::load_operator_file(written("[log]\nformat = \"text\"\n"));
  const auto other =
      config::load_operator_file(written("[log]\nformat = \"json\"\n[jobs]\nlease_ms = 500\n"));
  const auto changed = cli::differences(one, other);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].key == "jobs.lease_ms");
  CHECK(changed[0].to == "500");
  CHECK_FALSE(cli::changes_live(changed[0].key));
  CHECK(changed[1].key == "log.format");
  CHECK(cli::changes_live(changed[1].key));
  CHECK(cli::differences(one, one).empty());
}

}  // namespace
}  // namespace woadtide::control
