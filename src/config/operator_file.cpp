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

// JSON schema of the file: keys, types and ranges. Key names carry the units; deploy/woadtide.toml documents
// each key.
constexpr const char* kFileSchema = R"({
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

// Converts TOML to JSON, for validation against the schema.
nlohmann::json to_json(const toml::node& node) {
  if (const auto* table = node.as_table()) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : *table) object[std::string(key.str())] = to_json(value);
    return object;
  }
  if (const auto* array = node.as_array()) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& value : *array) list.push_back(to_json(value));
    return list;
  }
  if (const auto* text = node.as_string()) return text->get();
  if (const auto* number = node.as_integer()) return number->get();
  if (const auto* number = node.as_floating_point()) return number->get();
  if (const auto* flag = node.as_boolean()) return flag->get();
  std::ostringstream text;  // dates and times, which the schema only knows as strings
  text << toml::node_view<const toml::node>(&node);
  return text.str();
}

// Line of the key at `key_parts`, whose dotted name is appended to `dotted_key`; an unknown key has a line
// too. If a part of the path does not exist, the last existing part counts.
std::string line_of(const toml::table& document, const std::vector<std::string>& key_parts,
                    std::string& dotted_key) {
  const toml::node* node = &document;
  for (const std::string& part : key_parts) {
    const toml::node* child = nullptr;
    if (const auto* table = node->as_table()) child = table->get(part);
    if (const auto* array = node->as_array())
      child = array->get(static_cast<std::size_t>(std::atoi(part.c_str())));
    if (!child) break;
    dotted_key += (dotted_key.empty() ? "" : ".") + part;
    node = child;
  }
  return std::to_string(node->source().begin.line);
}

// Validates the document against the schema. Returns the line, key and description of one error; empty if
// valid.
std::string validation_error(const toml::table& document, const nlohmann::json& object) {
  const nlohmann::json schema_text = nlohmann::json::parse(kFileSchema);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_text), schema);
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(object), &results)) return {};
  // The deepest error is the cause; those above it follow from it.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error))
    if (error.context.size() >= deepest.context.size()) deepest = error;
  std::vector<std::string> key_parts;
  for (const std::string& part : deepest.context) {
    if (part == "<root>") continue;
    key_parts.push_back(part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
  }
  // valijson names an unknown key only in the description of the error.
  std::string unknown_key;
  if (const auto at = deepest.description.find("additional property '"); at != std::string::npos) {
    unknown_key = deepest.description.substr(at + 21);
    unknown_key = unknown_key.substr(0, unknown_key.find('\''));
  } else if (const auto quote = deepest.description.rfind('\'');
             deepest.description.find("propert") != std::string::npos && quote != std::string::npos) {
    const auto open = deepest.description.rfind('\'', quote - 1);
    if (open != std::string::npos) unknown_key = deepest.description.substr(open + 1, quote - open - 1);
  }
  if (!unknown_key.empty()) key_parts.push_back(unknown_key);
  std::string dotted_key;
  const std::string line = line_of(document, key_parts, dotted_key);
  return line + ": " + (dotted_key.empty() ? "the file" : dotted_key) + ": " +
         (unknown_key.empty() ? deepest.description : std::string("no such key"));
}

// Reads the value of a key; leaves `value` unchanged if the key is absent.
template <typename Value>
void read_value(const toml::table& part, const char* key, Value& value) {
  if (const auto found = part[key].value<Value>()) value = *found;
}

// Removes the keys that a newer format has and this program does not know. `prefix`: dotted name of the table
// with a dot, `removed_keys`: receives the names of the removed keys.
void remove_unknown_keys(const nlohmann::json& schema, toml::table& part, const std::string& prefix,
                         std::vector<std::string>& removed_keys) {
  const auto& known = schema.at("properties");
  std::vector<std::string> unknown;
  for (auto& [key, value] : part) {
    const std::string name(key.str());
    if (!known.contains(name))
      unknown.push_back(name);
    else if (value.is_table() && known.at(name).contains("properties"))
      remove_unknown_keys(known.at(name), *value.as_table(), prefix + name + '.', removed_keys);
  }
  for (const std::string& name : unknown) {
    removed_keys.push_back(prefix + name);
    part.erase(name);
  }
}

void read_strings(const toml::table& part, const char* key, std::vector<std::string>& values) {
  if (const auto* array = part[key].as_array())
    for (const auto& value : *array) values.push_back(value.value_or<std::string>(""));
}

SuperviseSettings read_supervise(const toml::table& table) {
  SuperviseSettings part;
  read_value(table, "folder", part.folder);
  read_value(table, "config", part.config);
  read_value(table, "control", part.control);
  read_value(table, "zone", part.zone);
  read_strings(table, "management", part.management);
  read_value(table, "program", part.program);
  read_value(table, "settings", part.settings);
  read_value(table, "ready_ms", part.ready_ms);
  read_value(table, "end_ms", part.end_ms);
  read_value(table, "good_ms", part.good_ms);
  read_value(table, "crashes", part.crashes);
  read_value(table, "backoff_ms", part.backoff_ms);
  read_value(table, "most_backoff_ms", part.most_backoff_ms);
  return part;
}

RolloutSettings read_rollout(const toml::table& table) {
  RolloutSettings part;
  read_value(table, "folder", part.folder);
  if (const auto* members = table["members"].as_array())
    for (const auto& entry : *members) {
      RolloutSettings::Member& member = part.members.emplace_back();
      read_value(*entry.as_table(), "name", member.name);
      read_value(*entry.as_table(), "zone", member.zone);
      read_value(*entry.as_table(), "control", member.control);
    }
  if (const auto* stages = table["stages"].as_array())
    for (const auto& stage : *stages) part.stages.push_back(stage.value_or(0));
  read_value(table, "turn_ms", part.turn_ms);
  read_value(table, "look_ms", part.look_ms);
  read_value(table, "bake_ms", part.bake_ms);
  read_value(table, "patience_ms", part.patience_ms);
  read_value(table, "step_ms", part.step_ms);
  read_value(table, "tries", part.tries);
  read_value(table, "margin", part.margin);
  read_value(table, "false_stop", part.false_stop);
  read_value(table, "false_go", part.false_go);
  return part;
}

}  // namespace

OperatorFile load_operator_file(const std::string& path) {
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    throw std::runtime_error(path + ':' + std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description()));
  }
  OperatorFile file;
  read_value(document, "format", file.format);
  if (file.format > kFileFormat + 1)
    throw std::runtime_error(path + ':' + std::to_string(document["format"].node()->source().begin.line) +
                             ": format: " + std::to_string(file.format) + " is more than one step from " +
                             std::to_string(kFileFormat) + ", which this program reads");
  if (file.format > kFileFormat)
    remove_unknown_keys(nlohmann::json::parse(kFileSchema), document, "", file.ignored_keys);
  const std::string error = validation_error(document, to_json(document));
  if (!error.empty()) throw std::runtime_error(path + ':' + error);
  if (const auto* jobs = document["jobs"].as_table()) {
    JobsSettings& part = file.jobs;
    read_value(*jobs, "enabled", part.enabled);
    read_value(*jobs, "listen", part.listen);
    read_value(*jobs, "operators", part.operators);
    read_value(*jobs, "folder", part.folder);
    read_value(*jobs, "most_mb", part.most_mb);
    read_value(*jobs, "most_open", part.most_open);
    read_value(*jobs, "links", part.links);
    read_value(*jobs, "lease_ms", part.lease_ms);
    read_value(*jobs, "ask_every_ms", part.ask_every_ms);
    read_value(*jobs, "early_ms", part.early_ms);
    read_value(*jobs, "keep_hours", part.keep_hours);
    if (const auto* worker_kinds = (*jobs)["answering_kinds"].as_array())
      for (const auto& kind : *worker_kinds) part.answering_kinds.push_back(kind.value_or<std::string>(""));
    if (part.enabled && part.folder.empty())
      throw std::runtime_error(path + ':' + std::to_string(jobs->source().begin.line) +
                               ": jobs.folder: wanted where jobs are enabled");
  }
  if (const auto* log = document["log"].as_table()) {
    std::string format = "text";
    read_value(*log, "format", format);
    file.log.json = format == "json";
    read_value(*log, "queue", file.log.queue);
  }
  if (const auto* supervise = document["supervise"].as_table()) file.supervise = read_supervise(*supervise);
  if (const auto* rollout = document["rollout"].as_table()) file.rollout = read_rollout(*rollout);
  return file;
}

}  // namespace woadtide::config
