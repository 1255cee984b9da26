// What the platform tells a dispatcher: DEPLOY's config file.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/host_list.hpp"
#include "woadtide/balance.hpp"

namespace woadtide::core {

struct Config {
  std::string name, listen, discovery;
  std::string management;  // the second address; empty: none
  int passed_socket = -1;  // where the platform listens for us: its descriptor
  std::string folder;      // that all processes of this dispatcher have; empty: none
  std::string tether;      // path at which a supervisor finds this process; empty: none
  std::string version = "0", settings_id = "none";  // what it serves under, to be told; see version_line()
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory_mb = 192;  // most that the process may hold
  HostList known;
  woadtide::Settings settings;
  std::vector<std::string> class_names;
};

// What a process says of itself: "0.2.0 kin 2 settings 81f3...".
std::string version_line(const Config& config);

// Both throw std::runtime_error with one plain line for whoever wrote the file.
Config read_config(const nlohmann::json& object);
Config load_config(const std::string& path);

}  // namespace woadtide::core
