// The wire of the bench: one JSON line of events in, one JSON line of actions out. It translates and
// decides nothing.
#pragma once

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide::wire {

// A line that is not what the wire's page allows. `what()` names the field.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the settings call things that an instance's events refer to.
struct Names {
  std::vector<std::string> classes;
  std::string x0, x1;  // what these report values mean
};

// Pairs of a name and a value; values that are not known here are skipped.
LoadReport read_report(const nlohmann::json& pairs, const std::string& x0, const std::string& x1);

class Host {
 public:
  // Takes one batch, gives one reply, both without the line's end. Throws Malformed.
  std::string answer(const std::string& line);

 private:
  struct Instance {
    Dispatcher dispatcher;
    Names names;
  };
  std::map<std::int64_t, Instance> instances_;

  void spawn(const nlohmann::json& message, std::int64_t who);
  void take(const nlohmann::json& message, const std::string& op, Micros now, nlohmann::json& outbox);
};

Settings read_settings(const nlohmann::json& boot, std::vector<std::string>& class_names);

// Serves until input ends. Returns the exit code: 1 after a malformed line, told on `err`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace woadtide::wire
