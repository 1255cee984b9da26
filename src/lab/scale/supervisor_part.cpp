// Sweep of a supervisor's core. Its state grows only with the number of workers that operators exclude
// manually.
#include <string>

#include "lab/scale/module_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"
#include "supervise/supervise.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr double kTickMs = 50;

supervise::SupervisorCore serving_core() {
  supervise::SupervisorCore core({"version-1", "/opt/woadtide-1", "/etc/woadtide-1.toml", 1}, {});
  core.tick(0);
  core.on_ready(kTickMs, 0);
  return core;
}

}  // namespace

Report run_supervisor_part(const Settings& settings) {
  Report report{"supervisor", settings.seed, {}, {}};
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'200};
  if (settings.small) sizes = {10, 30, 100};
  EventSeries tick("tick over excluded workers", "excluded workers", {kTargetWorkers});
  EventSeries text("state's text over excluded workers", "excluded workers", {kTargetWorkers});
  EventSeries reading("state read again over excluded workers", "excluded workers", {kTargetWorkers});
  Series bytes{"state, bytes", "excluded workers", "bytes", {}, {kTargetWorkers}};
  const int repetitions = settings.small ? 8 : 100;
  for (const int excluded : sizes) {
    supervise::SupervisorCore core = serving_core();
    for (int i = 0; i < excluded; ++i) core.set_excluded(worker_entry(i).worker, true);
    EventSamples tick_samples, text_samples, reading_samples;
    std::string state;
    for (int i = 0; i < repetitions; ++i) {
      tick_samples.measure([&] { core.tick((2 + i) * kTickMs); });
      text_samples.measure([&] { state = core.serialize(); });
      reading_samples.measure([&] { supervise::SupervisorCore::parse(state, {}); });
    }
    tick.add(excluded, tick_samples);
    text.add(excluded, text_samples);
    reading.add(excluded, reading_samples);
    bytes.points.push_back(summarize(excluded, {static_cast<double>(state.size())}));
  }
  tick.append_to(report);
  text.append_to(report);
  reading.append_to(report);
  report.series.push_back(std::move(bytes));
  return report;
}

}  // namespace woadtide::lab::scale
