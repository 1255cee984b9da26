// A supervisor's core. Its state grows with the workers that operators exclude by hand, and with nothing
// else.
#include <string>

#include "lab/scale/module_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"
#include "supervise/supervise.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr double kTickMs = 50;

supervise::Core serving_core() {
  supervise::Core core({"version-1", "/opt/woadtide-1", "/etc/woadtide-1.toml", 1}, {});
  core.tick(0);
  core.serves(kTickMs, 0);
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
  const int rounds = settings.small ? 8 : 100;
  for (const int excluded : sizes) {
    supervise::Core core = serving_core();
    for (int i = 0; i < excluded; ++i) core.exclude(worker_entry(i).worker, true);
    EventSamples of_tick, of_text, of_reading;
    std::string state;
    for (int i = 0; i < rounds; ++i) {
      of_tick.measure([&] { core.tick((2 + i) * kTickMs); });
      of_text.measure([&] { state = core.text(); });
      of_reading.measure([&] { supervise::Core::from(state, {}); });
    }
    tick.add(excluded, of_tick);
    text.add(excluded, of_text);
    reading.add(excluded, of_reading);
    bytes.points.push_back(point_of(excluded, {static_cast<double>(state.size())}));
  }
  tick.append_to(report);
  text.append_to(report);
  reading.append_to(report);
  report.series.push_back(std::move(bytes));
  return report;
}

}  // namespace woadtide::lab::scale
