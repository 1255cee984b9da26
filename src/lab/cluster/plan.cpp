#include "lab/cluster/plan.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace woadtide::lab::cluster {

using nlohmann::json;

namespace {

template <class Record, class Read>
std::vector<Record> read_lines(const std::string& path, const Read& read) {
  std::vector<Record> lines;
  std::ifstream file(path);
  for (std::string text; std::getline(file, text);) {
    const json object = json::parse(text, nullptr, false);
    if (object.is_object()) lines.push_back(read(object));
  }
  return lines;
}

}  // namespace

void write_plan(const Plan& plan, const std::string& path) {
  json faults = json::array();
  for (const Fault& fault : plan.faults)
    faults.push_back({{"from_ms", fault.from_ms},
                      {"to_ms", fault.to_ms},
                      {"kind", fault_kind_name(fault.kind)},
                      {"at", fault.process},
                      {"to", fault.peer}});
  const Scenario& scenario = plan.scenario;
  std::ofstream(path) << json({{"seed", plan.seed},
                               {"start_ms", plan.start_ms},
                               {"dispatchers", scenario.dispatchers},
                               {"workers", scenario.workers},
                               {"seconds", scenario.seconds},
                               {"rate", scenario.rate},
                               {"payouts", scenario.payouts},
                               {"budget_ms", scenario.budget_ms},
                               {"grace_ms", scenario.grace_ms},
                               {"faults", std::move(faults)},
                               {"registry_port", plan.registry_port},
                               {"zones", plan.zones},
                               {"discovery", plan.discovery_addresses},
                               {"clients", plan.client_addresses},
                               {"worker_dials", plan.worker_addresses}})
                             .dump(1)
                      << '\n';
}

Plan read_plan(const std::string& path) {
  std::ifstream file(path);
  const json object = json::parse(file, nullptr, false);
  if (!object.is_object()) throw std::runtime_error(path + ": not a valid run plan");
  Plan plan;
  try {
    plan.seed = object.at("seed");
    plan.start_ms = object.at("start_ms");
    Scenario& scenario = plan.scenario;
    scenario.dispatchers = object.at("dispatchers");
    scenario.workers = object.at("workers");
    scenario.seconds = object.at("seconds");
    scenario.rate = object.at("rate");
    scenario.payouts = object.at("payouts");
    scenario.budget_ms = object.at("budget_ms");
    scenario.grace_ms = object.at("grace_ms");
    for (const json& fault : object.at("faults"))
      plan.faults.push_back({fault.at("from_ms"), fault.at("to_ms"),
                             fault_kind_from_name(fault.at("kind").get<std::string>()).value(),
                             fault.at("at"), fault.at("to")});
    plan.registry_port = object.at("registry_port");
    object.at("zones").get_to(plan.zones);
    object.at("discovery").get_to(plan.discovery_addresses);
    object.at("clients").get_to(plan.client_addresses);
    object.at("worker_dials").get_to(plan.worker_addresses);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
  return plan;
}

bool is_draining(const Plan& plan, const std::string& worker, double at_ms) {
  return std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault& fault) {
    return fault.kind == FaultKind::drain && fault.process == worker && fault.from_ms <= at_ms &&
           at_ms < fault.to_ms;
  });
}

std::string to_json_line(const QueryRecord& query) {
  return json({{"id", query.id},
               {"to", query.dispatcher},
               {"once", query.at_most_once},
               {"asked_ms", query.sent_ms},
               {"ended_ms", query.ended_ms},
               {"end", static_cast<int>(query.outcome)},
               {"status", query.status},
               {"body", query.body}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string to_json_line(const DiscoveryNotice& notice) {
  return json({{"to", notice.dispatcher},
               {"worker", notice.worker},
               {"at_ms", notice.at_ms},
               {"drains", notice.draining}})
      .dump();
}

std::vector<QueryRecord> read_query_records(const std::string& path) {
  return read_lines<QueryRecord>(path, [](const json& object) {
    return QueryRecord{object.at("id"),       object.at("to"),
                       object.at("once"),     object.at("asked_ms"),
                       object.at("ended_ms"), static_cast<QueryRecord::Outcome>(object.at("end").get<int>()),
                       object.at("status"),   object.at("body")};
  });
}

std::vector<DiscoveryNotice> read_discovery_notices(const std::string& path) {
  return read_lines<DiscoveryNotice>(path, [](const json& object) {
    return DiscoveryNotice{object.at("to"), object.at("worker"), object.at("at_ms"), object.at("drains")};
  });
}

JsonLinesFile::JsonLinesFile(const std::string& path)
    : path_(path), fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
  if (fd_ < 0) throw std::runtime_error(path + ": cannot be opened");
}

JsonLinesFile::~JsonLinesFile() { ::close(fd_); }

void JsonLinesFile::append(const std::string& line) {
  const std::string text = line + '\n';
  if (::write(fd_, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
    throw std::runtime_error(path_ + ": cannot be written");
}

}  // namespace woadtide::lab::cluster
