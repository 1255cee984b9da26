#include "supervise/supervise.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace woadtide::supervise {

using nlohmann::json;

namespace {

constexpr int kFormat = 1;
constexpr std::array<const char*, 4> kOrders = {"check", "move", "go_back", "keep_out"};

json as_json(const Version& version) {
  return {
      {"id", version.id}, {"program", version.program}, {"settings", version.settings}, {"kin", version.kin}};
}
Version version_in(const json& object) {
  return {object.at("id"), object.at("program"), object.at("settings"), object.at("kin")};
}

}  // namespace

const char* word_of(Order::Kind kind) { return kOrders[static_cast<std::size_t>(kind)]; }

std::optional<Order::Kind> order_kind_of(const std::string& word) {
  const auto found = std::find(kOrders.begin(), kOrders.end(), word);
  if (found == kOrders.end()) return std::nullopt;
  return static_cast<Order::Kind>(found - kOrders.begin());
}

Core::Core(Version first, Limits limits) : limits_(limits), wanted_(first), good_(std::move(first)) {}

// What runs, and what is to run ------------------------------------------------------------------------

int Core::lead() const {
  int lead = -1;
  for (int slot = 0; slot < kSlots; ++slot)
    if (child(slot).stands == Stands::serving && (lead < 0 || child(slot).turn > child(lead).turn))
      lead = slot;
  return lead;
}

int Core::free_slot() const {
  for (int slot = 0; slot < kSlots; ++slot)
    if (child(slot).stands == Stands::none) return slot;
  return -1;
}

void Core::start(double now, int slot, Effects& effects) {
  children_[static_cast<std::size_t>(slot)] = {Stands::starting, wanted_, now, false, ++turns_};
  effects.push_back({Effect::Kind::start, slot, wanted_});
}

void Core::ask_to_end(double now, int slot, Effects& effects) {
  Child& child = children_[static_cast<std::size_t>(slot)];
  if (child.stands == Stands::leaving) return;
  child.stands = Stands::leaving;
  child.since = now;
  effects.push_back({Effect::Kind::term, slot});
}

// One step, from whatever stands now, towards one child of the wanted version: it never goes over two
// children, and takes the one that serves away only for one that serves, or where none can be started beside
// it.
Effects Core::steer(double now) {
  Effects effects;
  const int lead = this->lead();
  bool starting = false, leaving = false;
  for (int slot = 0; slot < kSlots; ++slot) {
    Child& child = children_[static_cast<std::size_t>(slot)];
    if (ending_ && child.stands != Stands::none) ask_to_end(now, slot, effects);
    if (child.stands == Stands::starting && !(child.version == wanted_) && !child.killed) {
      child.killed = true;  // it has taken no clients
      effects.push_back({Effect::Kind::kill, slot});
    }
    if (child.stands == Stands::serving && slot != lead) ask_to_end(now, slot, effects);
    starting = starting || child.stands == Stands::starting;
    leaving = leaving || child.stands == Stands::leaving;
  }
  if (ending_ || starting) return effects;
  if (lead >= 0 && child(lead).version == wanted_) return effects;
  if (lead >= 0 && !has_socket_) {
    ask_to_end(now, lead, effects);
    return effects;
  }
  if (lead < 0 && leaving && !has_socket_) return effects;  // it holds the address until it has ended
  const int slot = free_slot();
  if (slot >= 0 && now >= not_before_) start(now, slot, effects);
  return effects;
}

Effects Core::tick(double now) {
  Effects effects;
  for (int slot = 0; slot < kSlots; ++slot) {
    Child& child = children_[static_cast<std::size_t>(slot)];
    const bool late = (child.stands == Stands::starting && now >= child.since + limits_.ready_ms) ||
                      (child.stands == Stands::leaving && now >= child.since + limits_.end_ms);
    if (!late || child.killed) continue;
    child.killed = true;
    effects.push_back({Effect::Kind::kill, slot});
  }
  const int lead = this->lead();
  if (lead >= 0 && now >= child(lead).since + limits_.good_ms) {
    crashes_ = 0;
    if (child(lead).version == wanted_) good_ = wanted_;
  }
  const Effects more = steer(now);
  effects.insert(effects.end(), more.begin(), more.end());
  return effects;
}

Effects Core::serves(double now, int slot) {
  Child& child = children_.at(static_cast<std::size_t>(slot));
  if (child.stands != Stands::starting || child.killed) return {};
  child.stands = Stands::serving;
  child.since = now;
  if (progress_ == Progress::working && doing_ != Order::Kind::check && child.version == wanted_)
    progress_ = Progress::done;
  return steer(now);
}

Effects Core::ended(double now, int slot) {
  Child& child = children_.at(static_cast<std::size_t>(slot));
  const Child was = child;
  child = {};
  if (was.stands == Stands::starting && was.version == wanted_) {
    const bool alone = lead() < 0;
    failed(now, was.killed ? "it did not get ready in time" : "it ended before it served");
    if (alone) crashed(now);
  } else if (was.stands == Stands::serving) {
    all_crashes_ += 1;
    if (lead() < 0) crashed(now);
  }
  return steer(now);
}

// Of the one that took the clients, or was to: the next start waits, and one that never proved good is left.
void Core::crashed(double now) {
  not_before_ =
      now + std::min(limits_.most_backoff_ms, limits_.backoff_ms * std::pow(2.0, std::min(crashes_, 20)));
  crashes_ += 1;
  if (crashes_ < limits_.crashes || wanted_ == good_) return;
  fell_back_ = "it ended " + std::to_string(crashes_) + " times before it had served for " +
               std::to_string(static_cast<int>(limits_.good_ms)) + " ms";
  wanted_ = good_;
  crashes_ = 0;
}

// A change whose child does not come up is over; who serves goes on, and where nobody does the last good one.
void Core::failed(double now, const std::string& why) {
  if (progress_ != Progress::working || doing_ == Order::Kind::check) return;
  progress_ = Progress::failed;
  why_ = why;
  const int lead = this->lead();
  wanted_ = lead >= 0 ? child(lead).version : good_;
  if (lead < 0) not_before_ = now;
}

// Orders -----------------------------------------------------------------------------------------------

std::string Core::ordered(double now, const Order& order, Effects& effects) {
  if (ending_) return "this supervisor is ending";
  if (!controller_.empty() && order.controller != controller_ && !order.take_over)
    return "controller " + controller_ + " leads here; --take-over ends that";
  if (order.number < newest_ || (order.number == newest_ && order.controller != controller_))
    return "order " + std::to_string(order.number) + " is older than " + std::to_string(newest_);
  if (order.number == newest_) return {};  // said again
  if (order.kind != Order::Kind::check && (order.change != change_ || !candidate_))
    return "change " + order.change + " was not checked here";
  newest_ = order.number;
  controller_ = order.controller;
  doing_ = order.kind;
  progress_ = Progress::working;
  why_.clear();
  switch (order.kind) {
    case Order::Kind::check:
      change_ = order.change;
      candidate_.reset();
      before_ = wanted_;
      fell_back_.clear();
      effects.push_back({Effect::Kind::examine, 0, {}, order.number, order.program, order.settings});
      return {};
    case Order::Kind::move:
    case Order::Kind::go_back: {
      wanted_ = order.kind == Order::Kind::move ? *candidate_ : *before_;
      if (order.kind == Order::Kind::move) fell_back_.clear();
      crashes_ = 0;
      not_before_ = now;
      const int lead = this->lead();
      if (lead >= 0 && child(lead).version == wanted_) progress_ = Progress::done;
      break;
    }
    case Order::Kind::keep_out:
      evacuated_ = true;
      progress_ = Progress::done;
      break;
  }
  const Effects more = steer(now);
  effects.insert(effects.end(), more.begin(), more.end());
  return {};
}

Effects Core::examined(double now, std::uint64_t number, const Version& version, const std::string& why) {
  if (number != newest_ || doing_ != Order::Kind::check || progress_ != Progress::working) return {};
  progress_ = why.empty() ? Progress::done : Progress::failed;
  why_ = why;
  if (why.empty()) candidate_ = version;
  return steer(now);
}

void Core::exclude(const std::string& worker, bool out) {
  if (out)
    excluded_.insert(worker);
  else
    excluded_.erase(worker);
}

// Begin and end ----------------------------------------------------------------------------------------

Effects Core::end(double now) {
  ending_ = true;
  return steer(now);
}

bool Core::over() const {
  return ending_ && std::all_of(children_.begin(), children_.end(),
                                [](const Child& child) { return child.stands == Stands::none; });
}

void Core::adopt(double now, int slot, const Version& version) {
  children_.at(static_cast<std::size_t>(slot)) = {Stands::starting, version, now, false, ++turns_};
}

std::string Core::text() const {
  const auto maybe = [](const std::optional<Version>& version) {
    return version ? as_json(*version) : json(nullptr);
  };
  return json({{"format", kFormat},
               {"wanted", as_json(wanted_)},
               {"good", as_json(good_)},
               {"candidate", maybe(candidate_)},
               {"before", maybe(before_)},
               {"controller", controller_},
               {"change", change_},
               {"newest", newest_},
               {"doing", word_of(doing_)},
               {"progress", static_cast<int>(progress_)},
               {"why", why_},
               {"fell_back", fell_back_},
               {"excluded", excluded_},
               {"evacuated", evacuated_},
               {"crashes", all_crashes_}})
      .dump(1);
}

Core Core::from(const std::string& text, Limits limits) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("no state of a supervisor");
  try {
    if (object.at("format") != kFormat)
      throw std::invalid_argument("a supervisor's state of format " + object.at("format").dump() +
                                  "; this one reads " + std::to_string(kFormat));
    const auto maybe = [&](const char* key) {
      return object.at(key).is_null() ? std::nullopt : std::optional(version_in(object.at(key)));
    };
    Core read;
    read.limits_ = limits;
    read.wanted_ = version_in(object.at("wanted"));
    read.good_ = version_in(object.at("good"));
    read.candidate_ = maybe("candidate");
    read.before_ = maybe("before");
    read.controller_ = object.at("controller");
    read.change_ = object.at("change");
    read.newest_ = object.at("newest");
    const auto doing = order_kind_of(object.at("doing"));
    const int progress = object.at("progress");
    if (!doing || progress < 0 || progress > static_cast<int>(Progress::failed))
      throw std::invalid_argument("a supervisor's state that cannot be right");
    read.doing_ = *doing;
    read.progress_ = static_cast<Progress>(progress);
    read.why_ = object.at("why");
    read.fell_back_ = object.at("fell_back");
    object.at("excluded").get_to(read.excluded_);
    read.evacuated_ = object.at("evacuated");
    read.all_crashes_ = object.at("crashes");
    // What was being looked at when the former life ended is not looked at any more: asked again, it is.
    if (read.progress_ == Progress::working && read.doing_ == Order::Kind::check) {
      read.progress_ = Progress::failed;
      read.why_ = "the supervisor was started again meanwhile";
    }
    return read;
  } catch (const json::exception& wrong) {
    throw std::invalid_argument(wrong.what());
  }
}

}  // namespace woadtide::supervise
