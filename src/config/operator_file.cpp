#include "config/operator_file.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace woadtide::config {

namespace {

// Keys, types and ranges. The units are in the names; deploy/woadtide.toml explains each.
constexpr const char* kSchema = R"({
  "type": "object", "additionalProperties": false,
  "properties": {
    "format": {"type": "integer", "minimum": 1},
    "jobs": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "enabled": {"type": "boolean"},
        "listen": {"type": "string", "pattern": "^[^ ]+:[0-9]+$"},
        "operators": {"type": "string", "pattern": "^([^ ]+:[0-9]+)?$"},
        "folder": {"type": "string", "minLength": 1},
        "most_mb": {"type": "integer", "minimum": 8, "maximum": 1000000},
        "most_open": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "links": {"type": "integer", "minimum": 1, "maximum": 512},
        "lease_ms": {"type": "integer", "minimum": 50, "maximum": 3600000},
        "early_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
        "ask_every_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "keep_hours": {"type": "integer", "minimum": 0, "maximum": 100000},
        "answering_kinds": {"type": "array", "items": {"type": "string"}}
      }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "format": {"type": "string", "enum": ["text", "json"]},
        "queue": {"type": "integer", "minimum": 16, "maximum": 1000000}
      }
    },
    "supervise": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "folder": {"type": "string", "minLength": 1},
        "config": {"type": "string", "minLength": 1},
        "control": {"type": "string", "pattern": "^[^ ]+:[0-9]+$"},
        "zone": {"type": "string"},
        "management": {"type": "array", "minItems": 2, "maxItems": 2,
          "items": {"type": "string", "pattern": "^[^ ]+:[0-9]+$"}},
        "program": {"type": "string"},
        "settings": {"type": "string"},
        "ready_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
        "end_ms": {"type": "integer", "minimum": 4000, "maximum": 600000},
        "good_ms": {"type": "integer", "minimum": 100, "maximum": 3600000},
        "crashes": {"type": "integer", "minimum": 1, "maximum": 1000},
        "backoff_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "most_backoff_ms": {"type": "integer", "minimum": 1, "maximum": 600000}
      }
    },
    "rollout": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "folder": {"type": "string", "minLength": 1},
        "members": {"type": "array", "maxItems": 1000, "items": {
          "type": "object", "additionalProperties": false, "required": ["name", "control"],
          "properties": {
            "name": {"type": "string", "minLength": 1},
            "zone": {"type": "string"},
            "control": {"type": "string", "pattern": "^[^ ]+:[0-9]+$"}
          }}},
        "stages": {"type": "array", "items": {"type": "integer", "minimum": 1, "maximum": 1000}},
        "turn_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
        "look_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
        "bake_ms": {"type": "integer", "minimum": 0, "maximum": 86400000},
        "patience_ms": {"type": "integer", "minimum": 0, "maximum": 86400000},
        "step_ms": {"type": "integer", "minimum": 100, "maximum": 3600000},
        "tries": {"type": "integer", "minimum": 1, "maximum": 100},
        "margin": {"type": "number", "minimum": 0.001, "maximum": 0.5},
        "false_stop": {"type": "number", "minimum": 0.000001, "maximum": 0.5},
        "false_go": {"type": "number", "minimum": 0.000001, "maximum": 0.5}
      }
    }
  }
})";

nlohmann::json as_json(const toml::node& node) {
  if (const auto* table = node.as_table()) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : *table) object[std::string(key.str())] = as_json(value);
    return object;
  }
  if (const auto* array = node.as_array()) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& value : *array) list.push_back(as_json(value));
    return list;
  }
  if (const auto* text = node.as_string()) return text->get();
  if (const auto* number = node.as_integer()) return number->get();
  if (const auto* number = node.as_floating_point()) return number->get();
  if (const auto* flag = node.as_boolean()) return flag->get();
  std::ostringstream text;  // dates and times: a text is what the schema can name
  text << toml::node_view<const toml::node>(&node);
  return text.str();
}

// The place of the key that `path` names, with its line. A key that should not be there has its own line.
std::string place_of(const toml::table& whole, const std::vector<std::string>& path, std::string& name) {
  const toml::node* node = &whole;
  for (const std::string& part : path) {
    const toml::node* next = nullptr;
    if (const auto* table = node->as_table()) next = table->get(part);
    if (const auto* array = node->as_array())
      next = array->get(static_cast<std::size_t>(std::atoi(part.c_str())));
    if (!next) break;
    name += (name.empty() ? "" : ".") + part;
    node = next;
  }
  return std::to_string(node->source().begin.line);
}

std::string first_wrong(const toml::table& whole, const nlohmann::json& object) {
  const nlohmann::json schema_text = nlohmann::json::parse(kSchema);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_text), schema);
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(object), &results)) return {};
  // The deepest error is the cause, those above it follow from it.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error))
    if (error.context.size() >= deepest.context.size()) deepest = error;
  std::vector<std::string> path;
  for (const std::string& part : deepest.context) {
    if (part == "<root>") continue;
    path.push_back(part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
  }
  // valijson names a key that is not known in its text alone.
  std::string unknown;
  if (const auto at = deepest.description.find("additional property '"); at != std::string::npos) {
    unknown = deepest.description.substr(at + 21);
    unknown = unknown.substr(0, unknown.find('\''));
  } else if (const auto quote = deepest.description.rfind('\'');
             deepest.description.find("propert") != std::string::npos && quote != std::string::npos) {
    const auto open = deepest.description.rfind('\'', quote - 1);
    if (open != std::string::npos) unknown = deepest.description.substr(open + 1, quote - open - 1);
  }
  if (!unknown.empty()) path.push_back(unknown);
  std::string name;
  const std::string line = place_of(whole, path, name);
  return line + ": " + (name.empty() ? "the file" : name) + ": " +
         (unknown.empty() ? deepest.description : std::string("no such key"));
}

template <typename Value>
void take(const toml::table& part, const char* key, Value& value) {
  if (const auto found = part[key].value<Value>()) value = *found;
}

// The keys that a newer file has and this program does not know, taken out.
void pass_over(const nlohmann::json& schema, toml::table& part, const std::string& at,
               std::vector<std::string>& passed) {
  const auto& known = schema.at("properties");
  std::vector<std::string> unknown;
  for (auto& [key, value] : part) {
    const std::string name(key.str());
    if (!known.contains(name))
      unknown.push_back(name);
    else if (value.is_table() && known.at(name).contains("properties"))
      pass_over(known.at(name), *value.as_table(), at + name + '.', passed);
  }
  for (const std::string& name : unknown) {
    passed.push_back(at + name);
    part.erase(name);
  }
}

void take_texts(const toml::table& part, const char* key, std::vector<std::string>& values) {
  if (const auto* array = part[key].as_array())
    for (const auto& value : *array) values.push_back(value.value_or<std::string>(""));
}

SupervisePart read_supervise(const toml::table& table) {
  SupervisePart part;
  take(table, "folder", part.folder);
  take(table, "config", part.config);
  take(table, "control", part.control);
  take(table, "zone", part.zone);
  take_texts(table, "management", part.management);
  take(table, "program", part.program);
  take(table, "settings", part.settings);
  take(table, "ready_ms", part.ready_ms);
  take(table, "end_ms", part.end_ms);
  take(table, "good_ms", part.good_ms);
  take(table, "crashes", part.crashes);
  take(table, "backoff_ms", part.backoff_ms);
  take(table, "most_backoff_ms", part.most_backoff_ms);
  return part;
}

RolloutPart read_rollout(const toml::table& table) {
  RolloutPart part;
  take(table, "folder", part.folder);
  if (const auto* members = table["members"].as_array())
    for (const auto& one : *members) {
      RolloutPart::Member& member = part.members.emplace_back();
      take(*one.as_table(), "name", member.name);
      take(*one.as_table(), "zone", member.zone);
      take(*one.as_table(), "control", member.control);
    }
  if (const auto* stages = table["stages"].as_array())
    for (const auto& stage : *stages) part.stages.push_back(stage.value_or(0));
  take(table, "turn_ms", part.turn_ms);
  take(table, "look_ms", part.look_ms);
  take(table, "bake_ms", part.bake_ms);
  take(table, "patience_ms", part.patience_ms);
  take(table, "step_ms", part.step_ms);
  take(table, "tries", part.tries);
  take(table, "margin", part.margin);
  take(table, "false_stop", part.false_stop);
  take(table, "false_go", part.false_go);
  return part;
}

}  // namespace

OperatorFile load_operator_file(const std::string& path) {
  toml::table whole;
  try {
    whole = toml::parse_file(path);
  } catch (const toml::parse_error& wrong) {
    throw std::runtime_error(path + ':' + std::to_string(wrong.source().begin.line) + ": " +
                             std::string(wrong.description()));
  }
  OperatorFile file;
  take(whole, "format", file.format);
  if (file.format > kFileFormat + 1)
    throw std::runtime_error(path + ':' + std::to_string(whole["format"].node()->source().begin.line) +
                             ": format: " + std::to_string(file.format) + " is more than one step from " +
                             std::to_string(kFileFormat) + ", which this program reads");
  if (file.format > kFileFormat) pass_over(nlohmann::json::parse(kSchema), whole, "", file.passed_over);
  const std::string wrong = first_wrong(whole, as_json(whole));
  if (!wrong.empty()) throw std::runtime_error(path + ':' + wrong);
  if (const auto* jobs = whole["jobs"].as_table()) {
    JobsPart& part = file.jobs;
    take(*jobs, "enabled", part.enabled);
    take(*jobs, "listen", part.listen);
    take(*jobs, "operators", part.operators);
    take(*jobs, "folder", part.folder);
    take(*jobs, "most_mb", part.most_mb);
    take(*jobs, "most_open", part.most_open);
    take(*jobs, "links", part.links);
    take(*jobs, "lease_ms", part.lease_ms);
    take(*jobs, "ask_every_ms", part.ask_every_ms);
    take(*jobs, "early_ms", part.early_ms);
    take(*jobs, "keep_hours", part.keep_hours);
    if (const auto* kinds = (*jobs)["answering_kinds"].as_array())
      for (const auto& kind : *kinds) part.answering.push_back(kind.value_or<std::string>(""));
    if (part.enabled && part.folder.empty())
      throw std::runtime_error(path + ':' + std::to_string(jobs->source().begin.line) +
                               ": jobs.folder: wanted where jobs are enabled");
  }
  if (const auto* log = whole["log"].as_table()) {
    std::string format = "text";
    take(*log, "format", format);
    file.log.json = format == "json";
    take(*log, "queue", file.log.queue);
  }
  if (const auto* supervise = whole["supervise"].as_table()) file.supervise = read_supervise(*supervise);
  if (const auto* rollout = whole["rollout"].as_table()) file.rollout = read_rollout(*rollout);
  return file;
}

}  // namespace woadtide::config
