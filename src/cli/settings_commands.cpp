#include "cli/settings_commands.hpp"

#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/command_line.hpp"

namespace woadtide::cli {

namespace {

using nlohmann::json;

// Returns all keys with their values, including defaults.
std::map<std::string, json> flatten(const config::OperatorFile& file) {
  std::map<std::string, json> keys;
  const auto& jobs = file.jobs;
  keys = {{"format", file.format},
          {"jobs.enabled", jobs.enabled},
          {"jobs.listen", jobs.listen},
          {"jobs.operators", jobs.operators},
          {"jobs.folder", jobs.folder},
          {"jobs.most_mb", jobs.most_mb},
          {"jobs.most_open", jobs.most_open},
          {"jobs.links", jobs.links},
          {"jobs.lease_ms", jobs.lease_ms},
          {"jobs.ask_every_ms", jobs.ask_every_ms},
          {"jobs.early_ms", jobs.early_ms},
          {"jobs.keep_hours", jobs.keep_hours},
          {"jobs.answering_kinds", jobs.answering_kinds},
          {"log.format", file.log.json ? "json" : "text"},
          {"log.queue", file.log.queue},
          {"supervise.folder", file.supervise.folder},
          {"supervise.config", file.supervise.config},
          {"supervise.control", file.supervise.control},
          {"supervise.zone", file.supervise.zone},
          {"supervise.management", file.supervise.management},
          {"supervise.program", file.supervise.program},
          {"supervise.settings", file.supervise.settings},
          {"supervise.ready_ms", file.supervise.ready_ms},
          {"supervise.end_ms", file.supervise.end_ms},
          {"supervise.good_ms", file.supervise.good_ms},
          {"supervise.crashes", file.supervise.crashes},
          {"supervise.backoff_ms", file.supervise.backoff_ms},
          {"supervise.most_backoff_ms", file.supervise.most_backoff_ms},
          {"rollout.folder", file.rollout.folder},
          {"rollout.stages", file.rollout.stages},
          {"rollout.turn_ms", file.rollout.turn_ms},
          {"rollout.look_ms", file.rollout.look_ms},
          {"rollout.bake_ms", file.rollout.bake_ms},
          {"rollout.patience_ms", file.rollout.patience_ms},
          {"rollout.step_ms", file.rollout.step_ms},
          {"rollout.tries", file.rollout.tries},
          {"rollout.margin", file.rollout.margin},
          {"rollout.false_stop", file.rollout.false_stop},
          {"rollout.false_go", file.rollout.false_go}};
  json members = json::array();
  for (const auto& member : file.rollout.members)
    members.push_back({{"name", member.name}, {"zone", member.zone}, {"control", member.control}});
  keys["rollout.members"] = std::move(members);
  return keys;
}

}  // namespace

std::vector<SettingChange> changed_settings(const config::OperatorFile& from,
                                            const config::OperatorFile& to) {
  std::vector<SettingChange> changed;
  const auto old_values = flatten(from), new_values = flatten(to);
  for (const auto& [key, value] : old_values)
    if (value != new_values.at(key)) changed.push_back({key, value.dump(), new_values.at(key).dump()});
  return changed;
}

bool applies_on_reload(const std::string& key) { return key == "log.format"; }

int settings_command(const std::vector<std::string>& words) {
  ArgumentParser arguments;
  std::string path, against;
  bool as_json = false;
  if (const char* value = std::getenv("WOADTIDE_OPERATOR")) path = value;
  arguments.options.add_options()("operator,o", boost::program_options::value(&path),
                                  "the operator's file, TOML; $WOADTIDE_OPERATOR")(
      "against", boost::program_options::value(&against), "diff: the other file")(
      "json", boost::program_options::bool_switch(&as_json), "one JSON object");
  if (!arguments.parse(words, "settings show | diff --against FILE | check [options]",
                       "Shows, compares or checks the settings in the operator's file.", 1))
    return 0;
  const std::string command = arguments.positional.empty() ? "" : arguments.positional.front();
  if (command != "show" && command != "diff" && command != "check")
    throw std::runtime_error("settings: expected show, diff or check");
  if (path.empty()) throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
  const config::OperatorFile file = config::load_operator_file(path);
  if (command == "check") {
    std::cout << path << ": good\n";
    return 0;
  }
  json output = json::object();
  if (command == "show") {
    for (const auto& [key, value] : flatten(file)) {
      output[key] = value;
      if (!as_json) std::cout << key << " = " << value.dump() << '\n';
    }
  } else {
    if (against.empty()) throw std::runtime_error("settings diff needs --against FILE");
    for (const SettingChange& change : changed_settings(file, config::load_operator_file(against))) {
      const char* takes_hold = applies_on_reload(change.key) ? "on SIGHUP" : "by the next process";
      output[change.key] = {
          {"from", json::parse(change.from)}, {"to", json::parse(change.to)}, {"takes_hold", takes_hold}};
      if (!as_json)
        std::cout << change.key << ": " << change.from << " -> " << change.to << " (" << takes_hold << ")\n";
    }
  }
  if (as_json) std::cout << output.dump(1) << '\n';
  return 0;
}

}  // namespace woadtide::cli
