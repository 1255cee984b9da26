#include "core/host_list.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/clock.hpp"

namespace woadtide::core {

using woadtide::WorkerState;

std::string serialize(const EndpointList& list) {
  nlohmann::json endpoints = nlohmann::json::array();
  for (const Endpoint& endpoint : list.endpoints) {
    const woadtide::ListEntry& entry = endpoint.entry;
    const char* health = entry.state == WorkerState::ready      ? "Ready"
                         : entry.state == WorkerState::draining ? "Terminating"
                                                                : "Gone";
    endpoints.push_back({{"host", entry.worker},
                         {"site", entry.zone},
                         {"class", entry.kind},
                         {"block", entry.cell},
                         {"share", entry.weight},
                         {"health", health},
                         {"born_ms", entry.started ? to_ms(*entry.started) : 0.0},
                         {"dial", endpoint.address}});
  }
  nlohmann::json text({{"seq", list.seq}, {"whole", list.complete}, {"hosts", std::move(endpoints)}});
  if (list.as_of_monotonic_ms) text["as_of_monotonic_ms"] = *list.as_of_monotonic_ms;
  return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

EndpointList parse_endpoint_list(const nlohmann::json& object) {
  try {
    EndpointList list;
    list.seq = object.at("seq").get<std::int64_t>();
    list.complete = object.at("whole").get<bool>();
    if (object.contains("as_of_monotonic_ms"))
      list.as_of_monotonic_ms = object["as_of_monotonic_ms"].get<double>();
    for (const nlohmann::json& endpoint : object.at("hosts"))
      list.endpoints.push_back(decode_endpoint(endpoint));
    return list;
  } catch (const EndpointFieldError& error) {
    throw std::runtime_error(std::string("endpoint list: ") + error.what());
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("endpoint list: ") + error.what());
  }
}

}  // namespace woadtide::core
