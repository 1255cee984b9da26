// Sweep of the endpoint list over the number of workers: its size, the cost of its codec, and of its client.
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/log.hpp"
#include "lab/scale/list_client_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {

namespace {

// Discards the log: the client writes a line for each worker, and ten thousand lines per list would hide the
// report.
class LogSilencer {
 public:
  LogSilencer() {
    core::set_log_sink([](std::string_view) {});
  }
  ~LogSilencer() { core::set_log_sink(nullptr); }
  LogSilencer(const LogSilencer&) = delete;
  LogSilencer& operator=(const LogSilencer&) = delete;
};

std::vector<int> worker_counts(const Settings& settings) {
  if (settings.small) return {50, 100, 200, 400};
  return {50, 100, 200, 400, 800, 1'600, 3'200, 6'400, 10'000};
}

void sweep_codec(Report& report, const Settings& settings) {
  Series bytes{"whole list, bytes", "workers", "bytes", {}, {kTargetWorkers}};
  EventSeries decoding("decode of a whole list", "workers", {kTargetWorkers});
  EventSeries encoding("encode of a whole list", "workers", {kTargetWorkers});
  const int repetitions = settings.small ? 4 : 12;
  for (const int workers : worker_counts(settings)) {
    const core::EndpointList list = endpoint_list(workers);
    const std::string text = core::serialize(list);
    bytes.points.push_back(summarize(workers, {static_cast<double>(text.size())}));
    EventSamples decode, encode;
    for (int i = 0; i < repetitions; ++i) {
      encode.measure([&] { core::serialize(list); });
      decode.measure([&] { core::parse_endpoint_list(nlohmann::json::parse(text)); });
    }
    encoding.add(workers, encode);
    decoding.add(workers, decode);
  }
  report.series.push_back(std::move(bytes));
  encoding.append_to(report);
  decoding.append_to(report);
  const core::EndpointList change = endpoint_change(1, 2, WorkerState::draining);
  report.facts.push_back({"one change, bytes", static_cast<double>(core::serialize(change).size()), "bytes"});
}

bool client_accepts_list(int workers) {
  ListClientHarness client;
  return client.deliver(endpoint_list(workers));
}

// Finds by bisection how many workers the client accepts in a complete list, up to `max_workers`.
int find_max_workers(int max_workers) {
  if (client_accepts_list(max_workers)) return max_workers;
  int accepted = 1, rejected = max_workers;
  while (rejected - accepted > 1) {
    const int middle = (accepted + rejected) / 2;
    (client_accepts_list(middle) ? accepted : rejected) = middle;
  }
  return accepted;
}

// Complete lists, and then changes for a client that has the list already. Stops at the largest list that the
// client accepts, of `max_workers` workers.
void sweep_client(Report& report, const Settings& settings, int max_workers) {
  EventSeries whole("client: a whole list", "workers", {kTargetWorkers});
  EventSeries change("client: one change", "workers", {kTargetWorkers});
  const int repetitions = settings.small ? 4 : 40;
  for (const int workers : worker_counts(settings)) {
    if (workers > max_workers) break;
    ListClientHarness client;
    EventSamples whole_samples, change_samples;
    core::EndpointList list = endpoint_list(workers);
    for (int i = 0; i < repetitions; ++i, ++list.seq) whole_samples.measure([&] { client.deliver(list); });
    for (int i = 0; i < repetitions; ++i, ++list.seq) {
      const auto state = i % 2 == 0 ? WorkerState::draining : WorkerState::ready;
      const core::EndpointList changed = endpoint_change(i / 2 % workers, list.seq, state);
      change_samples.measure([&] { client.deliver(changed); });
    }
    whole.add(workers, whole_samples);
    change.add(workers, change_samples);
  }
  whole.append_to(report);
  change.append_to(report);
}

}  // namespace

Report run_list_part(const Settings& settings) {
  const LogSilencer silence;
  Report report{"list", settings.seed, {}, {}};
  sweep_codec(report, settings);
  const int max_workers = find_max_workers(worker_counts(settings).back());
  sweep_client(report, settings, max_workers);
  const bool has_limit = max_workers < worker_counts(settings).back();
  report.facts.push_back({has_limit ? "most workers in a whole list that the client reads"
                                    : "the client reads every whole list up to",
                          static_cast<double>(max_workers), "workers"});
  return report;
}

}  // namespace woadtide::lab::scale
