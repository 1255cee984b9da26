// The endpoint list: its size, what its decoding costs, and what its client reads.
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/log.hpp"
#include "lab/scale/list_client_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {

namespace {

// The client logs each worker: ten thousand lines a list would hide the report.
class LogSilencer {
 public:
  LogSilencer() {
    core::set_log_sink([](std::string_view) {});
  }
  ~LogSilencer() { core::set_log_sink(nullptr); }
  LogSilencer(const LogSilencer&) = delete;
  LogSilencer& operator=(const LogSilencer&) = delete;
};

std::vector<int> sizes_of(const Settings& settings) {
  if (settings.small) return {50, 100, 200, 400};
  return {50, 100, 200, 400, 800, 1'600, 3'200, 6'400, 10'000};
}

void sweep_codec(Report& report, const Settings& settings) {
  Series bytes{"whole list, bytes", "workers", "bytes", {}, {kTargetWorkers}};
  EventSeries decoding("decode of a whole list", "workers", {kTargetWorkers});
  EventSeries encoding("encode of a whole list", "workers", {kTargetWorkers});
  const int rounds = settings.small ? 4 : 12;
  for (const int workers : sizes_of(settings)) {
    const core::HostList list = endpoint_list(workers);
    const std::string text = core::text_of(list);
    bytes.points.push_back(point_of(workers, {static_cast<double>(text.size())}));
    EventSamples decode, encode;
    for (int i = 0; i < rounds; ++i) {
      encode.measure([&] { core::text_of(list); });
      decode.measure([&] { core::read_host_list(nlohmann::json::parse(text)); });
    }
    encoding.add(workers, encode);
    decoding.add(workers, decode);
  }
  report.series.push_back(std::move(bytes));
  encoding.append_to(report);
  decoding.append_to(report);
  const core::HostList change = endpoint_change(1, 2, WorkerState::draining);
  report.facts.push_back({"one change, bytes", static_cast<double>(core::text_of(change).size()), "bytes"});
}

bool client_reads(int workers) {
  ListClientHarness client;
  return client.deliver(endpoint_list(workers));
}

// By bisection; `most` where even that is read.
int find_most_workers(int most) {
  if (client_reads(most)) return most;
  int reads = 1, fails = most;
  while (fails - reads > 1) {
    const int middle = (reads + fails) / 2;
    (client_reads(middle) ? reads : fails) = middle;
  }
  return reads;
}

// A change, heard by a client that has the list already. Ends where the client reads no whole list any more.
void sweep_client(Report& report, const Settings& settings, int most) {
  EventSeries whole("client: a whole list", "workers", {kTargetWorkers});
  EventSeries change("client: one change", "workers", {kTargetWorkers});
  const int rounds = settings.small ? 4 : 40;
  for (const int workers : sizes_of(settings)) {
    if (workers > most) break;
    ListClientHarness client;
    EventSamples of_whole, of_change;
    core::HostList list = endpoint_list(workers);
    for (int i = 0; i < rounds; ++i, ++list.seq) of_whole.measure([&] { client.deliver(list); });
    for (int i = 0; i < rounds; ++i, ++list.seq) {
      const auto state = i % 2 == 0 ? WorkerState::draining : WorkerState::ready;
      const core::HostList one = endpoint_change(i / 2 % workers, list.seq, state);
      of_change.measure([&] { client.deliver(one); });
    }
    whole.add(workers, of_whole);
    change.add(workers, of_change);
  }
  whole.append_to(report);
  change.append_to(report);
}

}  // namespace

Report run_list_part(const Settings& settings) {
  const LogSilencer silence;
  Report report{"list", settings.seed, {}, {}};
  sweep_codec(report, settings);
  const int most = find_most_workers(sizes_of(settings).back());
  sweep_client(report, settings, most);
  const bool ends = most < sizes_of(settings).back();
  report.facts.push_back({ends ? "most workers in a whole list that the client reads"
                               : "the client reads every whole list up to",
                          static_cast<double>(most), "workers"});
  return report;
}

}  // namespace woadtide::lab::scale
