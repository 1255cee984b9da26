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

constexpr double kWindowMs = 60'000, kLeastWindowMs = 1'000;  // the last one may be shorter
constexpr double kFirstListsMs = 12'000;                      // for the first lists of all dispatchers
constexpr double kToldWithinMs = 6'000;                       // by which a change has to be told
constexpr double kEmptyLineBytes = 6;                         // with its chunk's marks
constexpr int kStepMs = 5;

double cpu_ms(const timeval& time) {
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_usec) / 1e3;
}

double process_cpu_ms() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return cpu_ms(used.ru_utime) + cpu_ms(used.ru_stime);
}

double this_thread_cpu_ms() {
  rusage used{};
  ::getrusage(RUSAGE_THREAD, &used);
  return cpu_ms(used.ru_utime) + cpu_ms(used.ru_stime);
}

double resident_kb() {
  std::size_t pages = 0, resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

double total_bytes(const ClientTraffic& traffic) {
  return static_cast<double>(traffic.list_bytes + traffic.empty_bytes + traffic.request_bytes);
}

// What all dispatchers were sent up to one moment.
struct TrafficSample {
  double at = 0;
  std::vector<ClientTraffic> clients;
};

class Run {
 public:
  explicit Run(const HollowRunSettings& settings)
      : settings_(settings), fleet_(std::make_unique<HollowFleet>(fleet_settings(settings), clock_)) {}

  HollowRunResult play() {
    start_all();
    play_day();
    // What changed last may still be on its way.
    pause_until(clock_.now() + kToldWithinMs, [this] { return source().lateness().untold == 0; });
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

  void pause_until(double until, const std::function<bool()>& done) {
    while (clock_.now() < until && !done()) ::poll(nullptr, 0, kStepMs);
  }

  // From empty lists, so that all of them are told in whole.
  void start_all() {
    const double before_kb = resident_kb();
    const double began = clock_.now();
    for (std::size_t i = 0; i < fleet_->size(); ++i) fleet_->start(i, {});
    pause_until(began + kFirstListsMs, [this] { return source().lateness().untold == 0; });
    first_lists_s_ = (clock_.now() - began) / 1'000;
    first_lists_ = source().lateness().untold == 0;
    memory_kb_ = (resident_kb() - before_kb) / static_cast<double>(fleet_->size());
    source().forget_lateness();  // of the first lists
    calls_at_start_ = source().counts().calls;
    cpu_before_ms_ = hollow_cpu_ms();
  }

  // Of the dispatchers: all but discovery's thread and this one.
  double hollow_cpu_ms() { return process_cpu_ms() - source().cpu_ms() - this_thread_cpu_ms(); }

  void play_day() {
    FleetDaySettings day;
    day.workers = fleet_->workers();
    day.speed = settings_.speed;
    day.seed = settings_.seed;
    day.start_ms = clock_.now();
    const std::vector<FleetChange> changes = draw_day(day);
    const double end = day.start_ms + settings_.seconds * 1'000;
    const double outage_at = day.start_ms + settings_.outage_at_s * 1'000;
    bool outage_is_due = settings_.outage_s > 0;
    take_sample();
    std::size_t next = 0;
    while (clock_.now() < end) {
      const double now = clock_.now();
      for (; next < changes.size() && day.start_ms + changes[next].at_ms <= now; ++next)
        source().set(changes[next].host);
      if (outage_is_due && now >= outage_at) {
        outage_is_due = false;
        source().fail_for(settings_.outage_s * 1'000);
      }
      if (now >= samples_.back().at + kWindowMs) take_sample();
      ::poll(nullptr, 0, kStepMs);
    }
    if (clock_.now() - samples_.back().at >= kLeastWindowMs) take_sample();
    changes_ = next;
  }

  void take_sample() {
    TrafficSample sample{clock_.now(), {}};
    for (std::size_t i = 0; i < fleet_->size(); ++i) sample.clients.push_back(source().traffic(i));
    samples_.push_back(std::move(sample));
  }

  void measure_end() {
    measured_s_ = (clock_.now() - samples_.front().at) / 1'000;
    cpu_ms_ = (hollow_cpu_ms() - cpu_before_ms_) / static_cast<double>(fleet_->size());
    lateness_ = source().lateness();
    counts_ = source().counts();
  }

  // How many dispatchers have the list as discovery holds it.
  std::size_t count_up_to_date() {
    std::map<std::string, core::Host> listed;
    const core::HostList list = source().snapshot();
    for (const core::Host& host : list.hosts) listed.emplace(host.entry.worker, host);
    std::size_t up_to_date = 0;
    for (std::size_t i = 0; i < fleet_->size(); ++i) up_to_date += has_list(fleet_->dispatcher(i), listed);
    return up_to_date;
  }

  bool has_list(const HollowDispatcher& dispatcher, const std::map<std::string, core::Host>& listed) const {
    for (std::size_t i = 0; i < fleet_->workers(); ++i) {
      const std::string worker = HollowFleet::worker(i, woadtide::WorkerState::ready).entry.worker;
      const auto known = dispatcher.find(worker);
      const auto expected = listed.find(worker);
      if (known.has_value() != (expected != listed.end())) return false;
      if (known && !is_same(known->entry, expected->second.entry)) return false;
    }
    return true;
  }

  static bool is_same(const woadtide::ListEntry& a, const woadtide::ListEntry& b) {
    return a.state == b.state && a.started == b.started && a.weight == b.weight;
  }

  void check() {
    findings_.push_back({"all dispatchers are sent a first list within 12 s", first_lists_});
    findings_.push_back({"every change is sent to every dispatcher", lateness_.untold == 0});
    findings_.push_back({"all dispatchers end with discovery's list", count_up_to_date() == fleet_->size()});
    findings_.push_back({"no change is sent later than 6 s", lateness_.max_ms <= kToldWithinMs});
  }

  // Bytes of lists are `speed` times as many as on a real day, on which nearly all lines are empty ones. The
  // estimate leaves out that fewer changes share a line there.
  json window(const TrafficSample& from, const TrafficSample& to) const {
    const double seconds = (to.at - from.at) / 1'000;
    double sum = 0, least = 1e18, most = 0, scaled = 0;
    for (std::size_t i = 0; i < to.clients.size(); ++i) {
      const double bytes = (total_bytes(to.clients[i]) - total_bytes(from.clients[i])) / seconds;
      const auto empty =
          static_cast<double>(to.clients[i].empty_bytes - from.clients[i].empty_bytes) / seconds;
      sum += bytes;
      least = std::min(least, bytes);
      most = std::max(most, bytes);
      scaled += (bytes - empty) / settings_.speed + kEmptyLineBytes / (ListSource::kEmptyLineMs / 1'000);
    }
    const auto count = static_cast<double>(to.clients.size());
    return {{"from_s", (from.at - samples_.front().at) / 1'000},
            {"seconds", seconds},
            {"bytes_per_s", {{"mean", sum / count}, {"least", least}, {"most", most}}},
            {"mean_bytes_per_s_at_speed_1", scaled / count}};
  }

  json report() const {
    json all;
    all["settings"] = {{"workers", settings_.workers},
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
    all["measured_s"] = measured_s_;
    all["first_lists_s"] = first_lists_s_;
    all["changes"] = changes_;
    all["windows"] = json::array();
    for (std::size_t i = 1; i < samples_.size(); ++i)
      all["windows"].push_back(window(samples_[i - 1], samples_[i]));
    all["per_dispatcher"] = {{"cpu_ms", cpu_ms_},
                             {"cpu_ms_per_s", cpu_ms_ / measured_s_},
                             {"resident_kb", memory_kb_},
                             {"runtimes", fleet_->runtimes()}};
    all["lateness_ms"] = {{"told", lateness_.told},
                          {"untold", lateness_.untold},
                          {"p50", lateness_.p50_ms},
                          {"p99", lateness_.p99_ms},
                          {"max", lateness_.max_ms}};
    all["calls"] = {{"all", counts_.calls},
                    {"for_first_lists", calls_at_start_},
                    {"answered", counts_.answered},
                    {"refused", counts_.refused},
                    {"abandoned", counts_.abandoned},
                    {"wasted_turns", counts_.wasted_turns},
                    {"by_second", counts_.calls_by_second},
                    {"failed_by_second", counts_.failed_by_second}};
    all["sent"] = {{"bytes", counts_.bytes},
                   {"lines", counts_.lines},
                   {"entries", counts_.entries},
                   {"empty_lines", counts_.empty_lines},
                   {"cut_lines", counts_.cut_lines}};
    all["findings"] = json::array();
    for (const Finding& finding : findings_)
      all["findings"].push_back({{"what", finding.what}, {"holds", finding.holds}});
    return all;
  }

  const HollowRunSettings settings_;
  core::Clock clock_;
  std::unique_ptr<HollowFleet> fleet_;
  std::vector<TrafficSample> samples_;
  std::vector<Finding> findings_;
  LatenessSummary lateness_;
  ListSourceCounts counts_;
  std::size_t changes_ = 0;
  std::uint64_t calls_at_start_ = 0;
  bool first_lists_ = false;
  double first_lists_s_ = 0, measured_s_ = 0;
  double memory_kb_ = 0, cpu_before_ms_ = 0, cpu_ms_ = 0;  // of one dispatcher, but cpu_before_ms_
};

}  // namespace

bool HollowRunResult::good() const {
  return std::all_of(findings.begin(), findings.end(), [](const Finding& finding) { return finding.holds; });
}

HollowRunResult run_hollow(const HollowRunSettings& settings) {
  core::set_log_sink([](std::string_view) {});  // hundreds of dispatchers, each with a line for each change
  HollowRunResult result = Run(settings).play();
  core::set_log_sink(nullptr);
  return result;
}

}  // namespace woadtide::lab::hollow
