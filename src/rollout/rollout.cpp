#include "rollout/rollout.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace woadtide::rollout {

using nlohmann::json;

namespace {
constexpr int kVersion = 1;
}

std::string wrong_with(const Plan& plan) {
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
  if (plan.bake_ms < 0 || plan.patience_ms < plan.bake_ms) return "patience must not be under the bake time";
  if (plan.step_ms <= 0 || plan.tries < 1) return "a step needs time and a try";
  return {};
}

Rollout::Rollout(Plan plan) : plan_(std::move(plan)) {
  if (const std::string wrong = wrong_with(plan_); !wrong.empty()) throw std::invalid_argument(wrong);
  for (const Member& member : plan_.members) members_[member.name].zone = member.zone;
}

// What is going on -------------------------------------------------------------------------------------

int Rollout::on_new() const {
  return static_cast<int>(std::count_if(members_.begin(), members_.end(), [](const auto& item) {
    const Place place = item.second.place;
    return place == Place::moving || place == Place::on_new || place == Place::returning ||
           place == Place::left;
  }));
}

int Rollout::allowed() const {
  if (phase_ == Phase::checking) return 0;
  return plan_.stages[static_cast<std::size_t>(stage_)];
}

// Another one of the zone may be taken out of service for a while: never two thirds of it at once, but one
// always. On the way forward one that is down or kept out counts too; the way back must not wait for it.
bool Rollout::may_leave(const std::string& zone) const {
  int all = 0, away = 0;
  for (const auto& [name, state] : members_) {
    if (state.zone != zone) continue;
    all += 1;
    const bool out = !state.alive && phase_ != Phase::going_back;
    away += state.place == Place::moving || state.place == Place::returning || out;
  }
  return away == 0 || 3 * (away + 1) < 2 * all;
}

// Of those that wait, one of the zone with the smallest part changed: a stage spreads over all zones.
std::string Rollout::next_member() const {
  std::map<std::string, std::pair<int, int>> zones;  // changed, all
  for (const auto& [name, state] : members_) {
    zones[state.zone].first += state.place != Place::on_old;
    zones[state.zone].second += 1;
  }
  std::string best;
  double least = 2;
  for (const Member& member : plan_.members) {
    const State& state = members_.at(member.name);
    if (state.place != Place::on_old || !state.alive || !may_leave(state.zone)) continue;
    const auto [changed, all] = zones.at(state.zone);
    const double part = static_cast<double>(changed) / all;
    if (part < least) least = part, best = member.name;
  }
  return best;
}

// Why a stage is not whole.
std::string Rollout::waited_for() const {
  for (const auto& [name, state] : members_)
    if (!state.alive) return ": " + name + " is down";
  return ": its dispatchers have not all been changed";
}

// What is next -----------------------------------------------------------------------------------------

void Rollout::give(double now, const std::string& member, Order::Kind kind, std::vector<Order>& orders) {
  State& state = members_.at(member);
  state.tries = state.order == kind ? state.tries + 1 : 1;
  state.order = kind;
  state.ordered_at = now;
  state.number = ++numbers_;
  orders.push_back({kind, member, state.number});
}

std::vector<Order> Rollout::tick(double now) {
  if (began_ == 0) began_ = now;
  std::vector<Order> orders;
  for (auto& [name, state] : members_) {
    if (!state.order || now < state.ordered_at + plan_.step_ms) continue;
    const Order::Kind kind = *state.order;
    if (state.tries < plan_.tries)
      give(now, name, kind, orders);
    else
      order_failed(name, kind, "no answer");
  }
  const std::vector<Order> more = next(now);
  orders.insert(orders.end(), more.begin(), more.end());
  return orders;
}

std::vector<Order> Rollout::next(double now) {
  std::vector<Order> orders;
  // What goes back goes back whether paused or not: a pause is no reason to stay on what does worse.
  if (phase_ == Phase::going_back) {
    bool busy = false;
    for (auto& [name, state] : members_) {
      busy = busy || state.order.has_value();
      if (state.order || state.place != Place::on_new) continue;
      busy = true;
      if (!may_leave(state.zone)) continue;
      state.place = Place::returning;
      give(now, name, Order::Kind::go_back, orders);
    }
    if (!busy) phase_ = Phase::back;
    return orders;
  }
  if (over() || !paused_.empty()) return orders;
  if (phase_ == Phase::checking) {
    bool all = true;
    for (auto& [name, state] : members_) {
      if (state.place != Place::unchecked) continue;
      all = false;
      if (!state.order) give(now, name, Order::Kind::check, orders);
    }
    if (!all || now < began_ + plan_.look_ms) return orders;
    phase_ = Phase::moving;
    since_ = now;
  }
  if (phase_ == Phase::moving) {
    while (on_new() < allowed()) {
      const std::string member = next_member();
      if (member.empty()) break;
      members_.at(member).place = Place::moving;
      give(now, member, Order::Kind::move, orders);
    }
    const bool done = std::count_if(members_.begin(), members_.end(), [](const auto& item) {
                        return item.second.place == Place::on_new && !item.second.order;
                      }) == allowed();
    if (done) {
      phase_ = Phase::baking;
      since_ = now;
    }
  }
  if (now >= since_ + plan_.patience_ms)
    paused_ = "stage " + std::to_string(stage_ + 1) +
              (phase_ == Phase::baking ? ": cannot tell yet whether it does worse" : waited_for());
  return orders;
}

std::vector<Order> Rollout::answered(double now, const Order& order, bool done, const std::string& why) {
  const auto found = members_.find(order.member);
  if (found == members_.end() || found->second.order != order.kind || found->second.number != order.number)
    return {};
  State& state = found->second;
  if (!done) {
    // Not tried again at once: what made it fail would be there still. The tick does, after a step's time.
    if (order.kind == Order::Kind::check || state.tries >= plan_.tries)
      order_failed(order.member, order.kind, why);
    return next(now);
  }
  state.order.reset();
  if (order.kind == Order::Kind::check) state.place = Place::on_old;
  if (order.kind == Order::Kind::move) state.place = Place::on_new;
  if (order.kind == Order::Kind::go_back) state.place = Place::on_old;
  if (order.kind == Order::Kind::keep_out) state.place = Place::left;
  return next(now);
}

void Rollout::order_failed(const std::string& member, Order::Kind kind, const std::string& why) {
  State& state = members_.at(member);
  state.order.reset();
  switch (kind) {
    case Order::Kind::check:
      // Nobody has the new version yet: this is the end of it.
      if (phase_ == Phase::checking) reason_ = member + " cannot take it: " + why;
      if (phase_ == Phase::checking) phase_ = Phase::back;
      for (auto& [name, other] : members_) other.order.reset();
      return;
    case Order::Kind::move:
      // It may be on either by now: it goes back like those that are on the new one.
      state.place = Place::on_new;
      return turn_back(member + " could not be changed: " + why);
    case Order::Kind::go_back:
      state.order = Order::Kind::keep_out;
      state.tries = 0;
      state.ordered_at = -1e18;  // with the next tick
      return;
    case Order::Kind::keep_out:
      state.place = Place::left;  // named in the end; nothing more can be done from here
      return;
  }
}

void Rollout::turn_back(const std::string& why) {
  if (over() || phase_ == Phase::going_back) return;
  reason_ = why;
  phase_ = on_new() == 0 ? Phase::back : Phase::going_back;
  paused_.clear();
  for (auto& [name, state] : members_) {
    if (!state.order || *state.order == Order::Kind::go_back || *state.order == Order::Kind::keep_out)
      continue;
    // One that is on its way may be on either.
    if (state.place == Place::moving) state.place = Place::on_new;
    state.order.reset();
  }
}

std::vector<Order> Rollout::found(double now, const std::string& member, bool alive, bool runs_new) {
  const auto item = members_.find(member);
  if (item == members_.end()) return {};
  State& state = item->second;
  state.alive = alive;
  if (!alive || state.order) return next(now);
  // It was killed, say, and whoever started it knew the other version.
  if (state.place == Place::on_new && !runs_new) {
    state.place = Place::on_old;
    if (phase_ == Phase::baking) {
      phase_ = Phase::moving;
      since_ = now;
    }
  }
  if (state.place == Place::on_old && runs_new) {
    state.place = Place::on_new;
    if (phase_ == Phase::complete || phase_ == Phase::checking) return next(now);
    if (phase_ == Phase::back) phase_ = Phase::going_back;
  }
  return next(now);
}

std::vector<Order> Rollout::judged(double now, Word word, const std::string& why) {
  if (over() || phase_ == Phase::going_back || phase_ == Phase::checking) return {};
  if (word == Word::worse) {
    turn_back("stage " + std::to_string(stage_ + 1) + " does worse: " + why);
    return next(now);
  }
  if (word == Word::not_worse && phase_ == Phase::baking && paused_.empty() &&
      now >= since_ + plan_.bake_ms) {
    if (stage_ + 1 == static_cast<int>(plan_.stages.size())) {
      phase_ = Phase::complete;
    } else {
      stage_ += 1;
      phase_ = Phase::moving;
      since_ = now;
    }
  }
  return next(now);
}

std::vector<Order> Rollout::fell_back(double now, const std::string& member, const std::string& why) {
  const auto found = members_.find(member);
  if (found == members_.end() || over() || phase_ == Phase::going_back || phase_ == Phase::checking)
    return {};
  if (!found->second.order) found->second.place = Place::on_old;
  turn_back(member + " went back by itself: " + why);
  return next(now);
}

std::optional<Order> Rollout::out(const std::string& member) const {
  const State& state = members_.at(member);
  if (!state.order || state.tries == 0) return std::nullopt;
  return Order{*state.order, member, state.number};
}

// An operator's word -----------------------------------------------------------------------------------

void Rollout::pause(const std::string& why) {
  if (!over() && phase_ != Phase::going_back) paused_ = why.empty() ? "by an operator" : why;
}

std::vector<Order> Rollout::resume(double now) {
  paused_.clear();
  since_ = now;
  return next(now);
}

std::vector<Order> Rollout::abort(double now) {
  turn_back("aborted by an operator");
  return next(now);
}

std::vector<Order> Rollout::outstanding() const {
  std::vector<Order> orders;
  for (const auto& [name, state] : members_)
    if (const auto order = out(name)) orders.push_back(*order);
  return orders;
}

// As a text ----------------------------------------------------------------------------------------------

std::string Rollout::text() const {
  json members = json::object(), order = json::array();
  for (const auto& [name, state] : members_)
    members[name] = {{"zone", state.zone},     {"place", static_cast<int>(state.place)},
                     {"alive", state.alive},   {"order", state.order ? static_cast<int>(*state.order) : -1},
                     {"number", state.number}, {"ordered_at", state.ordered_at},
                     {"tries", state.tries}};
  for (const Member& member : plan_.members) order.push_back(member.name);
  return json({{"version", kVersion},
               {"change", plan_.change},
               {"order", std::move(order)},
               {"stages", plan_.stages},
               {"look_ms", plan_.look_ms},
               {"began", began_},
               {"bake_ms", plan_.bake_ms},
               {"patience_ms", plan_.patience_ms},
               {"step_ms", plan_.step_ms},
               {"tries", plan_.tries},
               {"phase", static_cast<int>(phase_)},
               {"stage", stage_},
               {"numbers", numbers_},
               {"since", since_},
               {"paused", paused_},
               {"reason", reason_},
               {"members", std::move(members)}})
      .dump(1);
}

Rollout Rollout::from(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("no state of a change");
  try {
    if (object.at("version") != kVersion)
      throw std::invalid_argument("a state of version " + object.at("version").dump() + "; this one reads " +
                                  std::to_string(kVersion));
    const auto within = [](const json& value, int least, int most) {
      const int number = value.get<int>();
      if (number < least || number > most) throw std::invalid_argument("a state that cannot be right");
      return number;
    };
    Rollout read;
    Plan& plan = read.plan_;
    plan.change = object.at("change");
    object.at("stages").get_to(plan.stages);
    plan.look_ms = object.at("look_ms");
    read.began_ = object.at("began");
    plan.bake_ms = object.at("bake_ms");
    plan.patience_ms = object.at("patience_ms");
    plan.step_ms = object.at("step_ms");
    plan.tries = object.at("tries");
    for (const json& name : object.at("order")) {
      const json& one = object.at("members").at(name.get<std::string>());
      State state;
      state.zone = one.at("zone");
      state.place = static_cast<Place>(within(one.at("place"), 0, static_cast<int>(Place::left)));
      state.alive = one.at("alive");
      const int order = within(one.at("order"), -1, static_cast<int>(Order::Kind::keep_out));
      if (order >= 0) state.order = static_cast<Order::Kind>(order);
      state.number = one.at("number");
      state.ordered_at = one.at("ordered_at");
      state.tries = one.at("tries");
      plan.members.push_back({name, state.zone});
      read.members_[name] = state;
    }
    if (const std::string wrong = wrong_with(plan); !wrong.empty()) throw std::invalid_argument(wrong);
    read.phase_ = static_cast<Phase>(within(object.at("phase"), 0, static_cast<int>(Phase::back)));
    read.stage_ = within(object.at("stage"), 0, static_cast<int>(plan.stages.size()) - 1);
    read.numbers_ = object.at("numbers");
    read.since_ = object.at("since");
    read.paused_ = object.at("paused");
    read.reason_ = object.at("reason");
    return read;
  } catch (const json::exception& wrong) {
    throw std::invalid_argument(wrong.what());
  }
}

}  // namespace woadtide::rollout
