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

template <class Line, class Read>
std::vector<Line> read_lines(const std::string& path, const Read& read) {
  std::vector<Line> lines;
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
                      {"kind", word_of(fault.kind)},
                      {"at", fault.at},
                      {"to", fault.to}});
  const Scenario& s = plan.scenario;
  std::ofstream(path) << json({{"seed", plan.seed},
                               {"start_ms", plan.start_ms},
                               {"dispatchers", s.dispatchers},
                               {"workers", s.workers},
                               {"seconds", s.seconds},
                               {"rate", s.rate},
                               {"payouts", s.payouts},
                               {"budget_ms", s.budget_ms},
                               {"grace_ms", s.grace_ms},
                               {"faults", std::move(faults)},
                               {"registry_port", plan.registry_port},
                               {"zones", plan.zones},
                               {"discovery", plan.discovery},
                               {"clients", plan.clients},
                               {"worker_dials", plan.workers}})
                             .dump(1)
                      << '\n';
}

Plan read_plan(const std::string& path) {
  std::ifstream file(path);
  const json object = json::parse(file, nullptr, false);
  if (!object.is_object()) throw std::runtime_error(path + ": no plan of a run");
  Plan plan;
  try {
    plan.seed = object.at("seed");
    plan.start_ms = object.at("start_ms");
    Scenario& s = plan.scenario;
    s.dispatchers = object.at("dispatchers");
    s.workers = object.at("workers");
    s.seconds = object.at("seconds");
    s.rate = object.at("rate");
    s.payouts = object.at("payouts");
    s.budget_ms = object.at("budget_ms");
    s.grace_ms = object.at("grace_ms");
    for (const json& one : object.at("faults"))
      plan.faults.push_back({one.at("from_ms"), one.at("to_ms"),
                             kind_of(one.at("kind").get<std::string>()).value(), one.at("at"), one.at("to")});
    plan.registry_port = object.at("registry_port");
    object.at("zones").get_to(plan.zones);
    object.at("discovery").get_to(plan.discovery);
    object.at("clients").get_to(plan.clients);
    object.at("worker_dials").get_to(plan.workers);
  } catch (const std::exception& wrong) {
    throw std::runtime_error(path + ": " + wrong.what());
  }
  return plan;
}

bool drains(const Plan& plan, const std::string& worker, double at_ms) {
  return std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault& fault) {
    return fault.kind == Kind::drain && fault.at == worker && fault.from_ms <= at_ms && at_ms < fault.to_ms;
  });
}

std::string line_of(const Asked& asked) {
  return json({{"id", asked.id},
               {"to", asked.to},
               {"once", asked.once},
               {"asked_ms", asked.asked_ms},
               {"ended_ms", asked.ended_ms},
               {"end", static_cast<int>(asked.end)},
               {"status", asked.status},
               {"body", asked.body}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string line_of(const Told& told) {
  return json({{"to", told.to}, {"worker", told.worker}, {"at_ms", told.at_ms}, {"drains", told.drains}})
      .dump();
}

std::vector<Asked> read_asked(const std::string& path) {
  return read_lines<Asked>(path, [](const json& one) {
    return Asked{one.at("id"),       one.at("to"),       one.at("once"),
                 one.at("asked_ms"), one.at("ended_ms"), static_cast<Asked::End>(one.at("end").get<int>()),
                 one.at("status"),   one.at("body")};
  });
}

std::vector<Told> read_told(const std::string& path) {
  return read_lines<Told>(path, [](const json& one) {
    return Told{one.at("to"), one.at("worker"), one.at("at_ms"), one.at("drains")};
  });
}

Lines::Lines(const std::string& path)
    : path_(path), fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
  if (fd_ < 0) throw std::runtime_error(path + ": cannot be opened");
}

Lines::~Lines() { ::close(fd_); }

void Lines::add(const std::string& line) {
  const std::string text = line + '\n';
  if (::write(fd_, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
    throw std::runtime_error(path_ + ": cannot be written");
}

}  // namespace woadtide::lab::cluster
