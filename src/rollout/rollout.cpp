#include "rollout/rollout.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace woadtide::rollout {

using nlohmann::json;

namespace {
constexpr int kFormatVersion = 1;
}

std::string plan_error(const Plan& plan) {
  std::set<std::string> names;
  for (const Member& member : plan.members) {
    if (member.name.empty()) return "a member has no name";
    if (!names.insert(member.name).second) return "member " + member.name + " comes twice";
  }
  if (plan.change.empty()) return "the change has no name";
  if (plan.members.empty()) return "there are no members";
  int before = 0;
  for (const int stage : plan.stages) {
    if (stage <= before) return "stages must grow, from 1 on";
    before = stage;
  }
  if (before != static_cast<int>(plan.members.size()))
    return "the last stage must be all " + std::to_string(plan.members.size()) + " members";
  if (plan.bake_ms < 0 || plan.stage_timeout_ms < plan.bake_ms)
    return "patience must not be under the bake time";
  if (plan.order_timeout_ms <= 0 || plan.max_attempts < 1) return "a step needs time and a try";
  return {};
}

Rollout::Rollout(Plan plan) : plan_(std::move(plan)) {
  if (const std::string error = plan_error(plan_); !error.empty()) throw std::invalid_argument(error);
  for (const Member& member : plan_.members) members_[member.name].zone = member.zone;
}

// Queries -------------------------------------------------------------------------------------------------

int Rollout::new_version_count() const {
  return static_cast<int>(std::count_if(members_.begin(), members_.end(), [](const auto& item) {
    const MemberState state = item.second.state;
    return state == MemberState::moving || state == MemberState::on_new || state == MemberState::returning ||
           state == MemberState::kept_out;
  }));
}

int Rollout::allowed_on_new() const {
  if (phase_ == Phase::checking) return 0;
  return plan_.stages[static_cast<std::size_t>(stage_)];
}

// Returns true if another member of the zone may be out of service for a while: less than two thirds of the
// zone at once, but always at least one. On the way forward a member that is down counts as out of service; a
// rollback must not wait for it.
bool Rollout::may_leave_service(const std::string& zone) const {
  int all = 0, out_of_service = 0;
  for (const auto& [name, progress] : members_) {
    if (progress.zone != zone) continue;
    all += 1;
    const bool down = !progress.alive && phase_ != Phase::rolling_back;
    out_of_service +=
        progress.state == MemberState::moving || progress.state == MemberState::returning || down;
  }
  return out_of_service == 0 || 3 * (out_of_service + 1) < 2 * all;
}

// Picks a waiting member from the zone with the smallest changed share, so that a stage spreads over all
// zones.
std::string Rollout::next_member_to_move() const {
  std::map<std::string, std::pair<int, int>> zones;  // changed, total
  for (const auto& [name, progress] : members_) {
    zones[progress.zone].first += progress.state != MemberState::on_old;
    zones[progress.zone].second += 1;
  }
  std::string picked;
  double smallest_share = 2;
  for (const Member& member : plan_.members) {
    const MemberProgress& progress = members_.at(member.name);
    if (progress.state != MemberState::on_old || !progress.alive || !may_leave_service(progress.zone))
      continue;
    const auto [changed, all] = zones.at(progress.zone);
    const double share = static_cast<double>(changed) / all;
    if (share < smallest_share) smallest_share = share, picked = member.name;
  }
  return picked;
}

// Returns why the current stage has not changed all its members yet.
std::string Rollout::incomplete_stage_reason() const {
  for (const auto& [name, progress] : members_)
    if (!progress.alive) return ": " + name + " is down";
  return ": its dispatchers have not all been changed";
}

// Orders --------------------------------------------------------------------------------------------------

void Rollout::issue_order(double now, const std::string& member, Order::Kind kind,
                          std::vector<Order>& orders) {
  MemberProgress& progress = members_.at(member);
  progress.attempts = progress.order == kind ? progress.attempts + 1 : 1;
  progress.order = kind;
  progress.ordered_at = now;
  progress.number = ++last_order_number_;
  orders.push_back({kind, member, progress.number});
}

std::vector<Order> Rollout::tick(double now) {
  if (first_tick_at_ == 0) first_tick_at_ = now;
  std::vector<Order> orders;
  for (auto& [name, progress] : members_) {
    if (!progress.order || now < progress.ordered_at + plan_.order_timeout_ms) continue;
    const Order::Kind kind = *progress.order;
    if (progress.attempts < plan_.max_attempts)
      issue_order(now, name, kind, orders);
    else
      handle_order_failure(name, kind, "no answer");
  }
  const std::vector<Order> more = next_orders(now);
  orders.insert(orders.end(), more.begin(), more.end());
  return orders;
}

std::vector<Order> Rollout::next_orders(double now) {
  std::vector<Order> orders;
  // A rollback continues even while paused: a pause must not keep members on a worse version.
  if (phase_ == Phase::rolling_back) {
    bool busy = false;
    for (auto& [name, progress] : members_) {
      busy = busy || progress.order.has_value();
      if (progress.order || progress.state != MemberState::on_new) continue;
      busy = true;
      if (!may_leave_service(progress.zone)) continue;
      progress.state = MemberState::returning;
      issue_order(now, name, Order::Kind::go_back, orders);
    }
    if (!busy) phase_ = Phase::rolled_back;
    return orders;
  }
  if (finished() || !pause_reason_.empty()) return orders;
  if (phase_ == Phase::checking) {
    bool all = true;
    for (auto& [name, progress] : members_) {
      if (progress.state != MemberState::unchecked) continue;
      all = false;
      if (!progress.order) issue_order(now, name, Order::Kind::check, orders);
    }
    if (!all || now < first_tick_at_ + plan_.baseline_ms) return orders;
    phase_ = Phase::moving;
    phase_started_at_ = now;
  }
  if (phase_ == Phase::moving) {
    while (new_version_count() < allowed_on_new()) {
      const std::string member = next_member_to_move();
      if (member.empty()) break;
      members_.at(member).state = MemberState::moving;
      issue_order(now, member, Order::Kind::move, orders);
    }
    const bool done = std::count_if(members_.begin(), members_.end(), [](const auto& item) {
                        return item.second.state == MemberState::on_new && !item.second.order;
                      }) == allowed_on_new();
    if (done) {
      phase_ = Phase::baking;
      phase_started_at_ = now;
    }
  }
  if (now >= phase_started_at_ + plan_.stage_timeout_ms)
    pause_reason_ =
        "stage " + std::to_string(stage_ + 1) +
        (phase_ == Phase::baking ? ": cannot tell yet whether it does worse" : incomplete_stage_reason());
  return orders;
}

std::vector<Order> Rollout::on_order_result(double now, const Order& order, bool done,
                                            const std::string& why) {
  const auto found = members_.find(order.member);
  if (found == members_.end() || found->second.order != order.kind || found->second.number != order.number)
    return {};
  MemberProgress& progress = found->second;
  if (!done) {
    // Not repeated at once, because the cause of the failure would still be there. tick() repeats it after
    // order_timeout_ms.
    if (order.kind == Order::Kind::check || progress.attempts >= plan_.max_attempts)
      handle_order_failure(order.member, order.kind, why);
    return next_orders(now);
  }
  progress.order.reset();
  if (order.kind == Order::Kind::check) progress.state = MemberState::on_old;
  if (order.kind == Order::Kind::move) progress.state = MemberState::on_new;
  if (order.kind == Order::Kind::go_back) progress.state = MemberState::on_old;
  if (order.kind == Order::Kind::keep_out) progress.state = MemberState::kept_out;
  return next_orders(now);
}

void Rollout::handle_order_failure(const std::string& member, Order::Kind kind, const std::string& why) {
  MemberProgress& progress = members_.at(member);
  progress.order.reset();
  switch (kind) {
    case Order::Kind::check:
      // No member runs the new version yet, so the rollout ends here.
      if (phase_ == Phase::checking) rollback_reason_ = member + " cannot take it: " + why;
      if (phase_ == Phase::checking) phase_ = Phase::rolled_back;
      for (auto& [name, other] : members_) other.order.reset();
      return;
    case Order::Kind::move:
      // It may run either version by now, so it goes back like the members on the new one.
      progress.state = MemberState::on_new;
      return roll_back(member + " could not be changed: " + why);
    case Order::Kind::go_back:
      progress.order = Order::Kind::keep_out;
      progress.attempts = 0;
      progress.ordered_at = -1e18;  // issued by the next tick
      return;
    case Order::Kind::keep_out:
      // Reported as not rolled back; nothing more can be done from here.
      progress.state = MemberState::kept_out;
      return;
  }
}

void Rollout::roll_back(const std::string& why) {
  if (finished() || phase_ == Phase::rolling_back) return;
  rollback_reason_ = why;
  phase_ = new_version_count() == 0 ? Phase::rolled_back : Phase::rolling_back;
  pause_reason_.clear();
  for (auto& [name, progress] : members_) {
    if (!progress.order || *progress.order == Order::Kind::go_back ||
        *progress.order == Order::Kind::keep_out)
      continue;
    // A member with an outstanding move may run either version.
    if (progress.state == MemberState::moving) progress.state = MemberState::on_new;
    progress.order.reset();
  }
}

std::vector<Order> Rollout::on_member_status(double now, const std::string& member, bool alive,
                                             bool runs_new) {
  const auto found = members_.find(member);
  if (found == members_.end()) return {};
  MemberProgress& progress = found->second;
  progress.alive = alive;
  if (!alive || progress.order) return next_orders(now);
  // For example, it was killed, and whoever started it again knew only the other version.
  if (progress.state == MemberState::on_new && !runs_new) {
    progress.state = MemberState::on_old;
    if (phase_ == Phase::baking) {
      phase_ = Phase::moving;
      phase_started_at_ = now;
    }
  }
  if (progress.state == MemberState::on_old && runs_new) {
    progress.state = MemberState::on_new;
    if (phase_ == Phase::complete || phase_ == Phase::checking) return next_orders(now);
    if (phase_ == Phase::rolled_back) phase_ = Phase::rolling_back;
  }
  return next_orders(now);
}

std::vector<Order> Rollout::on_assessment(double now, StageAssessment word, const std::string& why) {
  if (finished() || phase_ == Phase::rolling_back || phase_ == Phase::checking) return {};
  if (word == StageAssessment::worse) {
    roll_back("stage " + std::to_string(stage_ + 1) + " does worse: " + why);
    return next_orders(now);
  }
  if (word == StageAssessment::not_worse && phase_ == Phase::baking && pause_reason_.empty() &&
      now >= phase_started_at_ + plan_.bake_ms) {
    if (stage_ + 1 == static_cast<int>(plan_.stages.size())) {
      phase_ = Phase::complete;
    } else {
      stage_ += 1;
      phase_ = Phase::moving;
      phase_started_at_ = now;
    }
  }
  return next_orders(now);
}

std::vector<Order> Rollout::on_fallback(double now, const std::string& member, const std::string& why) {
  const auto found = members_.find(member);
  if (found == members_.end() || finished() || phase_ == Phase::rolling_back || phase_ == Phase::checking)
    return {};
  if (!found->second.order) found->second.state = MemberState::on_old;
  roll_back(member + " went back by itself: " + why);
  return next_orders(now);
}

std::optional<Order> Rollout::outstanding_order(const std::string& member) const {
  const MemberProgress& progress = members_.at(member);
  if (!progress.order || progress.attempts == 0) return std::nullopt;
  return Order{*progress.order, member, progress.number};
}

// Operator commands ---------------------------------------------------------------------------------------

void Rollout::pause(const std::string& why) {
  if (!finished() && phase_ != Phase::rolling_back) pause_reason_ = why.empty() ? "by an operator" : why;
}

std::vector<Order> Rollout::resume(double now) {
  pause_reason_.clear();
  phase_started_at_ = now;
  return next_orders(now);
}

std::vector<Order> Rollout::abort(double now) {
  roll_back("aborted by an operator");
  return next_orders(now);
}

std::vector<Order> Rollout::outstanding_orders() const {
  std::vector<Order> orders;
  for (const auto& [name, progress] : members_)
    if (const auto order = outstanding_order(name)) orders.push_back(*order);
  return orders;
}

// Serialization -------------------------------------------------------------------------------------------

std::string Rollout::serialize() const {
  json members = json::object(), order = json::array();
  for (const auto& [name, progress] : members_)
    members[name] = {
        {"zone", progress.zone},     {"place", static_cast<int>(progress.state)},
        {"alive", progress.alive},   {"order", progress.order ? static_cast<int>(*progress.order) : -1},
        {"number", progress.number}, {"ordered_at", progress.ordered_at},
        {"tries", progress.attempts}};
  for (const Member& member : plan_.members) order.push_back(member.name);
  return json({{"version", kFormatVersion},
               {"change", plan_.change},
               {"order", std::move(order)},
               {"stages", plan_.stages},
               {"look_ms", plan_.baseline_ms},
               {"began", first_tick_at_},
               {"bake_ms", plan_.bake_ms},
               {"patience_ms", plan_.stage_timeout_ms},
               {"step_ms", plan_.order_timeout_ms},
               {"tries", plan_.max_attempts},
               {"phase", static_cast<int>(phase_)},
               {"stage", stage_},
               {"numbers", last_order_number_},
               {"since", phase_started_at_},
               {"paused", pause_reason_},
               {"reason", rollback_reason_},
               {"members", std::move(members)}})
      .dump(1);
}

Rollout Rollout::parse(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("no state of a change");
  try {
    if (object.at("version") != kFormatVersion)
      throw std::invalid_argument("a state of version " + object.at("version").dump() + "; this one reads " +
                                  std::to_string(kFormatVersion));
    const auto int_in_range = [](const json& value, int min, int max) {
      const int number = value.get<int>();
      if (number < min || number > max) throw std::invalid_argument("a state that cannot be right");
      return number;
    };
    Rollout restored;
    Plan& plan = restored.plan_;
    plan.change = object.at("change");
    object.at("stages").get_to(plan.stages);
    plan.baseline_ms = object.at("look_ms");
    restored.first_tick_at_ = object.at("began");
    plan.bake_ms = object.at("bake_ms");
    plan.stage_timeout_ms = object.at("patience_ms");
    plan.order_timeout_ms = object.at("step_ms");
    plan.max_attempts = object.at("tries");
    for (const json& name : object.at("order")) {
      const json& fields = object.at("members").at(name.get<std::string>());
      MemberProgress member;
      member.zone = fields.at("zone");
      member.state = static_cast<MemberState>(
          int_in_range(fields.at("place"), 0, static_cast<int>(MemberState::kept_out)));
      member.alive = fields.at("alive");
      const int order = int_in_range(fields.at("order"), -1, static_cast<int>(Order::Kind::keep_out));
      if (order >= 0) member.order = static_cast<Order::Kind>(order);
      member.number = fields.at("number");
      member.ordered_at = fields.at("ordered_at");
      member.attempts = fields.at("tries");
      plan.members.push_back({name, member.zone});
      restored.members_[name] = member;
    }
    if (const std::string error = plan_error(plan); !error.empty()) throw std::invalid_argument(error);
    restored.phase_ =
        static_cast<Phase>(int_in_range(object.at("phase"), 0, static_cast<int>(Phase::rolled_back)));
    restored.stage_ = int_in_range(object.at("stage"), 0, static_cast<int>(plan.stages.size()) - 1);
    restored.last_order_number_ = object.at("numbers");
    restored.phase_started_at_ = object.at("since");
    restored.pause_reason_ = object.at("paused");
    restored.rollback_reason_ = object.at("reason");
    return restored;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

}  // namespace woadtide::rollout
