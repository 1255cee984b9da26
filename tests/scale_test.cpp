// The harness of scaling sweeps: its fits on known data, and counts that hold at any size. Times are compared
// within one run only, with wide bounds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

#include "core/log.hpp"
#include "lab/scale/admission.hpp"
#include "lab/scale/allocations.hpp"
#include "lab/scale/change_harness.hpp"
#include "lab/scale/fit.hpp"
#include "lab/scale/list_client_harness.hpp"
#include "lab/scale/list_crowd.hpp"
#include "lab/scale/module_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/report.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {
namespace {

constexpr double kSizes[] = {50, 100, 200, 400, 800, 1'600, 3'200, 6'400};

template <class Function>
std::vector<Observation> observe(const Function& function) {
  std::vector<Observation> observations;
  for (const double size : kSizes) observations.push_back({size, function(size)});
  return observations;
}

// Multiplies by up to 1 +- `share`, evenly drawn.
class Noise {
 public:
  Noise(double share, std::uint64_t seed) : share_(share), random_(seed) {}
  double operator()(double value) {
    const double draw = static_cast<double>(random_() >> 11) * 0x1p-53;
    return value * (1 + share_ * (2 * draw - 1));
  }

 private:
  double share_;
  std::mt19937_64 random_;
};

TEST_CASE("fit: an exact line is found, without error and without a bend") {
  const auto observations = observe([](double size) { return 3 + 0.25 * size; });
  const LineFit fit = fit_line(observations);
  CHECK(fit.intercept.value == doctest::Approx(3));
  CHECK(fit.slope.value == doctest::Approx(0.25));
  CHECK(fit.slope.standard_error < 1e-9);
  CHECK(fit.at(10'000).value == doctest::Approx(2'503));
  CHECK(!find_bend(observations));
}

TEST_CASE("fit: a quadratic has exponent 2, and is no line") {
  const auto observations = observe([](double size) { return 0.5 * size * size; });
  const auto power = fit_power(observations);
  REQUIRE(power);
  CHECK(power->exponent.value == doctest::Approx(2));
  CHECK(power->exponent.standard_error < 1e-9);
  CHECK(power->factor == doctest::Approx(0.5));
  CHECK(fit_line(observations).relative_residual > 0.3);
}

TEST_CASE("fit: a bend is found where it is, with both slopes, also through noise") {
  const auto bent = [](double size) { return 10 + size + 4 * std::max(0.0, size - 800); };
  const auto exact = find_bend(observe(bent));
  REQUIRE(exact);
  CHECK(exact->size == 800);
  CHECK(exact->slope_before == doctest::Approx(1));
  CHECK(exact->slope_after == doctest::Approx(5));
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Noise noise(0.05, seed);
    const auto bend = find_bend(observe([&](double size) { return noise(bent(size)); }));
    found += bend && bend->size >= 400 && bend->size <= 1'600;
  }
  CHECK(found >= 90);
}

TEST_CASE("fit: noise alone is seldom taken for a bend, and the slope's error covers the truth") {
  int false_bends = 0, covered = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Noise noise(0.1, seed);
    const auto observations = observe([&](double size) { return noise(5 + 2 * size); });
    false_bends += find_bend(observations).has_value();
    const Estimate slope = fit_line(observations).slope;
    covered += std::abs(slope.value - 2) <= 2.45 * slope.standard_error;  // 95% with 6 degrees of freedom
  }
  MESSAGE("false bends " << false_bends << " of 200, slopes covered " << covered << " of 200");
  CHECK(false_bends <= 10);
  CHECK(covered >= 180);
}

TEST_CASE("fit: too few observations, and values without a logarithm, are refused") {
  CHECK_THROWS_AS(fit_line({{1, 1}, {2, 2}}), std::invalid_argument);
  CHECK_THROWS_AS(fit_line({{1, 1}, {1, 2}, {1, 3}}), std::invalid_argument);
  CHECK(!fit_power({{1, 0}, {2, 1}, {3, 2}}));
}

TEST_CASE("samples: median and tenths, whatever their order") {
  const Point point = point_of(7, {5, 1, 2, 3, 4, 11, 6, 7, 8, 9, 10});
  CHECK(point.size == 7);
  CHECK(point.median == 6);
  CHECK(point.low == 2);
  CHECK(point.high == 10);
  CHECK_THROWS_AS(point_of(1, {}), std::invalid_argument);
}

TEST_CASE("allocations: the hook counts calls and live bytes") {
  const Allocations before = allocations();
  auto* const text = new std::string(1'000, 'x');
  const Allocations held = allocations();
  delete text;
  CHECK(held.count - before.count == 2);
  CHECK(held.live_bytes - before.live_bytes >= 1'000);
  CHECK(allocations().live_bytes == before.live_bytes);
}

std::uint64_t allocations_of(const std::function<void()>& work) {
  const std::uint64_t before = allocations().count;
  work();
  return allocations().count - before;
}

TEST_CASE("module: a request, its start and its outcome take the same actions at any number of workers") {
  for (const int workers : {50, 400, 1'600}) {
    CAPTURE(workers);
    ModuleHarness module({workers, 300}, 1);
    module.fill(20);
    REQUIRE(module.request());
    CHECK(module.actions().size() == 2);  // the send, and the timer of its start
    module.note_start_of_newest();
    CHECK(module.actions().empty());
    module.finish_oldest();
    CHECK(module.actions().empty());
  }
}

TEST_CASE("module: what a request allocates grows as a vector of candidates does, not with the list") {
  const auto of_request = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.fill(20);
    return allocations_of([&] { module.request(); });
  };
  const std::uint64_t few = of_request(50), many = of_request(1'600);
  MESSAGE("allocations of a request: " << few << " at 50 workers, " << many << " at 1,600");
  CHECK(many - few <= 5);  // 1,600 is 32 times 50: five doublings
  CHECK(of_request(1'600) == many);
}

TEST_CASE("module: a list change allocates the same at any number of workers; a whole list by the worker") {
  const auto of_change = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.list_change();
    return allocations_of([&] { module.list_change(); });
  };
  CHECK(of_change(50) == of_change(1'600));
  const auto of_whole = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    return static_cast<double>(allocations_of([&] { module.whole_list(); }));
  };
  const double ratio = of_whole(1'600) / of_whole(50);
  CHECK(ratio <= 33);
}

TEST_CASE("module: the cost of a request over workers is no more than linear, within one run") {
  const auto of_request = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.fill(20);
    EventSamples samples;
    for (int i = 0; i < 64; ++i) {
      bool sent = false;
      samples.measure([&] { sent = module.request(); });
      if (sent) module.finish_oldest();
    }
    return samples.time(workers).median;
  };
  const double ratio = of_request(1'600) / of_request(100);
  MESSAGE("a request at 1,600 workers costs " << ratio << " times that at 100");
  CHECK(ratio < 16 * 8);
}

// All that is counted, without times and memory.
nlohmann::json counts_of(const Report& report) {
  nlohmann::json counts = json_of(report);
  for (auto& series : counts["series"]) series.erase("fit");
  std::erase_if(counts["series"].get_ref<nlohmann::json::array_t&>(), [](const nlohmann::json& series) {
    return series["unit"] == "us" || series["unit"] == "KB";
  });
  return counts;
}

TEST_CASE("parts: counts are the same each time, and another seed's are other ones") {
  Settings settings;
  settings.small = true;
  for (const char* part : {"module", "admission", "crowd"}) {
    CAPTURE(part);
    settings.seed = 1;
    const nlohmann::json first = counts_of(run_part(part, settings));
    CHECK(first["series"].size() >= 4);
    CHECK(first == counts_of(run_part(part, settings)));
    settings.seed = 2;
    CHECK(first != counts_of(run_part(part, settings)));
  }
  CHECK_THROWS_AS(run_part("lantern", settings), std::invalid_argument);
}

TEST_CASE("crowd: after a start of all, calls for the list are spread, and all get it") {
  ListCrowd crowd;
  crowd.dispatchers = 100;
  crowd.call_time = std::chrono::milliseconds(60);
  const ListCrowdResult result = simulate(crowd, 1);
  CHECK(result.subscribed == 100);
  CHECK(result.failed_calls == 0);
  CHECK(result.calls == 100);
  CHECK(result.most_calls_in_a_second <= 40);
}

TEST_CASE("admission: where limits leave room, nothing is refused and what is offered runs") {
  AdmissionLoad load;
  load.workers = 200;
  load.dispatchers = 1'000;
  const AdmissionResult result = simulate(load, 1);
  CHECK(result.refused == 0);
  CHECK(result.asked > 100);
  CHECK(result.mean_running == doctest::Approx(result.offered_running).epsilon(0.25));
}

TEST_CASE("list: bytes grow by the worker, and one change has the same size whatever the list") {
  const auto bytes = [](int workers) {
    return static_cast<double>(core::text_of(endpoint_list(workers)).size());
  };
  CHECK(bytes(1'600) / bytes(100) == doctest::Approx(16).epsilon(0.02));
  CHECK(core::text_of(endpoint_change(7, 2, WorkerState::draining)).size() <= 256);
}

TEST_CASE("list: the client tells on a list and a change, and a line that it cannot read is no list") {
  core::set_log_sink([](std::string_view) {});
  ListClientHarness client;
  CHECK(client.deliver(endpoint_list(100)));
  CHECK(client.deliver(endpoint_change(7, 2, WorkerState::draining)));
  CHECK(!client.deliver(core::HostList{3, true, {{{.worker = std::string(1'000'000, 'w')}, "127.0.0.1:1"}}}));
  core::set_log_sink(nullptr);
}

TEST_CASE("controller: all members are ordered to check in one tick, and a change moves each once") {
  for (const int members : {10, 40}) {
    CAPTURE(members);
    ChangeHarness fleet(members, 1);
    fleet.finish_checks();
    CHECK(fleet.orders_at_first_tick() == static_cast<std::size_t>(members));
    std::size_t moved = 0;
    for (int stage = 0; stage < 10 && !fleet.rollout().over(); ++stage) {
      moved += fleet.move_stage();
      fleet.next_stage();
    }
    CHECK(moved == static_cast<std::size_t>(members));
    CHECK(fleet.rollout().phase() == rollout::Phase::complete);
  }
}

TEST_CASE("store and supervisor: small sweeps run, and a commit allocates the same beside many open jobs") {
  Settings settings;
  settings.small = true;
  const Report store = run_part("store", settings);
  for (const Series& series : store.series) {
    if (series.name != "commit of one new job, allocations") continue;
    CHECK(series.points.front().median == series.points.back().median);
  }
  CHECK(store.series.size() == 13);
  const Report supervisor = run_part("supervisor", settings);
  const Series& bytes = supervisor.series.back();
  CHECK(bytes.name == "state, bytes");
  CHECK(fit_series(bytes)->line.slope.value < 64);  // of a name and its quotes
}

TEST_CASE("report: the plot holds each series, and a quote in a name does no harm") {
  Report report{"module", 1, {{"it's time", "workers", "us", {{1, 2, 2, 2, 1}}, {}}}, {}};
  const std::string plot = plot_of(report, "/nowhere/plot.svg");
  CHECK(plot.find("title 'it''s time'") != std::string::npos);
  CHECK(table_of(report).find("too few points for a fit") != std::string::npos);
}

TEST_CASE("report: a line that does not fit tells nothing of other sizes") {
  Report report{
      "module", 1, {{"cubic", "workers", "us", {}, {10'000}}, {"line", "workers", "us", {}, {10'000}}}, {}};
  for (const double size : kSizes) {
    report.series[0].points.push_back(point_of(size, {size * size * size}));
    report.series[1].points.push_back(point_of(size, {3 * size}));
  }
  const std::string table = table_of(report);
  CHECK(table.find("no line fits; power law at 10000: 1000000000000 us (extrapolated)") != std::string::npos);
  CHECK(table.find("  line at 10000: 30000 +- 0 us (extrapolated)") != std::string::npos);
}

}  // namespace
}  // namespace woadtide::lab::scale
