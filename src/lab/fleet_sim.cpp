#include "lab/fleet_sim.hpp"

#include <algorithm>
#include <boost/random/binomial_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <ctime>
#include <map>
#include <pcg_random.hpp>

#include "control/assessor.hpp"
#include "control/controller.hpp"

namespace woadtide::lab {

using rollout::Order;
using rollout::Phase;

namespace {

constexpr double kTurnMs = 1'000, kMostS = 6 * 3'600;
constexpr double kBadEveryS = 90, kBadForS = 12;  // a zone has trouble now and then

struct Box {
  std::string name, zone;
  double weight = 1;
  bool runs_new = false;
  int pid = 1;
  core::Figures figures;
  double cpu_ms = 0;
};

double cpu_now() { return 1e3 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

}  // namespace

FleetSimResult simulate(const FleetSim& setup, std::uint64_t seed) {
  pcg32 random(seed);
  const auto share = [&] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
  config::RolloutPart part;
  std::map<std::string, Box> boxes;
  double weights = 0;
  for (int i = 0; i < setup.dispatchers; ++i) {
    Box box;
    box.name = "n" + std::to_string(i);
    box.zone = std::string(1, static_cast<char>('a' + i % setup.zones));
    // Most see little, some several times the mean.
    box.weight = boost::random::lognormal_distribution<double>(0, 0.9)(random);
    weights += box.weight;
    part.members.push_back({box.name, box.zone, box.name});
    boxes[box.name] = box;
  }
  part.stages = setup.stages;
  part.look_ms = setup.look_s * 1e3;
  part.bake_ms = setup.bake_s * 1e3;
  part.patience_ms = setup.patience_s * 1e3;
  part.margin = setup.margin;
  std::map<std::string, double> traffic;
  for (const auto& [name, box] : boxes) traffic[name] = box.weight;
  control::order_by_traffic(part.members, traffic);
  rollout::Rollout rollout(control::plan_of(part, "sim"));
  control::Assessor assessor(part);
  FleetSimResult result;
  struct Due {
    double at;
    Order order;
  };
  std::vector<Due> due;
  std::map<std::string, std::uint64_t> sent;
  const double all_rate = setup.rate * setup.dispatchers;
  double first_new = 0, cpu = 0;
  std::size_t turns = 0;
  for (double now = 1'000; now < kMostS * 1e3 && !rollout.over() && rollout.paused().empty();
       now += kTurnMs) {
    // One second of service.
    const int bad_zone = setup.troubles && std::fmod(now / 1e3, kBadEveryS) < kBadForS
                             ? static_cast<int>(now / 1e3 / kBadEveryS) % setup.zones
                             : -1;
    std::map<std::string, control::Sample> samples;
    for (auto& [name, box] : boxes) {
      const bool bad = box.zone[0] - 'a' == bad_zone;
      const double mean = all_rate * box.weight / weights * (0.5 + share());
      for (const auto& [kind, of] : {std::pair{"receipt-check", 0.62}, std::pair{"refund-payout", 0.38}}) {
        core::ClassFigures& figures = box.figures[kind];
        const int asked = boost::random::poisson_distribution<int>(std::max(mean * of, 1e-3))(random);
        const bool hit = box.runs_new && std::string(kind) == "refund-payout";
        for (int i = 0; i < asked; ++i) {
          figures.asked += 1;
          const double draw = share();
          const double failed = bad ? 0.25 : 0.003, refused = bad ? 0.2 : 0.01;
          if (draw < failed) {
            figures.failed += 1;
          } else if (draw < failed + refused) {
            figures.refused += 1;
          } else if (hit && share() < setup.failed) {
            figures.failed += 1;
            result.lost += 1 / all_rate;
          } else {
            const double ms = boost::random::lognormal_distribution<double>(4, 0.7)(random) * (bad ? 2 : 1) *
                              (box.runs_new ? 1 + setup.slow : 1);
            figures.add_served(ms, ms > 400);
          }
        }
        box.cpu_ms += 0.2 * asked;
      }
      samples[name] = {now, box.pid, 0, 8 + box.weight, box.cpu_ms, box.figures};
    }
    // What was ordered is done some seconds later.
    for (std::size_t i = 0; i < due.size();) {
      if (due[i].at > now) {
        ++i;
        continue;
      }
      const Order order = due[i].order;
      due.erase(due.begin() + static_cast<std::ptrdiff_t>(i));
      Box& box = boxes.at(order.member);
      const bool to_new = order.kind == Order::Kind::move;
      if (to_new || order.kind == Order::Kind::go_back) {
        if (box.runs_new != to_new) {
          box.pid += 1;
          box.figures.clear();
          box.cpu_ms = 0;
        }
        box.runs_new = to_new;
        if (first_new == 0) first_new = now;
      }
      rollout.answered(now, order, true, {});
    }
    const double began = cpu_now();
    assessor.look(samples, rollout);
    assessor.judge(now, rollout);
    rollout.tick(now);
    cpu += cpu_now() - began;
    turns += 1;
    for (const auto& member : rollout.plan().members) {
      const auto out = rollout.out(member.name);
      if (!out || sent[member.name] >= out->number) continue;
      sent[member.name] = out->number;
      result.orders += 1;
      due.push_back({now + 1'000 + 2'000 * share(), *out});
    }
    result.most_on_new = std::max(result.most_on_new, rollout.on_new());
    if (result.stopped_s == 0 && rollout.phase() == Phase::going_back)
      result.stopped_s = (now - first_new) / 1e3;
    result.seconds = now / 1e3;
  }
  result.outcome = rollout.phase() == Phase::complete ? "complete"
                   : rollout.phase() == Phase::back   ? "back"
                                                      : "paused";
  result.reason = rollout.reason() + rollout.paused();
  result.judge_ms = cpu / static_cast<double>(std::max<std::size_t>(turns, 1));
  return result;
}

}  // namespace woadtide::lab
