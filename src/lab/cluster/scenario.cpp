#include "lab/cluster/scenario.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <functional>
#include <sstream>
#include <stdexcept>

#include "lab/cluster/schedule.hpp"

namespace woadtide::lab::cluster {

namespace {

[[noreturn]] void fail_at(const std::string& path, const toml::node& node, const std::string& message) {
  throw std::runtime_error(path + ':' + std::to_string(node.source().begin.line) + ": " + message);
}

double read_number(const std::string& path, const std::string& key, const toml::node& node, double min_value,
                   double max_value) {
  const auto value = node.value<double>();
  if (value && *value >= min_value && *value <= max_value) return *value;
  std::ostringstream range;
  range << key << ": expected a number from " << min_value << " to " << max_value << ", inclusive";
  fail_at(path, node, range.str());
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
    double min_value, max_value;
    std::function<void(double)> set;
  };
  const std::map<std::string, Key> scenario_keys = {
      {"dispatchers", {1, 16, [&](double value) { read.dispatchers = static_cast<int>(value); }}},
      {"workers", {1, 16, [&](double value) { read.workers = static_cast<int>(value); }}},
      {"seconds", {1, 3'600, [&](double value) { read.seconds = value; }}},
      {"rate", {1, 2'000, [&](double value) { read.rate = value; }}},
      {"payouts", {0, 1, [&](double value) { read.payouts = value; }}},
      {"budget_ms", {100, 60'000, [&](double value) { read.budget_ms = value; }}},
      {"grace_ms", {0, 5'000, [&](double value) { read.grace_ms = value; }}},
      {"most_s", {0.1, 60, [&](double value) { read.most_s = value; }}},
      {"zones", {1, 4, [&](double value) { read.zones = static_cast<int>(value); }}},
  };
  ChangeScenario& change = read.change;
  const std::map<std::string, Key> change_keys = {
      {"at_s", {0, 3'600, [&](double value) { change.at_s = value; }}},
      {"abort_s", {0, 3'600, [&](double value) { change.abort_s = value; }}},
      {"look_ms", {0, 600'000, [&](double value) { change.look_ms = value; }}},
      {"bake_ms", {0, 600'000, [&](double value) { change.bake_ms = value; }}},
      {"patience_ms", {0, 600'000, [&](double value) { change.patience_ms = value; }}},
      {"step_ms", {100, 600'000, [&](double value) { change.step_ms = value; }}},
      {"turn_ms", {50, 60'000, [&](double value) { change.turn_ms = value; }}},
      {"margin", {0.001, 0.5, [&](double value) { change.margin = value; }}},
      {"false_stop", {0.000001, 0.5, [&](double value) { change.false_stop = value; }}},
      {"false_go", {0.000001, 0.5, [&](double value) { change.false_go = value; }}},
  };
  for (const auto& [top_key, node] : file) {
    const std::string key(top_key.str());
    if (key == "change" && node.is_table()) {
      change.enabled = true;
      for (const auto& [key_node, value] : *node.as_table()) {
        const std::string name(key_node.str());
        const auto found = change_keys.find(name);
        if (name == "flaw" && value.is_string())
          change.flaw = value.as_string()->get();
        else if (name == "stages" && value.is_array())
          for (const auto& stage : *value.as_array())
            change.stages.push_back(static_cast<int>(read_number(path, "change.stages", stage, 1, 1'000)));
        else if (found == change_keys.end())
          fail_at(path, value, "change." + name + ": no such key");
        else
          found->second.set(
              read_number(path, "change." + name, value, found->second.min_value, found->second.max_value));
      }
      continue;
    }
    if (key == "faults" && node.is_table()) {
      for (const auto& [kind, count] : *node.as_table()) {
        const std::string name(kind.str());
        if (!fault_kind_from_name(name)) fail_at(path, count, "faults." + name + ": no such fault");
        read.faults[name] = static_cast<int>(read_number(path, "faults." + name, count, 0, 1'000));
      }
      continue;
    }
    if (key == "steady" && node.is_boolean()) {
      read.steady = node.as_boolean()->get();
      continue;
    }
    const auto found = scenario_keys.find(key);
    if (found == scenario_keys.end()) fail_at(path, node, key + ": no such key");
    found->second.set(read_number(path, key, node, found->second.min_value, found->second.max_value));
  }
  return read;
}

}  // namespace woadtide::lab::cluster
