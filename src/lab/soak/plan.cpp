#include "lab/soak/plan.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdio>
#include <pcg_random.hpp>

namespace woadtide::lab::soak {

namespace {

// So that no two of them follow each other as one longer one.
constexpr double kHeldUpApartMs = 500;

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  double real(double from, double to) {
    return boost::random::uniform_real_distribution<double>(from, to)(random_);
  }
  int whole(int from, int to) { return boost::random::uniform_int_distribution<int>(from, to)(random_); }
  bool chance(double share) { return real(0, 1) < share; }

 private:
  pcg32 random_;
};

std::string draw_faults(Draw& draw, std::uint64_t seed) {
  std::string text = "seed=" + std::to_string(seed);
  char one[40];
  for (const char* call : {"accept", "socket", "connect", "read", "write", "wait"}) {
    if (!draw.chance(0.4)) continue;
    std::snprintf(one, sizeof one, ",%s=%.3f", call, draw.real(0.01, 0.2));
    text += one;
  }
  if (draw.chance(0.3)) {
    std::snprintf(one, sizeof one, ",broken=%.4f", draw.real(0.001, 0.02));
    text += one;
  }
  if (draw.chance(0.4)) {
    constexpr int kHourMs = 3'600'000;
    const int steps[] = {kHourMs, -kHourMs, 5'000, -5'000};
    std::snprintf(one, sizeof one, ",wall=%d:%d", draw.whole(0, 4'000), steps[draw.whole(0, 3)]);
    text += one;
  }
  return text;
}

void draw_discovery_trouble(Draw& draw, std::vector<Event>& events) {
  const double from = draw.real(300, 2'000);
  switch (draw.whole(0, 4)) {
    case 0:
      events.push_back({from, EventKind::discovery_down});
      events.push_back({from + draw.real(500, 2'500), EventKind::discovery_well});
      return;
    case 1:
      events.push_back({from, EventKind::discovery_slow});
      events.push_back({from + 1, EventKind::watches_silent});
      return;
    case 2:
      events.push_back({from, EventKind::watches_silent});
      return;
    case 3:
      for (int count = draw.whole(1, 3), i = 0; i < count; ++i)
        events.push_back({from + i * draw.real(0, 300), EventKind::reload});
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
    case EventKind::discovery_well:
      return "discovery well";
    case EventKind::watches_silent:
      return "watches silent";
    case EventKind::held_up:
      return "held up";
    case EventKind::reload:
      return "reload";
  }
  return "";
}

const char* name_of(Ending ending) {
  switch (ending) {
    case Ending::term:
      return "TERM";
    case Ending::term_term:
      return "TERM TERM";
    case Ending::hup_term:
      return "HUP HUP TERM";
    case Ending::term_hup:
      return "TERM HUP";
    case Ending::upgrade:
      return "upgrade";
  }
  return "";
}

SoakPlan draw_plan(std::uint64_t seed) {
  Draw draw(seed);
  SoakPlan plan;
  plan.seed = seed;
  const double deadlines[] = {300, 1'000, 2'000, 5'000};
  plan.longest_deadline_ms = deadlines[draw.whole(0, 3)];
  plan.payout_deadline_ms = plan.longest_deadline_ms * draw.real(0.6, 1);
  plan.bad_clients = draw.chance(0.4) ? draw.whole(5, 40) : 0;
  plan.worker_idle_ms = draw.chance(0.3) ? draw.real(5, 100) : 60'000;
  plan.clients_leave = draw.chance(0.5);
  plan.clients_pause = draw.chance(0.4);
  plan.short_budgets = draw.chance(0.3);
  plan.workers_fail = draw.chance(0.5);
  plan.faults = draw_faults(draw, seed);
  if (draw.chance(0.6)) plan.events.push_back({draw.real(500, 4'500), EventKind::drain, 0});
  if (draw.chance(0.4)) {
    const double from = draw.real(500, 4'800);
    plan.events.push_back({from, EventKind::hang_begins, 1});
    if (draw.chance(0.5)) plan.events.push_back({from + draw.real(300, 1'500), EventKind::hang_ends, 1});
  }
  draw_discovery_trouble(draw, plan.events);
  plan.is_pushed = draw.chance(0.25);
  plan.repeat_window_ms = draw.chance(0.3) ? draw.real(20, 500) : 0;
  if (draw.chance(0.4))
    for (double at = draw.real(300, 1'000); at < plan.load_ms; at += draw.real(kHeldUpApartMs, 2'000))
      plan.events.push_back({at, EventKind::held_up});
  std::sort(plan.events.begin(), plan.events.end(),
            [](const Event& a, const Event& b) { return a.at_ms < b.at_ms; });
  plan.ending = static_cast<Ending>(draw.whole(0, 4));
  return plan;
}

SoakPlan plan_of_faults(const std::string& faults) {
  SoakPlan plan;
  plan.load_ms = 8'000;
  plan.payout_deadline_ms = plan.longest_deadline_ms;
  plan.faults = faults;
  return plan;
}

std::string text_of(const SoakPlan& plan) {
  char text[200];
  std::snprintf(text, sizeof text,
                "deadlines %.0f and %.0f ms, %d bad clients, workers drop idle connections after %.0f ms",
                plan.longest_deadline_ms, plan.payout_deadline_ms, plan.bad_clients, plan.worker_idle_ms);
  std::string all = text;
  if (plan.clients_leave) all += ", clients leave";
  if (plan.clients_pause) all += ", clients pause";
  if (plan.short_budgets) all += ", short budgets";
  if (plan.workers_fail) all += ", workers fail";
  if (plan.is_pushed) all += ", lists are pushed";
  std::snprintf(text, sizeof text, ", repeats known for %.0f ms", plan.repeat_window_ms);
  if (plan.repeat_window_ms > 0) all += text;
  all += "; faults " + plan.faults + "; ";
  for (const Event& event : plan.events) {
    std::snprintf(text, sizeof text, "%s at %.0f, ", name_of(event.kind), event.at_ms);
    all += text;
  }
  return all + "end " + name_of(plan.ending);
}

}  // namespace woadtide::lab::soak
