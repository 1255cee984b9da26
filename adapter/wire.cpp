#include "wire.hpp"

#include <optional>

namespace woadtide::wire {

using nlohmann::json;

namespace {

// Reading: a field that is absent and one that is null are the same thing.

const json* find(const json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

[[noreturn]] void wrong(const char* field, const char* wanted) {
  throw Malformed(std::string("field '") + field + "': " + wanted + " wanted");
}

const json& need(const json& object, const char* field) {
  if (!object.is_object()) wrong(field, "an object around it");
  const json* value = find(object, field);
  if (!value) throw Malformed(std::string("field '") + field + "' is missing");
  return *value;
}

double number(const json& value, const char* field) {
  if (!value.is_number()) wrong(field, "a number");
  return value.get<double>();
}
std::int64_t integer(const json& value, const char* field) {
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX) wrong(field, "a smaller integer");
  if (value.is_number_integer()) return value.get<std::int64_t>();
  wrong(field, "an integer");
}
std::string text(const json& value, const char* field) {
  if (!value.is_string()) wrong(field, "text");
  return value.get<std::string>();
}
bool boolean(const json& value, const char* field) {
  if (!value.is_boolean()) wrong(field, "true or false");
  return value.get<bool>();
}
const json& array(const json& value, const char* field) {
  if (!value.is_array()) wrong(field, "an array");
  return value;
}

double number_or(const json& object, const char* field, double other) {
  const json* value = find(object, field);
  return value ? number(*value, field) : other;
}
std::int64_t integer_or(const json& object, const char* field, std::int64_t other) {
  const json* value = find(object, field);
  return value ? integer(*value, field) : other;
}
std::string text_or(const json& object, const char* field, const char* other) {
  const json* value = find(object, field);
  return value ? text(*value, field) : other;
}
bool boolean_or(const json& object, const char* field, bool other) {
  const json* value = find(object, field);
  return value ? boolean(*value, field) : other;
}
Micros micros_or(const json& object, const char* field, std::int64_t other) {
  return Micros{integer_or(object, field, other)};
}
const json& section(const json& object, const char* field) {
  static const json empty = json::object();
  const json* value = find(object, field);
  if (!value) return empty;
  if (!value->is_object()) wrong(field, "an object");
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
  throw Malformed("field 'Effect': unknown value '" + word + "'");
}
Group group_of(const std::string& word) {
  if (word == "all") return Group::all;
  if (word == "zone") return Group::zone;
  if (word == "cell") return Group::cell;
  throw Malformed("field 'Group': unknown value '" + word + "'");
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
      return Status::moot;
    default:
      wrong(field, "a known outcome");
  }
}
ListKind list_kind_of(const std::string& word) {
  if (word == "changes") return ListKind::changes;
  if (word == "all") return ListKind::full;
  if (word == "remembered") return ListKind::remembered;
  if (word == "refused") return ListKind::failed;
  throw Malformed("field 'Scope': unknown value '" + word + "'");
}
WorkerState state_of(const std::string& word) {
  if (word == "U") return WorkerState::ready;
  if (word == "L") return WorkerState::draining;
  if (word == "D") return WorkerState::gone;
  throw Malformed("field 'Condition': unknown value '" + word + "'");
}

ListEntry read_entry(const json& host) {
  ListEntry entry;
  entry.worker = text(need(host, "Runner"), "Runner");
  entry.zone = text_or(host, "Site", "");
  entry.kind = text_or(host, "FamilyType", "");
  entry.cell = integer_or(host, "Group", 0);
  entry.state = state_of(text(need(host, "Condition"), "Condition"));
  entry.weight = number_or(host, "Rating", 1);
  if (const auto launched = integer_or(host, "LaunchedUs", 0)) entry.started = Micros{launched};
  return entry;
}

std::optional<LoadReport> read_load(const json& message, const Names& names) {
  const json* load = find(message, "Load");
  if (!load) return std::nullopt;
  if (!load->is_object()) wrong("Load", "an object");
  return read_report(*load, names.x0, names.x1);
}

std::string read_id(const json& m) { return text(need(m, "Ref"), "Ref"); }
int read_attempt(const json& m) { return static_cast<int>(integer(need(m, "Hop"), "Hop")); }
Status read_status(const json& m) { return status_of(integer(need(m, "Outcome"), "Outcome"), "Outcome"); }

std::optional<Event> read_topology(const json& m, const Names&) {
  ListUpdate update;
  update.kind = list_kind_of(text(need(m, "Scope"), "Scope"));
  for (const json& host : list(m, "Hosts")) update.entries.push_back(read_entry(host));
  return update;
}

std::optional<Event> read_call(const json& m, const Names& names) {
  Request request;
  request.id = read_id(m);
  const std::string band = text(need(m, "Band"), "Band");
  const auto& classes = names.classes;
  while (request.class_index < classes.size() && classes[request.class_index] != band) ++request.class_index;
  if (request.class_index == classes.size()) throw Malformed("field 'Band': unknown class '" + band + "'");
  request.slots = number_or(m, "Width", 1);
  if (const json* hint = find(m, "WeightHintUs")) request.hint = Micros{integer(*hint, "WeightHintUs")};
  request.time_left = Micros{integer(need(m, "ExpiresInUs"), "ExpiresInUs")};
  return request;
}

std::optional<Event> read_verdict(const json& m, const Names& names) {
  Outcome outcome;
  outcome.id = read_id(m);
  outcome.attempt = read_attempt(m);
  outcome.status = read_status(m);
  outcome.latency = micros_or(m, "LatencyUs", 0);
  outcome.closed = boolean(need(m, "Settled"), "Settled");
  outcome.load = read_load(m, names);
  return outcome;
}

std::optional<Event> read_change(const json& m, const Names&) {
  const auto sort = integer(need(m, "Sort"), "Sort");
  if (sort == 1) return JobStarted{read_id(m), read_attempt(m)};
  if (sort == 2) return JobProgress{read_id(m), read_attempt(m)};
  return std::nullopt;  // a note that the module has no use for
}

std::optional<Event> read_begun(const json& m, const Names&) {
  return StreamStarted{read_id(m), read_attempt(m)};
}
std::optional<Event> read_expired(const json& m, const Names&) { return RequestGone{read_id(m)}; }
std::optional<Event> read_fired(const json& m, const Names&) {
  return TimerFired{text(need(m, "Cookie"), "Cookie")};
}
std::optional<Event> read_check_result(const json& m, const Names& names) {
  return ProbeResult{text(need(m, "Runner"), "Runner"), read_status(m), read_load(m, names)};
}

// The one list of the events that go to an instance: an op that is not in it is skipped.
using Reader = std::optional<Event> (*)(const json&, const Names&);
const std::map<std::string, Reader> kReaders = {
    {"Topology", read_topology}, {"Call", read_call},
    {"Verdict", read_verdict},   {"Change", read_change},
    {"Begun", read_begun},       {"Expired", read_expired},
    {"Fired", read_fired},       {"CheckResult", read_check_result},
};

struct WriteAction {
  std::int64_t who;
  json operator()(const Send& a) const {
    json out = {{"op", "Issue"}, {"Who", who}, {"Ref", a.id}, {"Runner", a.worker}};
    if (a.timeout.count() > 0) out["WithinUs"] = a.timeout.count();
    return out;
  }
  json operator()(const Refuse& a) const {
    json out = {{"op", "Decline"}, {"Who", who}, {"Ref", a.id}};
    if (a.retry_after.count() > 0) out["HoldOffUs"] = a.retry_after.count();
    return out;
  }
  json operator()(const Fail& a) const { return {{"op", "Surrender"}, {"Who", who}, {"Ref", a.id}}; }
  json operator()(const Cancel& a) const {
    return {{"op", "Cancel"}, {"Who", who}, {"Ref", a.id}, {"Hop", a.attempt}};
  }
  json operator()(const Probe& a) const { return {{"op", "Check"}, {"Who", who}, {"Runner", a.worker}}; }
  json operator()(const Watch&) const { return {{"op", "Track"}, {"Who", who}, {"Active", true}}; }
  json operator()(const SetTimer& a) const {
    return {{"op", "Timer"}, {"Who", who}, {"Cookie", a.token}, {"WhenUs", a.at.count()}};
  }
  json operator()(const Log& a) const { return {{"op", "Remark"}, {"Who", who}, {"NoteText", a.text}}; }
};

}  // namespace

LoadReport read_report(const json& pairs, const std::string& x0, const std::string& x1) {
  LoadReport report;
  const auto place = [&report](const std::string& meaning, double value) {
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
    if (name == "x0") place(x0, value.get<double>());
    if (name == "x1") place(x1, value.get<double>());
  }
  return report;
}

Settings read_settings(const json& boot, std::vector<std::string>& class_names) {
  if (!boot.is_object()) wrong("BootInfo", "an object");
  Settings s;
  s.dispatchers = static_cast<int>(integer_or(boot, "Balancers", 1));
  s.number = static_cast<int>(integer_or(boot, "MyNumber", 0));
  s.zone = text_or(boot, "MyZone", "");
  s.tick = micros_or(boot, "StepUs", 1000);
  s.list_on_request = text_or(boot, "Discovery", "pushed") == "on_request";

  const json& rules = section(boot, "Invariants");
  s.must_ask_within = micros_or(rules, "MustAskInUs", 0);
  s.start_capacity = number_or(rules, "StartCapacity", 1);
  s.cold_time = micros_or(rules, "ColdUs", 0);
  s.fall_multiple = number_or(rules, "FallMultiple", 1);
  s.fall_after = micros_or(rules, "TipAfterUs", 0);

  const json& limits = section(boot, "PolicyLimits");
  s.max_attempts = static_cast<int>(integer_or(limits, "TryLimit", 1));
  s.may_cancel = boolean_or(limits, "Cancel", false);
  s.may_probe = boolean_or(limits, "MayProbe", false);
  s.second_copies = boolean_or(limits, "SecondCopies", false);
  if (boolean_or(limits, "RetryAfter", false)) s.max_retry_after = micros_or(limits, "MaxRetryAfterUs", 0);
  s.connect_timeout = micros_or(limits, "DialTimeoutUs", 0);
  s.link_idle = micros_or(limits, "ConnIdleUs", 0);
  s.cross_zone_price = number_or(section(boot, "Prices"), "CrossZone", 0);

  const json& domain = section(boot, "Domain");
  s.report_x0 = text_or(domain, "ReportX0", "");
  s.report_x1 = text_or(domain, "ReportX1", "");
  s.tells_start = boolean_or(domain, "TellsStart", false);
  s.progress_every = micros_or(domain, "ProgressUs", 0);
  const json& stretches = list(domain, "ClassStretch");
  const json& kinds_of_class = list(domain, "ClassKind");
  const json& kinds = list(boot, "Kinds");

  for (const json& category : array(need(boot, "Categories"), "Categories")) {
    ClassSettings c;
    const std::size_t index = s.classes.size();
    class_names.push_back(text(need(category, "Name"), "Name"));
    if (const json* aim = find(category, "PromiseUs")) c.aim = Micros{integer(*aim, "PromiseUs")};
    c.deadline = Micros{integer(need(category, "DeadlineUs"), "DeadlineUs")};
    c.worth = number_or(category, "Points", 1);
    c.late_worth = number_or(category, "LateWorth", 1);
    c.effect = effect_of(text(need(category, "Effect"), "Effect"));
    c.group = group_of(text_or(category, "Group", "all"));
    c.window = micros_or(category, "WindowUs", 0);
    c.stretch = number_or(category, "AimStretch", 0);
    if (index < stretches.size()) c.stretch = number(stretches[index], "ClassStretch");
    if (index < kinds_of_class.size()) {
      const auto kind = integer(kinds_of_class[index], "ClassKind");
      if (kind >= 0 && kind < static_cast<std::int64_t>(kinds.size()))
        c.kind = text(kinds[static_cast<std::size_t>(kind)], "Kinds");
    }
    s.classes.push_back(c);
  }
  return s;
}

void Host::spawn(const json& m, std::int64_t who) {
  const json& boot = need(m, "BootInfo");
  const json& entropy = need(m, "Entropy");
  if (!entropy.is_number_integer()) wrong("Entropy", "an integer");
  Names names;
  Settings settings = read_settings(boot, names.classes);
  names.x0 = settings.report_x0;
  names.x1 = settings.report_x1;
  instances_.erase(who);
  instances_.emplace(
      who, Instance{Dispatcher(std::move(settings), entropy.get<std::uint64_t>()), std::move(names)});
}

void Host::take(const json& m, const std::string& op, Micros now, json& outbox) {
  const auto reader = kReaders.find(op);
  if (op != "Spawn" && op != "Exit" && reader == kReaders.end()) return;
  const std::int64_t who = integer(need(m, "Who"), "Who");
  try {
    if (op == "Spawn") return spawn(m, who);
    const auto found = instances_.find(who);
    if (found == instances_.end()) return;  // nothing runs there
    if (op == "Exit") {
      instances_.erase(found);
      return;
    }
    const std::optional<Event> event = reader->second(m, found->second.names);
    if (!event) return;
    std::vector<Action> actions;
    found->second.dispatcher.handle(now, *event, actions);
    for (const Action& action : actions) outbox.push_back(std::visit(WriteAction{who}, action));
  } catch (const Malformed&) {
    throw;
  } catch (const std::exception& broken) {
    outbox.push_back({{"op", "Fault"}, {"Who", who}, {"NoteText", broken.what()}});
  }
}

std::string Host::answer(const std::string& line) {
  const json batch = json::parse(line, nullptr, false);
  if (batch.is_discarded()) throw Malformed("not JSON");
  if (!batch.is_object()) throw Malformed("not a JSON object");
  const Micros now{integer(need(batch, "ClockUs"), "ClockUs")};
  json outbox = json::array();
  for (const json& message : array(need(batch, "msgs"), "msgs"))
    take(message, text(need(message, "op"), "op"), now, outbox);
  return json{{"outbox", std::move(outbox)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Host host;
  std::string line;
  for (std::uint64_t count = 1; std::getline(in, line); ++count) {
    try {
      out << host.answer(line) << '\n' << std::flush;
    } catch (const Malformed& malformed) {
      err << "line " << count << ": " << malformed.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace woadtide::wire
