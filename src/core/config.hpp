// Configuration of a dispatcher, as the platform passes it in the config file (JSON).
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/host_list.hpp"
#include "woadtide/balance.hpp"

namespace woadtide::core {

// The decoded config file, and the values that the program adds to it.
struct Config {
  std::string name, listen, discovery;  // listen and discovery: host:port
  std::string management;               // address for operators' commands; empty: none
  // Descriptor of the socket on which the platform listens for this process; -1: none.
  int passed_socket_fd = -1;
  std::string shared_folder;  // shared by all processes of this dispatcher; empty: none
  std::string
      control_socket_path;  // path of the control socket, where a supervisor finds this process; empty: none
  std::string version = "0", settings_id = "none";  // reported by version_line()
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024, max_memory_mb = 192;  // limits of the process, memory in MB
  EndpointList known_endpoints;                         // endpoint list to start with
  woadtide::Settings settings;
  std::vector<std::string> class_names;  // in the order of settings.classes
};

// Returns the versions of a process in one line: "0.2.0 kin 2 settings 81f3...".
std::string version_line(const Config& config);

// Decode and check a configuration, given as JSON or by its path. Both throw std::runtime_error with a
// message of one line for the author of the file.
Config read_config(const nlohmann::json& object);
Config load_config(const std::string& path);

}  // namespace woadtide::core
