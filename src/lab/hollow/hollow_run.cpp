#include "lab/hollow/hollow_run.hpp"

#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"
#include "core/log.hpp"
#include "lab/hollow/fleet_day.hpp"
#include "lab/hollow/hollow_fleet.hpp"

namespace woadtide::lab::hollow {

using json = nlohmann::ordered_json;

namespace {

// The last window may be shorter than kSampleWindowMs.
constexpr double kSampleWindowMs = 60'000, kMinWindowMs = 1'000;
constexpr double kFirstListsTimeoutMs = 12'000;  // until every dispatcher has its first list
constexpr double kUpdateBindsAfterMs = 6'000;    // limit for the delivery of a change
constexpr double kEmptyLineBytes = 6;            // including the chunk framing
constexpr int kPollIntervalMs = 5;

double cpu_ms(const timeval& time) {
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_usec) / 1e3;
}

double process_cpu_ms() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return cpu_ms(usage.ru_utime) + cpu_ms(usage.ru_stime);
}

double this_thread_cpu_ms() {
  rusage usage{};
  ::getrusage(RUSAGE_THREAD, &usage);
  return cpu_ms(usage.ru_utime) + cpu_ms(usage.ru_stime);
}

double resident_kb() {
  std::size_t pages = 0, resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

double total_bytes(const ClientTraffic& traffic) {
  return static_cast<double>(traffic.list_bytes + traffic.empty_bytes + traffic.request_bytes);
}

// Cumulative traffic of all dispatchers at one time.
struct TrafficSample {
  double at_ms = 0;
  std::vector<ClientTraffic> clients;
};

class HollowRun {
 public:
  explicit HollowRun(const HollowRunSettings& settings)
      : settings_(settings), fleet_(std::make_unique<HollowFleet>(fleet_settings(settings), clock_)) {}

  HollowRunResult run() {
    start_all();
    run_day();
    // The last changes may not be delivered yet.
    wait_until(clock_.now() + kUpdateBindsAfterMs, [this] { return source().lateness().undelivered == 0; });
    measure_end();
    check();
    return {findings_, report().dump(2)};
  }

 private:
  static HollowFleetSettings fleet_settings(const HollowRunSettings& settings) {
    HollowFleetSettings fleet;
    fleet.dispatchers = settings.dispatchers;
    fleet.workers = settings.workers;
    fleet.seed = settings.seed;
    fleet.source.seed = settings.seed;
    fleet.source.cut_share = settings.cut_share;
    fleet.source.calls.work_per_call_ms = settings.work_per_call_ms;
    fleet.source.calls.work_per_line_ms = settings.work_per_line_ms;
    fleet.source.calls.patience_ms = settings.patience_ms;
    return fleet;
  }

  ListSource& source() { return fleet_->source(); }

  void wait_until(double until_ms, const std::function<bool()>& condition) {
    while (clock_.now() < until_ms && !condition()) ::poll(nullptr, 0, kPollIntervalMs);
  }

  // Starts all dispatchers with empty lists, so that each is sent the complete list.
  void start_all() {
    const double before_kb = resident_kb();
    const double started_at_ms = clock_.now();
    for (std::size_t i = 0; i < fleet_->size(); ++i) fleet_->start(i, {});
    wait_until(started_at_ms + kFirstListsTimeoutMs, [this] { return source().lateness().undelivered == 0; });
    first_lists_s_ = (clock_.now() - started_at_ms) / 1'000;
    first_lists_in_time_ = source().lateness().undelivered == 0;
    memory_per_dispatcher_kb_ = (resident_kb() - before_kb) / static_cast<double>(fleet_->size());
    source().reset_lateness();  // leaves out the first lists
    calls_at_start_ = source().counts().calls;
    cpu_before_ms_ = dispatchers_cpu_ms();
  }

  // Processor time of the dispatchers: of all threads but discovery's and this one.
  double dispatchers_cpu_ms() { return process_cpu_ms() - source().cpu_ms() - this_thread_cpu_ms(); }

  void run_day() {
    FleetDaySettings day;
    day.workers = fleet_->worker_count();
    day.speed = settings_.speed;
    day.seed = settings_.seed;
    day.start_ms = clock_.now();
    const std::vector<FleetChange> changes = generate_day(day);
    const double end_ms = day.start_ms + settings_.seconds * 1'000;
    const double outage_at_ms = day.start_ms + settings_.outage_at_s * 1'000;
    bool outage_is_due = settings_.outage_s > 0;
    record_sample();
    std::size_t next_change = 0;
    while (clock_.now() < end_ms) {
      const double now = clock_.now();
      for (; next_change < changes.size() && day.start_ms + changes[next_change].at_ms <= now; ++next_change)
        source().set(changes[next_change].endpoint);
      if (outage_is_due && now >= outage_at_ms) {
        outage_is_due = false;
        source().start_outage(settings_.outage_s * 1'000);
      }
      if (now >= samples_.back().at_ms + kSampleWindowMs) record_sample();
      ::poll(nullptr, 0, kPollIntervalMs);
    }
    if (clock_.now() - samples_.back().at_ms >= kMinWindowMs) record_sample();
    change_count_ = next_change;
  }

  void record_sample() {
    TrafficSample sample{clock_.now(), {}};
    for (std::size_t i = 0; i < fleet_->size(); ++i) sample.clients.push_back(source().traffic(i));
    samples_.push_back(std::move(sample));
  }

  void measure_end() {
    measured_s_ = (clock_.now() - samples_.front().at_ms) / 1'000;
    cpu_per_dispatcher_ms_ = (dispatchers_cpu_ms() - cpu_before_ms_) / static_cast<double>(fleet_->size());
    lateness_ = source().lateness();
    counts_ = source().counts();
  }

  // Number of dispatchers whose list equals discovery's.
  std::size_t count_up_to_date() {
    std::map<std::string, core::Endpoint> listed;
    const core::EndpointList list = source().snapshot();
    for (const core::Endpoint& endpoint : list.endpoints) listed.emplace(endpoint.entry.worker, endpoint);
    std::size_t up_to_date = 0;
    for (std::size_t i = 0; i < fleet_->size(); ++i) up_to_date += has_list(fleet_->dispatcher(i), listed);
    return up_to_date;
  }

  bool has_list(const HollowDispatcher& dispatcher,
                const std::map<std::string, core::Endpoint>& listed) const {
    for (std::size_t i = 0; i < fleet_->worker_count(); ++i) {
      const std::string worker = HollowFleet::worker_endpoint(i, woadtide::WorkerState::ready).entry.worker;
      const auto actual = dispatcher.find(worker);
      const auto expected = listed.find(worker);
      if (actual.has_value() != (expected != listed.end())) return false;
      if (actual && !is_same_entry(actual->entry, expected->second.entry)) return false;
    }
    return true;
  }

  static bool is_same_entry(const woadtide::ListEntry& a, const woadtide::ListEntry& b) {
    return a.state == b.state && a.started == b.started && a.weight == b.weight;
  }

  void check() {
    findings_.push_back({"all dispatchers are sent a first list within 12 s", first_lists_in_time_});
    findings_.push_back({"every change is sent to every dispatcher", lateness_.undelivered == 0});
    findings_.push_back({"all dispatchers end with discovery's list", count_up_to_date() == fleet_->size()});
    findings_.push_back({"no change is sent later than 6 s", lateness_.max_ms <= kUpdateBindsAfterMs});
  }

  // Traffic between two samples. List bytes per second are `speed` times those of a real day, on which nearly
  // all lines are empty. The estimate at speed 1 ignores that fewer changes share a line there.
  json window_report(const TrafficSample& from, const TrafficSample& to) const {
    const double seconds = (to.at_ms - from.at_ms) / 1'000;
    double sum_bytes_per_s = 0, min_bytes_per_s = 1e18, max_bytes_per_s = 0, sum_at_speed_1 = 0;
    for (std::size_t i = 0; i < to.clients.size(); ++i) {
      const double bytes_per_s = (total_bytes(to.clients[i]) - total_bytes(from.clients[i])) / seconds;
      const auto empty_bytes_per_s =
          static_cast<double>(to.clients[i].empty_bytes - from.clients[i].empty_bytes) / seconds;
      sum_bytes_per_s += bytes_per_s;
      min_bytes_per_s = std::min(min_bytes_per_s, bytes_per_s);
      max_bytes_per_s = std::max(max_bytes_per_s, bytes_per_s);
      sum_at_speed_1 += (bytes_per_s - empty_bytes_per_s) / settings_.speed +
                        kEmptyLineBytes / (ListSource::kEmptyLineMs / 1'000);
    }
    const auto count = static_cast<double>(to.clients.size());
    return {{"from_s", (from.at_ms - samples_.front().at_ms) / 1'000},
            {"seconds", seconds},
            {"bytes_per_s",
             {{"mean", sum_bytes_per_s / count}, {"least", min_bytes_per_s}, {"most", max_bytes_per_s}}},
            {"mean_bytes_per_s_at_speed_1", sum_at_speed_1 / count}};
  }

  json report() const {
    json object;
    object["settings"] = {{"workers", settings_.workers},
                          {"dispatchers", settings_.dispatchers},
                          {"seconds", settings_.seconds},
                          {"speed", settings_.speed},
                          {"seed", settings_.seed},
                          {"outage_at_s", settings_.outage_at_s},
                          {"outage_s", settings_.outage_s},
                          {"cut_share", settings_.cut_share},
                          {"work_per_call_ms", settings_.work_per_call_ms},
                          {"work_per_line_ms", settings_.work_per_line_ms},
                          {"patience_ms", settings_.patience_ms}};
    object["measured_s"] = measured_s_;
    object["first_lists_s"] = first_lists_s_;
    object["changes"] = change_count_;
    object["windows"] = json::array();
    for (std::size_t i = 1; i < samples_.size(); ++i)
      object["windows"].push_back(window_report(samples_[i - 1], samples_[i]));
    object["per_dispatcher"] = {{"cpu_ms", cpu_per_dispatcher_ms_},
                                {"cpu_ms_per_s", cpu_per_dispatcher_ms_ / measured_s_},
                                {"resident_kb", memory_per_dispatcher_kb_},
                                {"runtimes", fleet_->runtime_count()}};
    object["lateness_ms"] = {{"told", lateness_.delivered},
                             {"untold", lateness_.undelivered},
                             {"p50", lateness_.p50_ms},
                             {"p99", lateness_.p99_ms},
                             {"max", lateness_.max_ms}};
    object["calls"] = {{"all", counts_.calls},
                       {"for_first_lists", calls_at_start_},
                       {"answered", counts_.answered},
                       {"refused", counts_.refused},
                       {"abandoned", counts_.abandoned},
                       {"wasted_turns", counts_.wasted_turns},
                       {"by_second", counts_.calls_by_second},
                       {"failed_by_second", counts_.failed_by_second}};
    object["sent"] = {{"bytes", counts_.bytes},
                      {"lines", counts_.lines},
                      {"entries", counts_.entries},
                      {"empty_lines", counts_.empty_lines},
                      {"cut_lines", counts_.cut_lines}};
    object["findings"] = json::array();
    for (const Finding& finding : findings_)
      object["findings"].push_back({{"what", finding.what}, {"holds", finding.holds}});
    return object;
  }

  const HollowRunSettings settings_;
  core::Clock clock_;
  std::unique_ptr<HollowFleet> fleet_;
  std::vector<TrafficSample> samples_;
  std::vector<Finding> findings_;
  LatenessSummary lateness_;
  ListSourceCounts counts_;
  std::size_t change_count_ = 0;
  std::uint64_t calls_at_start_ = 0;
  bool first_lists_in_time_ = false;
  double first_lists_s_ = 0, measured_s_ = 0;
  // cpu_before_ms_ is the sum over all dispatchers.
  double memory_per_dispatcher_kb_ = 0, cpu_before_ms_ = 0, cpu_per_dispatcher_ms_ = 0;
};

}  // namespace

bool HollowRunResult::passed() const {
  return std::all_of(findings.begin(), findings.end(), [](const Finding& finding) { return finding.holds; });
}

HollowRunResult run_hollow(const HollowRunSettings& settings) {
  core::set_log_sink([](std::string_view) {});  // hundreds of dispatchers would each log every change
  HollowRunResult result = HollowRun(settings).run();
  core::set_log_sink(nullptr);
  return result;
}

}  // namespace woadtide::lab::hollow
