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

constexpr double kStepMs = 1'000, kMaxSimulatedS = 6 * 3'600;
constexpr double kOutagePeriodS = 90, kOutageS = 12;  // every zone in turn has an outage

struct SimulatedDispatcher {
  std::string name, zone;
  double weight = 1;
  bool runs_new = false;
  int pid = 1;
  core::DispatcherStats figures;
  double cpu_ms = 0;
};

double cpu_time_ms() { return 1e3 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

}  // namespace

FleetSimResult simulate_change(const FleetSimSettings& simulation, std::uint64_t seed) {
  pcg32 random(seed);
  const auto random_share = [&] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
  config::RolloutSettings settings;
  std::map<std::string, SimulatedDispatcher> dispatchers;
  double total_weight = 0;
  for (int i = 0; i < simulation.dispatchers; ++i) {
    SimulatedDispatcher dispatcher;
    dispatcher.name = "n" + std::to_string(i);
    dispatcher.zone = std::string(1, static_cast<char>('a' + i % simulation.zones));
    // Most dispatchers get little traffic, some several times the mean.
    dispatcher.weight = boost::random::lognormal_distribution<double>(0, 0.9)(random);
    total_weight += dispatcher.weight;
    settings.members.push_back({dispatcher.name, dispatcher.zone, dispatcher.name});
    dispatchers[dispatcher.name] = dispatcher;
  }
  settings.stages = simulation.stages;
  settings.look_ms = simulation.look_s * 1e3;
  settings.bake_ms = simulation.bake_s * 1e3;
  settings.patience_ms = simulation.patience_s * 1e3;
  settings.margin = simulation.margin;
  std::map<std::string, double> traffic_by_name;
  for (const auto& [name, dispatcher] : dispatchers) traffic_by_name[name] = dispatcher.weight;
  control::order_by_traffic(settings.members, traffic_by_name);
  rollout::Rollout rollout(control::make_plan(settings, "sim"));
  control::Assessor assessor(settings);
  FleetSimResult result;
  struct PendingOrder {
    double at_ms;
    Order order;
  };
  std::vector<PendingOrder> pending_orders;
  std::map<std::string, std::uint64_t> sent_orders;
  const double total_rate = simulation.queries_per_s * simulation.dispatchers;
  double first_new_ms = 0, total_cpu_ms = 0;
  std::size_t step_count = 0;
  for (double now = 1'000;
       now < kMaxSimulatedS * 1e3 && !rollout.finished() && rollout.pause_reason().empty(); now += kStepMs) {
    // Simulates one second of load.
    const int outage_zone = simulation.zone_outages && std::fmod(now / 1e3, kOutagePeriodS) < kOutageS
                                ? static_cast<int>(now / 1e3 / kOutagePeriodS) % simulation.zones
                                : -1;
    std::map<std::string, control::Sample> samples;
    for (auto& [name, dispatcher] : dispatchers) {
      const bool in_outage = dispatcher.zone[0] - 'a' == outage_zone;
      const double mean_queries = total_rate * dispatcher.weight / total_weight * (0.5 + random_share());
      for (const auto& [kind, class_share] :
           {std::pair{"receipt-check", 0.62}, std::pair{"refund-payout", 0.38}}) {
        core::ClassStats& figures = dispatcher.figures[kind];
        const int query_count =
            boost::random::poisson_distribution<int>(std::max(mean_queries * class_share, 1e-3))(random);
        const bool has_defect = dispatcher.runs_new && std::string(kind) == "refund-payout";
        for (int i = 0; i < query_count; ++i) {
          figures.accepted += 1;
          const double outcome_draw = random_share();
          const double failed_share = in_outage ? 0.25 : 0.003, refused_share = in_outage ? 0.2 : 0.01;
          if (outcome_draw < failed_share) {
            figures.failed += 1;
          } else if (outcome_draw < failed_share + refused_share) {
            figures.refused += 1;
          } else if (has_defect && random_share() < simulation.failed_payout_share) {
            figures.failed += 1;
            result.lost_load_s += 1 / total_rate;
          } else {
            const double ms = boost::random::lognormal_distribution<double>(4, 0.7)(random) *
                              (in_outage ? 2 : 1) *
                              (dispatcher.runs_new ? 1 + simulation.latency_increase : 1);
            figures.add_served(ms, ms > 400);
          }
        }
        dispatcher.cpu_ms += 0.2 * query_count;
      }
      samples[name] = {now, dispatcher.pid, 0, 8 + dispatcher.weight, dispatcher.cpu_ms, dispatcher.figures};
    }
    // Orders take effect some seconds after they were issued.
    for (std::size_t i = 0; i < pending_orders.size();) {
      if (pending_orders[i].at_ms > now) {
        ++i;
        continue;
      }
      const Order order = pending_orders[i].order;
      pending_orders.erase(pending_orders.begin() + static_cast<std::ptrdiff_t>(i));
      SimulatedDispatcher& dispatcher = dispatchers.at(order.member);
      const bool to_new = order.kind == Order::Kind::move;
      if (to_new || order.kind == Order::Kind::go_back) {
        if (dispatcher.runs_new != to_new) {
          dispatcher.pid += 1;
          dispatcher.figures.clear();
          dispatcher.cpu_ms = 0;
        }
        dispatcher.runs_new = to_new;
        if (first_new_ms == 0) first_new_ms = now;
      }
      rollout.on_order_result(now, order, true, {});
    }
    const double cpu_before_ms = cpu_time_ms();
    assessor.add_samples(samples, rollout);
    assessor.assess(now, rollout);
    rollout.tick(now);
    total_cpu_ms += cpu_time_ms() - cpu_before_ms;
    step_count += 1;
    for (const auto& member : rollout.plan().members) {
      const auto next_order = rollout.outstanding_order(member.name);
      if (!next_order || sent_orders[member.name] >= next_order->number) continue;
      sent_orders[member.name] = next_order->number;
      result.order_count += 1;
      pending_orders.push_back({now + 1'000 + 2'000 * random_share(), *next_order});
    }
    result.max_on_new = std::max(result.max_on_new, rollout.new_version_count());
    if (result.rolled_back_after_s == 0 && rollout.phase() == Phase::rolling_back)
      result.rolled_back_after_s = (now - first_new_ms) / 1e3;
    result.duration_s = now / 1e3;
  }
  result.outcome = rollout.phase() == Phase::complete      ? "complete"
                   : rollout.phase() == Phase::rolled_back ? "back"
                                                           : "paused";
  result.reason = rollout.rollback_reason() + rollout.pause_reason();
  result.cpu_ms_per_step = total_cpu_ms / static_cast<double>(std::max<std::size_t>(step_count, 1));
  return result;
}

}  // namespace woadtide::lab
