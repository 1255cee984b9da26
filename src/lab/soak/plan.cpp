#include "lab/soak/plan.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdio>
#include <pcg_random.hpp>

namespace woadtide::lab::soak {

namespace {

// Minimum distance of two pauses, so that they do not merge into a longer one.
constexpr double kMinPauseIntervalMs = 500;

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  double real(double min, double max) {
    return boost::random::uniform_real_distribution<double>(min, max)(random_);
  }
  int integer(int min, int max) { return boost::random::uniform_int_distribution<int>(min, max)(random_); }
  bool chance(double share) { return real(0, 1) < share; }

 private:
  pcg32 random_;
};

std::string draw_faults(RandomSource& random, std::uint64_t seed) {
  std::string faults = "seed=" + std::to_string(seed);
  char entry[40];
  for (const char* call : {"accept", "socket", "connect", "read", "write", "wait"}) {
    if (!random.chance(0.4)) continue;
    std::snprintf(entry, sizeof entry, ",%s=%.3f", call, random.real(0.01, 0.2));
    faults += entry;
  }
  if (random.chance(0.3)) {
    std::snprintf(entry, sizeof entry, ",broken=%.4f", random.real(0.001, 0.02));
    faults += entry;
  }
  if (random.chance(0.4)) {
    constexpr int kHourMs = 3'600'000;
    const int steps[] = {kHourMs, -kHourMs, 5'000, -5'000};
    std::snprintf(entry, sizeof entry, ",wall=%d:%d", random.integer(0, 4'000), steps[random.integer(0, 3)]);
    faults += entry;
  }
  return faults;
}

void draw_discovery_faults(RandomSource& random, std::vector<Event>& events) {
  const double start_ms = random.real(300, 2'000);
  switch (random.integer(0, 4)) {
    case 0:
      events.push_back({start_ms, EventKind::discovery_down});
      events.push_back({start_ms + random.real(500, 2'500), EventKind::discovery_recovered});
      return;
    case 1:
      events.push_back({start_ms, EventKind::discovery_slow});
      events.push_back({start_ms + 1, EventKind::watches_silent});
      return;
    case 2:
      events.push_back({start_ms, EventKind::watches_silent});
      return;
    case 3:
      for (int count = random.integer(1, 3), i = 0; i < count; ++i)
        events.push_back({start_ms + i * random.real(0, 300), EventKind::reload});
      return;
    default:
      return;
  }
}

}  // namespace

const char* name_of(EventKind kind) {
  switch (kind) {
    case EventKind::drain:
      return "drain";
    case EventKind::hang_begins:
      return "hang begins";
    case EventKind::hang_ends:
      return "hang ends";
    case EventKind::discovery_down:
      return "discovery down";
    case EventKind::discovery_slow:
      return "discovery slow";
    case EventKind::discovery_recovered:
      return "discovery well";
    case EventKind::watches_silent:
      return "watches silent";
    case EventKind::process_paused:
      return "held up";
    case EventKind::reload:
      return "reload";
  }
  return "";
}

const char* name_of(ShutdownMethod method) {
  switch (method) {
    case ShutdownMethod::term:
      return "TERM";
    case ShutdownMethod::term_term:
      return "TERM TERM";
    case ShutdownMethod::hup_term:
      return "HUP HUP TERM";
    case ShutdownMethod::term_hup:
      return "TERM HUP";
    case ShutdownMethod::upgrade:
      return "upgrade";
  }
  return "";
}

SoakPlan draw_plan(std::uint64_t seed) {
  RandomSource random(seed);
  SoakPlan plan;
  plan.seed = seed;
  const double deadlines[] = {300, 1'000, 2'000, 5'000};
  plan.longest_deadline_ms = deadlines[random.integer(0, 3)];
  plan.payout_deadline_ms = plan.longest_deadline_ms * random.real(0.6, 1);
  plan.bad_clients = random.chance(0.4) ? random.integer(5, 40) : 0;
  plan.worker_idle_ms = random.chance(0.3) ? random.real(5, 100) : 60'000;
  plan.clients_leave = random.chance(0.5);
  plan.clients_pause = random.chance(0.4);
  plan.short_budgets = random.chance(0.3);
  plan.workers_fail = random.chance(0.5);
  plan.faults = draw_faults(random, seed);
  if (random.chance(0.6)) plan.events.push_back({random.real(500, 4'500), EventKind::drain, 0});
  if (random.chance(0.4)) {
    const double start_ms = random.real(500, 4'800);
    plan.events.push_back({start_ms, EventKind::hang_begins, 1});
    if (random.chance(0.5))
      plan.events.push_back({start_ms + random.real(300, 1'500), EventKind::hang_ends, 1});
  }
  draw_discovery_faults(random, plan.events);
  plan.is_pushed = random.chance(0.25);
  plan.repeat_window_ms = random.chance(0.3) ? random.real(20, 500) : 0;
  if (random.chance(0.4))
    for (double at_ms = random.real(300, 1'000); at_ms < plan.load_ms;
         at_ms += random.real(kMinPauseIntervalMs, 2'000))
      plan.events.push_back({at_ms, EventKind::process_paused});
  std::sort(plan.events.begin(), plan.events.end(),
            [](const Event& a, const Event& b) { return a.at_ms < b.at_ms; });
  plan.ending = static_cast<ShutdownMethod>(random.integer(0, 4));
  return plan;
}

SoakPlan make_fault_plan(const std::string& faults) {
  SoakPlan plan;
  plan.load_ms = 8'000;
  plan.payout_deadline_ms = plan.longest_deadline_ms;
  plan.faults = faults;
  return plan;
}

std::string describe(const SoakPlan& plan) {
  char text[200];
  std::snprintf(text, sizeof text,
                "deadlines %.0f and %.0f ms, %d bad clients, workers drop idle connections after %.0f ms",
                plan.longest_deadline_ms, plan.payout_deadline_ms, plan.bad_clients, plan.worker_idle_ms);
  std::string description = text;
  if (plan.clients_leave) description += ", clients leave";
  if (plan.clients_pause) description += ", clients pause";
  if (plan.short_budgets) description += ", short budgets";
  if (plan.workers_fail) description += ", workers fail";
  if (plan.is_pushed) description += ", lists are pushed";
  std::snprintf(text, sizeof text, ", repeats known for %.0f ms", plan.repeat_window_ms);
  if (plan.repeat_window_ms > 0) description += text;
  description += "; faults " + plan.faults + "; ";
  for (const Event& event : plan.events) {
    std::snprintf(text, sizeof text, "%s at %.0f, ", name_of(event.kind), event.at_ms);
    description += text;
  }
  return description + "end " + name_of(plan.ending);
}

}  // namespace woadtide::lab::soak
