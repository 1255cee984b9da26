#include "lab/cluster/scenario.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <functional>
#include <sstream>
#include <stdexcept>

#include "lab/cluster/schedule.hpp"

namespace woadtide::lab::cluster {

namespace {

[[noreturn]] void wrong(const std::string& path, const toml::node& where, const std::string& what) {
  throw std::runtime_error(path + ':' + std::to_string(where.source().begin.line) + ": " + what);
}

double number(const std::string& path, const std::string& key, const toml::node& node, double least,
              double most) {
  const auto value = node.value<double>();
  if (value && *value >= least && *value <= most) return *value;
  std::ostringstream range;
  range << key << ": a number from " << least << " to " << most << " wanted";
  wrong(path, node, range.str());
}

}  // namespace

Scenario read_scenario(const std::string& path) {
  Scenario read;
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    throw std::runtime_error(path + ':' + std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description()));
  }
  struct Key {
    double least, most;
    std::function<void(double)> set;
  };
  const std::map<std::string, Key> keys = {
      {"dispatchers", {1, 16, [&](double v) { read.dispatchers = static_cast<int>(v); }}},
      {"workers", {1, 16, [&](double v) { read.workers = static_cast<int>(v); }}},
      {"seconds", {1, 3'600, [&](double v) { read.seconds = v; }}},
      {"rate", {1, 2'000, [&](double v) { read.rate = v; }}},
      {"payouts", {0, 1, [&](double v) { read.payouts = v; }}},
      {"budget_ms", {100, 60'000, [&](double v) { read.budget_ms = v; }}},
      {"grace_ms", {0, 5'000, [&](double v) { read.grace_ms = v; }}},
      {"most_s", {0.1, 60, [&](double v) { read.most_s = v; }}},
      {"zones", {1, 4, [&](double v) { read.zones = static_cast<int>(v); }}},
  };
  ChangePlan& change = read.change;
  const std::map<std::string, Key> of_change = {
      {"at_s", {0, 3'600, [&](double v) { change.at_s = v; }}},
      {"abort_s", {0, 3'600, [&](double v) { change.abort_s = v; }}},
      {"look_ms", {0, 600'000, [&](double v) { change.look_ms = v; }}},
      {"bake_ms", {0, 600'000, [&](double v) { change.bake_ms = v; }}},
      {"patience_ms", {0, 600'000, [&](double v) { change.patience_ms = v; }}},
      {"step_ms", {100, 600'000, [&](double v) { change.step_ms = v; }}},
      {"turn_ms", {50, 60'000, [&](double v) { change.turn_ms = v; }}},
      {"margin", {0.001, 0.5, [&](double v) { change.margin = v; }}},
      {"false_stop", {0.000001, 0.5, [&](double v) { change.false_stop = v; }}},
      {"false_go", {0.000001, 0.5, [&](double v) { change.false_go = v; }}},
  };
  for (const auto& [name, node] : file) {
    const std::string key(name.str());
    if (key == "change" && node.is_table()) {
      change.on = true;
      for (const auto& [part, value] : *node.as_table()) {
        const std::string word(part.str());
        const auto known = of_change.find(word);
        if (word == "flaw" && value.is_string())
          change.flaw = value.as_string()->get();
        else if (word == "stages" && value.is_array())
          for (const auto& stage : *value.as_array())
            change.stages.push_back(static_cast<int>(number(path, "change.stages", stage, 1, 1'000)));
        else if (known == of_change.end())
          wrong(path, value, "change." + word + ": no such key");
        else
          known->second.set(number(path, "change." + word, value, known->second.least, known->second.most));
      }
      continue;
    }
    if (key == "faults" && node.is_table()) {
      for (const auto& [kind, count] : *node.as_table()) {
        const std::string word(kind.str());
        if (!kind_of(word)) wrong(path, count, "faults." + word + ": no such fault");
        read.faults[word] = static_cast<int>(number(path, "faults." + word, count, 0, 1'000));
      }
      continue;
    }
    if (key == "steady" && node.is_boolean()) {
      read.steady = node.as_boolean()->get();
      continue;
    }
    const auto known = keys.find(key);
    if (known == keys.end()) wrong(path, node, key + ": no such key");
    known->second.set(number(path, key, node, known->second.least, known->second.most));
  }
  return read;
}

}  // namespace woadtide::lab::cluster
