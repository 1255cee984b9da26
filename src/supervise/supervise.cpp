#include "supervise/supervise.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace woadtide::supervise {

using nlohmann::json;

namespace {

constexpr int kStateFormat = 1;
constexpr std::array<const char*, 4> kOrderNames = {"check", "move", "go_back", "keep_out"};

json version_to_json(const Version& version) {
  return {{"id", version.id},
          {"program", version.program},
          {"settings", version.settings},
          {"kin", version.protocol_version}};
}
Version version_from_json(const json& object) {
  return {object.at("id"), object.at("program"), object.at("settings"), object.at("kin")};
}

}  // namespace

const char* name_of(Order::Kind kind) { return kOrderNames[static_cast<std::size_t>(kind)]; }

std::optional<Order::Kind> order_kind_from(const std::string& name) {
  const auto found = std::find(kOrderNames.begin(), kOrderNames.end(), name);
  if (found == kOrderNames.end()) return std::nullopt;
  return static_cast<Order::Kind>(found - kOrderNames.begin());
}

SupervisorCore::SupervisorCore(Version first, Limits limits)
    : limits_(limits), desired_(first), last_good_(std::move(first)) {}

// Children ------------------------------------------------------------------------------------------------

int SupervisorCore::active_slot() const {
  int active = -1;
  for (int slot = 0; slot < kSlots; ++slot)
    if (child(slot).state == ChildState::serving &&
        (active < 0 || child(slot).start_number > child(active).start_number))
      active = slot;
  return active;
}

int SupervisorCore::free_slot() const {
  for (int slot = 0; slot < kSlots; ++slot)
    if (child(slot).state == ChildState::none) return slot;
  return -1;
}

void SupervisorCore::start(double now, int slot, Effects& effects) {
  children_[static_cast<std::size_t>(slot)] = {ChildState::starting, desired_, now, false, ++starts_};
  effects.push_back({Effect::Kind::start, slot, desired_});
}

void SupervisorCore::request_stop(double now, int slot, Effects& effects) {
  Child& child = children_[static_cast<std::size_t>(slot)];
  if (child.state == ChildState::stopping) return;
  child.state = ChildState::stopping;
  child.state_since = now;
  effects.push_back({Effect::Kind::term, slot});
}

// Takes one step from the current state towards a single child of the desired version. There are never more
// than two children, and the active child is stopped only if another one serves or if none can be started
// beside it.
Effects SupervisorCore::converge(double now) {
  Effects effects;
  const int active = this->active_slot();
  bool starting = false, stopping = false;
  for (int slot = 0; slot < kSlots; ++slot) {
    Child& child = children_[static_cast<std::size_t>(slot)];
    if (shutting_down_ && child.state != ChildState::none) request_stop(now, slot, effects);
    if (child.state == ChildState::starting && !(child.version == desired_) && !child.killed) {
      child.killed = true;  // safe, because it has not taken any clients
      effects.push_back({Effect::Kind::kill, slot});
    }
    if (child.state == ChildState::serving && slot != active) request_stop(now, slot, effects);
    starting = starting || child.state == ChildState::starting;
    stopping = stopping || child.state == ChildState::stopping;
  }
  if (shutting_down_ || starting) return effects;
  if (active >= 0 && child(active).version == desired_) return effects;
  if (active >= 0 && !has_socket_) {
    request_stop(now, active, effects);
    return effects;
  }
  if (active < 0 && stopping && !has_socket_) return effects;  // it holds the address until it has ended
  const int slot = free_slot();
  if (slot >= 0 && now >= earliest_start_at_) start(now, slot, effects);
  return effects;
}

Effects SupervisorCore::tick(double now) {
  Effects effects;
  for (int slot = 0; slot < kSlots; ++slot) {
    Child& child = children_[static_cast<std::size_t>(slot)];
    const bool timed_out =
        (child.state == ChildState::starting && now >= child.state_since + limits_.ready_timeout_ms) ||
        (child.state == ChildState::stopping && now >= child.state_since + limits_.stop_timeout_ms);
    if (!timed_out || child.killed) continue;
    child.killed = true;
    effects.push_back({Effect::Kind::kill, slot});
  }
  const int active = this->active_slot();
  if (active >= 0 && now >= child(active).state_since + limits_.good_after_ms) {
    consecutive_crashes_ = 0;
    if (child(active).version == desired_) last_good_ = desired_;
  }
  const Effects more = converge(now);
  effects.insert(effects.end(), more.begin(), more.end());
  return effects;
}

Effects SupervisorCore::on_ready(double now, int slot) {
  Child& child = children_.at(static_cast<std::size_t>(slot));
  if (child.state != ChildState::starting || child.killed) return {};
  child.state = ChildState::serving;
  child.state_since = now;
  if (progress_ == Progress::working && order_kind_ != Order::Kind::check && child.version == desired_)
    progress_ = Progress::done;
  return converge(now);
}

Effects SupervisorCore::on_exit(double now, int slot) {
  Child& child = children_.at(static_cast<std::size_t>(slot));
  const Child ended = child;
  child = {};
  if (ended.state == ChildState::starting && ended.version == desired_) {
    const bool none_serving = active_slot() < 0;
    fail_change(now, ended.killed ? "it did not get ready in time" : "it ended before it served");
    if (none_serving) handle_crash(now);
  } else if (ended.state == ChildState::serving) {
    total_crashes_ += 1;
    if (active_slot() < 0) handle_crash(now);
  }
  return converge(now);
}

// Handles the crash of the child that took the clients or was about to: the next start is delayed, and a
// version that never became good is replaced by the last good one.
void SupervisorCore::handle_crash(double now) {
  earliest_start_at_ =
      now + std::min(limits_.max_backoff_ms,
                     limits_.first_backoff_ms * std::pow(2.0, std::min(consecutive_crashes_, 20)));
  consecutive_crashes_ += 1;
  if (consecutive_crashes_ < limits_.max_crashes || desired_ == last_good_) return;
  fallback_reason_ = "it ended " + std::to_string(consecutive_crashes_) + " times before it had served for " +
                     std::to_string(static_cast<int>(limits_.good_after_ms)) + " ms";
  desired_ = last_good_;
  consecutive_crashes_ = 0;
}

// Ends a change whose child does not come up: the active child continues, or if there is none the last good
// version is started.
void SupervisorCore::fail_change(double now, const std::string& why) {
  if (progress_ != Progress::working || order_kind_ == Order::Kind::check) return;
  progress_ = Progress::failed;
  failure_reason_ = why;
  const int active = this->active_slot();
  desired_ = active >= 0 ? child(active).version : last_good_;
  if (active < 0) earliest_start_at_ = now;
}

// Orders --------------------------------------------------------------------------------------------------

std::string SupervisorCore::handle_order(double now, const Order& order, Effects& effects) {
  if (shutting_down_) return "this supervisor is ending";
  if (!controller_.empty() && order.controller != controller_ && !order.take_over)
    return "controller " + controller_ + " leads here; --take-over ends that";
  if (order.number < last_order_number_ ||
      (order.number == last_order_number_ && order.controller != controller_))
    return "order " + std::to_string(order.number) + " is older than " + std::to_string(last_order_number_);
  if (order.number == last_order_number_) return {};  // a repeated order
  if (order.kind != Order::Kind::check && (order.change != change_ || !candidate_))
    return "change " + order.change + " was not checked here";
  last_order_number_ = order.number;
  controller_ = order.controller;
  order_kind_ = order.kind;
  progress_ = Progress::working;
  failure_reason_.clear();
  switch (order.kind) {
    case Order::Kind::check:
      change_ = order.change;
      candidate_.reset();
      previous_ = desired_;
      fallback_reason_.clear();
      effects.push_back({Effect::Kind::examine, 0, {}, order.number, order.program, order.settings});
      return {};
    case Order::Kind::move:
    case Order::Kind::go_back: {
      desired_ = order.kind == Order::Kind::move ? *candidate_ : *previous_;
      if (order.kind == Order::Kind::move) fallback_reason_.clear();
      consecutive_crashes_ = 0;
      earliest_start_at_ = now;
      const int active = this->active_slot();
      if (active >= 0 && child(active).version == desired_) progress_ = Progress::done;
      break;
    }
    case Order::Kind::keep_out:
      evacuated_ = true;
      progress_ = Progress::done;
      break;
  }
  const Effects more = converge(now);
  effects.insert(effects.end(), more.begin(), more.end());
  return {};
}

Effects SupervisorCore::on_examined(double now, std::uint64_t number, const Version& version,
                                    const std::string& failure) {
  if (number != last_order_number_ || order_kind_ != Order::Kind::check || progress_ != Progress::working)
    return {};
  progress_ = failure.empty() ? Progress::done : Progress::failed;
  failure_reason_ = failure;
  if (failure.empty()) candidate_ = version;
  return converge(now);
}

void SupervisorCore::set_excluded(const std::string& worker, bool out) {
  if (out)
    excluded_workers_.insert(worker);
  else
    excluded_workers_.erase(worker);
}

// Start and shutdown --------------------------------------------------------------------------------------

Effects SupervisorCore::begin_shutdown(double now) {
  shutting_down_ = true;
  return converge(now);
}

bool SupervisorCore::shutdown_complete() const {
  return shutting_down_ && std::all_of(children_.begin(), children_.end(),
                                       [](const Child& child) { return child.state == ChildState::none; });
}

void SupervisorCore::adopt(double now, int slot, const Version& version) {
  children_.at(static_cast<std::size_t>(slot)) = {ChildState::starting, version, now, false, ++starts_};
}

std::string SupervisorCore::serialize() const {
  const auto optional_version = [](const std::optional<Version>& version) {
    return version ? version_to_json(*version) : json(nullptr);
  };
  return json({{"format", kStateFormat},
               {"wanted", version_to_json(desired_)},
               {"good", version_to_json(last_good_)},
               {"candidate", optional_version(candidate_)},
               {"before", optional_version(previous_)},
               {"controller", controller_},
               {"change", change_},
               {"newest", last_order_number_},
               {"doing", name_of(order_kind_)},
               {"progress", static_cast<int>(progress_)},
               {"why", failure_reason_},
               {"fell_back", fallback_reason_},
               {"excluded", excluded_workers_},
               {"evacuated", evacuated_},
               {"crashes", total_crashes_}})
      .dump(1);
}

SupervisorCore SupervisorCore::parse(const std::string& text, Limits limits) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("no state of a supervisor");
  try {
    if (object.at("format") != kStateFormat)
      throw std::invalid_argument("a supervisor's state of format " + object.at("format").dump() +
                                  "; this one reads " + std::to_string(kStateFormat));
    const auto optional_version = [&](const char* key) {
      return object.at(key).is_null() ? std::nullopt : std::optional(version_from_json(object.at(key)));
    };
    SupervisorCore restored;
    restored.limits_ = limits;
    restored.desired_ = version_from_json(object.at("wanted"));
    restored.last_good_ = version_from_json(object.at("good"));
    restored.candidate_ = optional_version("candidate");
    restored.previous_ = optional_version("before");
    restored.controller_ = object.at("controller");
    restored.change_ = object.at("change");
    restored.last_order_number_ = object.at("newest");
    const auto order_kind = order_kind_from(object.at("doing"));
    const int progress = object.at("progress");
    if (!order_kind || progress < 0 || progress > static_cast<int>(Progress::failed))
      throw std::invalid_argument("a supervisor's state that cannot be right");
    restored.order_kind_ = *order_kind;
    restored.progress_ = static_cast<Progress>(progress);
    restored.failure_reason_ = object.at("why");
    restored.fallback_reason_ = object.at("fell_back");
    object.at("excluded").get_to(restored.excluded_workers_);
    restored.evacuated_ = object.at("evacuated");
    restored.total_crashes_ = object.at("crashes");
    // An examination that was interrupted by the end of the previous supervisor is not continued; a new
    // order starts another.
    if (restored.progress_ == Progress::working && restored.order_kind_ == Order::Kind::check) {
      restored.progress_ = Progress::failed;
      restored.failure_reason_ = "the supervisor was started again meanwhile";
    }
    return restored;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

}  // namespace woadtide::supervise
