// The line protocol of woadtide_wirehost: each line of input is a JSON batch of events, each line of output
// the JSON batch of actions in reply. This layer only translates; Dispatcher makes all decisions.
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

// A line that the protocol does not allow. `what()` names the field.
struct MalformedLine : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Names from an instance's settings to which its events refer.
struct SettingsNames {
  std::vector<std::string> classes;  // by class index
  std::string x0, x1;                // meaning of these values of a load report
};

// Reads a load report from pairs of a name and a value; unknown names and values that are no numbers are
// ignored. `x0` and `x1` are the meanings of the values of that name.
LoadReport read_load_report(const nlohmann::json& pairs, const std::string& x0, const std::string& x1);

// Runs any number of dispatcher instances, each addressed by the number in field "Who".
class InstanceHost {
 public:
  // Processes one line of input and returns the reply, both without the line end. Throws MalformedLine.
  std::string process_line(const std::string& line);

 private:
  struct Instance {
    Dispatcher dispatcher;
    SettingsNames names;
  };
  std::map<std::int64_t, Instance> instances_;  // by "Who"

  void spawn(const nlohmann::json& message, std::int64_t who);
  void process_message(const nlohmann::json& message, const std::string& op, Micros now,
                       nlohmann::json& outbox);
};

// Reads the settings from a "BootInfo" object and appends the names of its classes. Throws MalformedLine.
Settings read_settings(const nlohmann::json& boot, std::vector<std::string>& class_names);

// Serves until the end of the input. Returns the exit code: 1 after a malformed line, which is reported on
// `err`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace woadtide::wire
