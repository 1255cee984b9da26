#include "wire.hpp"

#include <optional>

namespace woadtide::wire {

using nlohmann::json;

namespace {

// Reading. A field that is null counts as absent.

// The field's value, or null where it is absent.
const json* find(const json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

[[noreturn]] void throw_wrong_type(const char* field, const char* expected) {
  throw MalformedLine(std::string("field '") + field + "': " + expected + " expected");
}

const json& required(const json& object, const char* field) {
  if (!object.is_object()) throw_wrong_type(field, "an object to hold it");
  const json* value = find(object, field);
  if (!value) throw MalformedLine(std::string("field '") + field + "' is missing");
  return *value;
}

double number(const json& value, const char* field) {
  if (!value.is_number()) throw_wrong_type(field, "a number");
  return value.get<double>();
}
std::int64_t integer(const json& value, const char* field) {
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX)
    throw_wrong_type(field, "a smaller integer");
  if (value.is_number_integer()) return value.get<std::int64_t>();
  throw_wrong_type(field, "an integer");
}
std::string text(const json& value, const char* field) {
  if (!value.is_string()) throw_wrong_type(field, "text");
  return value.get<std::string>();
}
bool boolean(const json& value, const char* field) {
  if (!value.is_boolean()) throw_wrong_type(field, "true or false");
  return value.get<bool>();
}
const json& array(const json& value, const char* field) {
  if (!value.is_array()) throw_wrong_type(field, "an array");
  return value;
}

double number_or(const json& object, const char* field, double fallback) {
  const json* value = find(object, field);
  return value ? number(*value, field) : fallback;
}
std::int64_t integer_or(const json& object, const char* field, std::int64_t fallback) {
  const json* value = find(object, field);
  return value ? integer(*value, field) : fallback;
}
std::string text_or(const json& object, const char* field, const char* fallback) {
  const json* value = find(object, field);
  return value ? text(*value, field) : fallback;
}
bool boolean_or(const json& object, const char* field, bool fallback) {
  const json* value = find(object, field);
  return value ? boolean(*value, field) : fallback;
}
Micros micros_or(const json& object, const char* field, std::int64_t fallback) {
  return Micros{integer_or(object, field, fallback)};
}
// An optional object or array; empty where it is absent.
const json& section(const json& object, const char* field) {
  static const json empty = json::object();
  const json* value = find(object, field);
  if (!value) return empty;
  if (!value->is_object()) throw_wrong_type(field, "an object");
  return *value;
}
const json& list(const json& object, const char* field) {
  static const json empty = json::array();
  const json* value = find(object, field);
  return value ? array(*value, field) : empty;
}

Effect effect_of(const std::string& word) {
  if (word == "idempotent") return Effect::safe;
  if (word == "deduplicated") return Effect::keyed;
  if (word == "at_most_once") return Effect::unsafe;
  throw MalformedLine("field 'Effect': unknown value '" + word + "'");
}
Group group_of(const std::string& word) {
  if (word == "all") return Group::all;
  if (word == "zone") return Group::zone;
  if (word == "cell") return Group::cell;
  throw MalformedLine("field 'Group': unknown value '" + word + "'");
}
Status status_of(std::int64_t code, const char* field) {
  switch (code) {
    case 10:
      return Status::ok;
    case 20:
      return Status::error;
    case 30:
      return Status::full;
    case 40:
      return Status::timeout;
    case 50:
      return Status::connect_failed;
    case 60:
      return Status::reset;
    case 70:
      return Status::cancelled;
    case 80:
      return Status::not_started;
    default:
      throw_wrong_type(field, "a known outcome");
  }
}
ListKind list_kind_of(const std::string& word) {
  if (word == "changes") return ListKind::changes;
  if (word == "all") return ListKind::full;
  if (word == "remembered") return ListKind::remembered;
  if (word == "refused") return ListKind::failed;
  throw MalformedLine("field 'Scope': unknown value '" + word + "'");
}
WorkerState state_of(const std::string& word) {
  if (word == "U") return WorkerState::ready;
  if (word == "L") return WorkerState::draining;
  if (word == "D") return WorkerState::gone;
  throw MalformedLine("field 'Condition': unknown value '" + word + "'");
}

ListEntry read_entry(const json& host) {
  ListEntry entry;
  entry.worker = text(required(host, "Runner"), "Runner");
  entry.zone = text_or(host, "Site", "");
  entry.kind = text_or(host, "FamilyType", "");
  entry.cell = integer_or(host, "Group", 0);
  entry.state = state_of(text(required(host, "Condition"), "Condition"));
  entry.weight = number_or(host, "Rating", 1);
  if (const auto launched = integer_or(host, "LaunchedUs", 0)) entry.started = Micros{launched};
  return entry;
}

std::optional<LoadReport> read_load(const json& message, const SettingsNames& names) {
  const json* load = find(message, "Load");
  if (!load) return std::nullopt;
  if (!load->is_object()) throw_wrong_type("Load", "an object");
  return read_load_report(*load, names.x0, names.x1);
}

std::string read_id(const json& message) { return text(required(message, "Ref"), "Ref"); }
int read_attempt(const json& message) { return static_cast<int>(integer(required(message, "Hop"), "Hop")); }
Status read_status(const json& message) {
  return status_of(integer(required(message, "Outcome"), "Outcome"), "Outcome");
}

std::optional<Event> read_topology(const json& message, const SettingsNames&) {
  ListUpdate update;
  update.kind = list_kind_of(text(required(message, "Scope"), "Scope"));
  for (const json& host : list(message, "Hosts")) update.entries.push_back(read_entry(host));
  return update;
}

std::optional<Event> read_call(const json& message, const SettingsNames& names) {
  Request request;
  request.id = read_id(message);
  const std::string band = text(required(message, "Band"), "Band");
  const auto& classes = names.classes;
  while (request.class_index < classes.size() && classes[request.class_index] != band) ++request.class_index;
  if (request.class_index == classes.size())
    throw MalformedLine("field 'Band': unknown class '" + band + "'");
  request.slots = number_or(message, "Width", 1);
  if (const json* hint = find(message, "WeightHintUs")) request.hint = Micros{integer(*hint, "WeightHintUs")};
  request.time_left = Micros{integer(required(message, "ExpiresInUs"), "ExpiresInUs")};
  return request;
}

std::optional<Event> read_verdict(const json& message, const SettingsNames& names) {
  Outcome outcome;
  outcome.id = read_id(message);
  outcome.attempt = read_attempt(message);
  outcome.status = read_status(message);
  outcome.latency = micros_or(message, "LatencyUs", 0);
  outcome.closed = boolean(required(message, "Settled"), "Settled");
  outcome.load = read_load(message, names);
  return outcome;
}

std::optional<Event> read_change(const json& message, const SettingsNames&) {
  const auto sort = integer(required(message, "Sort"), "Sort");
  if (sort == 1) return JobStarted{read_id(message), read_attempt(message)};
  if (sort == 2) return JobProgress{read_id(message), read_attempt(message)};
  return std::nullopt;  // the module does not use other changes
}

std::optional<Event> read_begun(const json& message, const SettingsNames&) {
  return StreamStarted{read_id(message), read_attempt(message)};
}
std::optional<Event> read_expired(const json& message, const SettingsNames&) {
  return RequestGone{read_id(message)};
}
std::optional<Event> read_fired(const json& message, const SettingsNames&) {
  return TimerFired{text(required(message, "Cookie"), "Cookie")};
}
std::optional<Event> read_check_result(const json& message, const SettingsNames& names) {
  return ProbeResult{text(required(message, "Runner"), "Runner"), read_status(message),
                     read_load(message, names)};
}

// All events that are passed to an instance, by op; any other op is ignored.
using Reader = std::optional<Event> (*)(const json&, const SettingsNames&);
const std::map<std::string, Reader> kReaders = {
    {"Topology", read_topology}, {"Call", read_call},
    {"Verdict", read_verdict},   {"Change", read_change},
    {"Begun", read_begun},       {"Expired", read_expired},
    {"Fired", read_fired},       {"CheckResult", read_check_result},
};

// Writes an action as a message of the instance `who`; null where the wire has no message for it.
struct WriteAction {
  std::int64_t who;
  json operator()(const Send& action) const {
    json message = {{"op", "Issue"}, {"Who", who}, {"Ref", action.id}, {"Runner", action.worker}};
    if (action.timeout.count() > 0) message["WithinUs"] = action.timeout.count();
    return message;
  }
  json operator()(const Refuse& action) const {
    json message = {{"op", "Decline"}, {"Who", who}, {"Ref", action.id}};
    if (action.retry_after.count() > 0) message["HoldOffUs"] = action.retry_after.count();
    return message;
  }
  json operator()(const Fail& action) const {
    return {{"op", "Surrender"}, {"Who", who}, {"Ref", action.id}};
  }
  json operator()(const Cancel& action) const {
    return {{"op", "Cancel"}, {"Who", who}, {"Ref", action.id}, {"Hop", action.attempt}};
  }
  json operator()(const Probe& action) const {
    return {{"op", "Check"}, {"Who", who}, {"Runner", action.worker}};
  }
  json operator()(const Watch&) const { return {{"op", "Track"}, {"Who", who}, {"Active", true}}; }
  json operator()(const SetTimer& action) const {
    return {{"op", "Timer"}, {"Who", who}, {"Cookie", action.token}, {"WhenUs", action.at.count()}};
  }
  // The wire has no such message: the timer fires and has no effect.
  json operator()(const CancelTimer&) const { return nullptr; }
  json operator()(const Log& action) const {
    return {{"op", "Remark"}, {"Who", who}, {"NoteText", action.text}};
  }
};

}  // namespace

LoadReport read_load_report(const json& pairs, const std::string& x0, const std::string& x1) {
  LoadReport report;
  const auto set_value = [&report](const std::string& meaning, double value) {
    if (meaning == "free slots") report.free_slots = value;
    if (meaning == "free memory") report.free_memory = value;
  };
  for (const auto& [name, value] : pairs.items()) {
    if (!value.is_number()) continue;
    if (name == "active") report.held = value.get<double>();
    if (name == "waiting") report.queue = value.get<double>();
    if (name == "rps") report.served_per_s = value.get<double>();
    if (name == "avg_ms") report.latency_s = value.get<double>() / 1000;
    if (name == "cpu") report.utilization = value.get<double>();
    if (name == "x0") set_value(x0, value.get<double>());
    if (name == "x1") set_value(x1, value.get<double>());
  }
  return report;
}

Settings read_settings(const json& boot, std::vector<std::string>& class_names) {
  if (!boot.is_object()) throw_wrong_type("BootInfo", "an object");
  Settings settings;
  settings.dispatchers = static_cast<int>(integer_or(boot, "Balancers", 1));
  settings.number = static_cast<int>(integer_or(boot, "MyNumber", 0));
  settings.zone = text_or(boot, "MyZone", "");
  settings.tick = micros_or(boot, "StepUs", 1000);
  settings.list_on_request = text_or(boot, "Discovery", "pushed") == "on_request";

  const json& rules = section(boot, "Invariants");
  settings.must_ask_within = micros_or(rules, "MustAskInUs", 0);
  settings.start_capacity = number_or(rules, "StartCapacity", 1);
  settings.cold_time = micros_or(rules, "ColdUs", 0);
  settings.fall_multiple = number_or(rules, "FallMultiple", 1);
  settings.fall_after = micros_or(rules, "TipAfterUs", 0);

  const json& limits = section(boot, "PolicyLimits");
  settings.max_attempts = static_cast<int>(integer_or(limits, "TryLimit", 1));
  settings.may_cancel = boolean_or(limits, "Cancel", false);
  settings.may_probe = boolean_or(limits, "MayProbe", false);
  settings.second_copies = boolean_or(limits, "SecondCopies", false);
  if (boolean_or(limits, "RetryAfter", false))
    settings.max_retry_after = micros_or(limits, "MaxRetryAfterUs", 0);
  settings.connect_timeout = micros_or(limits, "DialTimeoutUs", 0);
  settings.link_idle = micros_or(limits, "ConnIdleUs", 0);
  settings.cross_zone_price = number_or(section(boot, "Prices"), "CrossZone", 0);

  const json& domain = section(boot, "Domain");
  settings.report_x0 = text_or(domain, "ReportX0", "");
  settings.report_x1 = text_or(domain, "ReportX1", "");
  settings.tells_start = boolean_or(domain, "TellsStart", false);
  settings.progress_every = micros_or(domain, "ProgressUs", 0);
  const json& stretches = list(domain, "ClassStretch");
  const json& kinds_of_class = list(domain, "ClassKind");
  const json& kinds = list(boot, "Kinds");

  for (const json& category : array(required(boot, "Categories"), "Categories")) {
    ClassSettings job_class;
    const std::size_t index = settings.classes.size();
    class_names.push_back(text(required(category, "Name"), "Name"));
    if (const json* aim = find(category, "PromiseUs")) job_class.aim = Micros{integer(*aim, "PromiseUs")};
    job_class.deadline = Micros{integer(required(category, "DeadlineUs"), "DeadlineUs")};
    job_class.worth = number_or(category, "Points", 1);
    job_class.late_worth = number_or(category, "LateWorth", 1);
    job_class.effect = effect_of(text(required(category, "Effect"), "Effect"));
    job_class.group = group_of(text_or(category, "Group", "all"));
    job_class.window = micros_or(category, "WindowUs", 0);
    job_class.stretch = number_or(category, "AimStretch", 0);
    if (index < stretches.size()) job_class.stretch = number(stretches[index], "ClassStretch");
    if (index < kinds_of_class.size()) {
      const auto kind = integer(kinds_of_class[index], "ClassKind");
      if (kind >= 0 && kind < static_cast<std::int64_t>(kinds.size()))
        job_class.kind = text(kinds[static_cast<std::size_t>(kind)], "Kinds");
    }
    settings.classes.push_back(job_class);
  }
  return settings;
}

void InstanceHost::spawn(const json& message, std::int64_t who) {
  const json& boot = required(message, "BootInfo");
  const json& entropy = required(message, "Entropy");
  if (!entropy.is_number_integer()) throw_wrong_type("Entropy", "an integer");
  SettingsNames names;
  Settings settings = read_settings(boot, names.classes);
  names.x0 = settings.report_x0;
  names.x1 = settings.report_x1;
  instances_.erase(who);
  instances_.emplace(
      who, Instance{Dispatcher(std::move(settings), entropy.get<std::uint64_t>()), std::move(names)});
}

void InstanceHost::process_message(const json& message, const std::string& op, Micros now, json& outbox) {
  const auto reader = kReaders.find(op);
  if (op != "Spawn" && op != "Exit" && reader == kReaders.end()) return;
  const std::int64_t who = integer(required(message, "Who"), "Who");
  try {
    if (op == "Spawn") return spawn(message, who);
    const auto found = instances_.find(who);
    if (found == instances_.end()) return;  // no such instance
    if (op == "Exit") {
      instances_.erase(found);
      return;
    }
    const std::optional<Event> event = reader->second(message, found->second.names);
    if (!event) return;
    std::vector<Action> actions;
    found->second.dispatcher.handle(now, *event, actions);
    for (const Action& action : actions)
      if (json written = std::visit(WriteAction{who}, action); !written.is_null())
        outbox.push_back(std::move(written));
  } catch (const MalformedLine&) {
    throw;
  } catch (const std::exception& error) {
    outbox.push_back({{"op", "Fault"}, {"Who", who}, {"NoteText", error.what()}});
  }
}

std::string InstanceHost::process_line(const std::string& line) {
  const json batch = json::parse(line, nullptr, false);
  if (batch.is_discarded()) throw MalformedLine("not JSON");
  if (!batch.is_object()) throw MalformedLine("not a JSON object");
  const Micros now{integer(required(batch, "ClockUs"), "ClockUs")};
  json outbox = json::array();
  for (const json& message : array(required(batch, "msgs"), "msgs"))
    process_message(message, text(required(message, "op"), "op"), now, outbox);
  return json{{"outbox", std::move(outbox)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  InstanceHost host;
  std::string line;
  for (std::uint64_t line_number = 1; std::getline(in, line); ++line_number) {
    try {
      out << host.process_line(line) << '\n' << std::flush;
    } catch (const MalformedLine& error) {
      err << "line " << line_number << ": " << error.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace woadtide::wire
