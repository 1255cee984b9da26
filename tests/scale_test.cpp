// Tests of the scaling sweeps: the fits on known data, and counts that are independent of the size. Times are
// compared only within one run, with wide bounds.
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

// Multiplies a value by a factor drawn uniformly from 1 - `amplitude` to 1 + `amplitude`.
class Noise {
 public:
  Noise(double amplitude, std::uint64_t seed) : amplitude_(amplitude), random_(seed) {}
  double operator()(double value) {
    const double draw = static_cast<double>(random_() >> 11) * 0x1p-53;
    return value * (1 + amplitude_ * (2 * draw - 1));
  }

 private:
  double amplitude_;
  std::mt19937_64 random_;
};

TEST_CASE("fit: an exact line is fitted with zero error and no bend") {
  const auto observations = observe([](double size) { return 3 + 0.25 * size; });
  const LineFit fit = fit_line(observations);
  CHECK(fit.intercept.value == doctest::Approx(3));
  CHECK(fit.slope.value == doctest::Approx(0.25));
  CHECK(fit.slope.standard_error < 1e-9);
  CHECK(fit.at(10'000).value == doctest::Approx(2'503));
  CHECK(!find_bend(observations));
}

TEST_CASE("fit: quadratic data has exponent 2 and does not fit a line") {
  const auto observations = observe([](double size) { return 0.5 * size * size; });
  const auto power = fit_power(observations);
  REQUIRE(power);
  CHECK(power->exponent.value == doctest::Approx(2));
  CHECK(power->exponent.standard_error < 1e-9);
  CHECK(power->factor == doctest::Approx(0.5));
  CHECK(fit_line(observations).relative_residual > 0.3);
}

TEST_CASE("fit: a bend is located with both slopes, also in noisy data") {
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

TEST_CASE(
    "fit: noise rarely yields a false bend, and the slope's confidence interval covers the true slope") {
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

TEST_CASE("fit: too few observations and non-positive values are rejected") {
  CHECK_THROWS_AS(fit_line({{1, 1}, {2, 2}}), std::invalid_argument);
  CHECK_THROWS_AS(fit_line({{1, 1}, {1, 2}, {1, 3}}), std::invalid_argument);
  CHECK(!fit_power({{1, 0}, {2, 1}, {3, 2}}));
}

TEST_CASE("samples: median and 10th and 90th percentiles of unsorted values") {
  const Point point = summarize(7, {5, 1, 2, 3, 4, 11, 6, 7, 8, 9, 10});
  CHECK(point.size == 7);
  CHECK(point.median == 6);
  CHECK(point.low == 2);
  CHECK(point.high == 10);
  CHECK_THROWS_AS(summarize(1, {}), std::invalid_argument);
}

TEST_CASE("allocations: the hook counts calls and live bytes") {
  const Allocations before = allocations();
  auto* const text = new std::string(1'000, 'x');
  const Allocations while_held = allocations();
  delete text;
  CHECK(while_held.count - before.count == 2);
  CHECK(while_held.live_bytes - before.live_bytes >= 1'000);
  CHECK(allocations().live_bytes == before.live_bytes);
}

std::uint64_t allocations_of(const std::function<void()>& work) {
  const std::uint64_t before = allocations().count;
  work();
  return allocations().count - before;
}

TEST_CASE("module: a request, its start and its outcome cause the same actions at any number of workers") {
  for (const int workers : {50, 400, 1'600}) {
    CAPTURE(workers);
    ModuleHarness module({workers, 300}, 1);
    module.fill_to(20);
    REQUIRE(module.send_request());
    CHECK(module.actions().size() == 2);  // the send, and the timer for its start
    module.report_start_of_newest();
    REQUIRE(module.actions().size() == 1);  // the timer for its start is cancelled
    CHECK(std::holds_alternative<woadtide::CancelTimer>(module.actions()[0]));
    module.finish_oldest();
    CHECK(module.actions().empty());
  }
}

TEST_CASE("module: allocations of a request grow like a vector of candidates, not like the list") {
  const auto of_request = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.fill_to(20);
    return allocations_of([&] { module.send_request(); });
  };
  const std::uint64_t few_workers = of_request(50), many_workers = of_request(1'600);
  MESSAGE("allocations of a request: " << few_workers << " at 50 workers, " << many_workers << " at 1,600");
  CHECK(many_workers - few_workers <= 5);  // 1,600 is 32 times 50: five doublings
  CHECK(of_request(1'600) == many_workers);
}

TEST_CASE("module: allocations of a list change are constant, of a complete list at most linear") {
  const auto of_change = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.send_list_change();
    return allocations_of([&] { module.send_list_change(); });
  };
  CHECK(of_change(50) == of_change(1'600));
  const auto of_whole = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    return static_cast<double>(allocations_of([&] { module.send_whole_list(); }));
  };
  const double ratio = of_whole(1'600) / of_whole(50);
  CHECK(ratio <= 33);
}

TEST_CASE("module: the time of a request grows at most linearly with the number of workers") {
  const auto of_request = [](int workers) {
    ModuleHarness module({workers, 300}, 1);
    module.fill_to(20);
    EventSamples samples;
    for (int i = 0; i < 64; ++i) {
      bool sent = false;
      samples.measure([&] { sent = module.send_request(); });
      if (sent) module.finish_oldest();
    }
    return samples.time_summary(workers).median;
  };
  const double ratio = of_request(1'600) / of_request(100);
  MESSAGE("a request at 1,600 workers costs " << ratio << " times that at 100");
  CHECK(ratio < 16 * 8);
}

// The counts of a report, without times, memory and fits.
nlohmann::json counts_of(const Report& report) {
  nlohmann::json counts = as_json(report);
  for (auto& series : counts["series"]) series.erase("fit");
  std::erase_if(counts["series"].get_ref<nlohmann::json::array_t&>(), [](const nlohmann::json& series) {
    return series["unit"] == "us" || series["unit"] == "KB";
  });
  return counts;
}

TEST_CASE("parts: counts are reproducible for a seed and differ between seeds") {
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
  CHECK_THROWS_AS(run_part("unknown", settings), std::invalid_argument);
}

TEST_CASE("crowd: after a simultaneous start, calls for the list are spread and all dispatchers get it") {
  ListCrowdLoad load;
  load.dispatchers = 100;
  load.call_time = std::chrono::milliseconds(60);
  const ListCrowdResult result = simulate(load, 1);
  CHECK(result.subscribed == 100);
  CHECK(result.failed_calls == 0);
  CHECK(result.calls == 100);
  CHECK(result.max_calls_per_second <= 40);
}

TEST_CASE("admission: below the limits, no task is refused and the offered load runs") {
  AdmissionLoad load;
  load.workers = 200;
  load.dispatchers = 1'000;
  const AdmissionResult result = simulate(load, 1);
  CHECK(result.refused == 0);
  CHECK(result.requests > 100);
  CHECK(result.mean_running == doctest::Approx(result.offered_running).epsilon(0.25));
}

TEST_CASE("list: its size is linear in the workers, and the size of one change is constant") {
  const auto bytes = [](int workers) {
    return static_cast<double>(core::serialize(endpoint_list(workers)).size());
  };
  CHECK(bytes(1'600) / bytes(100) == doctest::Approx(16).epsilon(0.02));
  CHECK(core::serialize(endpoint_change(7, 2, WorkerState::draining)).size() <= 256);
}

TEST_CASE("list: the client reports a list and a change, and no list for a line that it cannot parse") {
  core::set_log_sink([](std::string_view) {});
  ListClientHarness client;
  CHECK(client.deliver(endpoint_list(100)));
  CHECK(client.deliver(endpoint_change(7, 2, WorkerState::draining)));
  CHECK(!client.deliver(
      core::EndpointList{3, true, {{{.worker = std::string(1'000'000, 'w')}, "127.0.0.1:1"}}}));
  core::set_log_sink(nullptr);
}

TEST_CASE("controller: the first tick orders every member to check, and a change moves each member once") {
  for (const int members : {10, 40}) {
    CAPTURE(members);
    ChangeHarness fleet(members, 1);
    fleet.complete_checks();
    CHECK(fleet.orders_at_first_tick() == static_cast<std::size_t>(members));
    std::size_t moved = 0;
    for (int stage = 0; stage < 10 && !fleet.rollout().finished(); ++stage) {
      moved += fleet.move_allowed_members();
      fleet.approve_stage();
    }
    CHECK(moved == static_cast<std::size_t>(members));
    CHECK(fleet.rollout().phase() == rollout::Phase::complete);
  }
}

TEST_CASE(
    "store and supervisor: small sweeps run, and allocations of a commit do not depend on the open jobs") {
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
  CHECK(fit_series(bytes)->line.slope.value < 64);  // bytes per worker: a name and its quotes
}

TEST_CASE("report: the plot contains each series, and a quote in a name is escaped") {
  Report report{"module", 1, {{"it's time", "workers", "us", {{1, 2, 2, 2, 1}}, {}}}, {}};
  const std::string plot = format_gnuplot(report, "/nowhere/plot.svg");
  CHECK(plot.find("title 'it''s time'") != std::string::npos);
  CHECK(format_table(report).find("too few points for a fit") != std::string::npos);
}

TEST_CASE("report: a line that does not fit is not extrapolated to other sizes") {
  Report report{
      "module", 1, {{"cubic", "workers", "us", {}, {10'000}}, {"line", "workers", "us", {}, {10'000}}}, {}};
  for (const double size : kSizes) {
    report.series[0].points.push_back(summarize(size, {size * size * size}));
    report.series[1].points.push_back(summarize(size, {3 * size}));
  }
  const std::string table = format_table(report);
  CHECK(table.find("no line fits; power law at 10000: 1000000000000 us (extrapolated)") != std::string::npos);
  CHECK(table.find("  line at 10000: 30000 +- 0 us (extrapolated)") != std::string::npos);
}

}  // namespace
}  // namespace woadtide::lab::scale
