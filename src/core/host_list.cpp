#include "core/host_list.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/clock.hpp"

namespace woadtide::core {

using woadtide::WorkerState;

std::string text_of(const HostList& list) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const Host& host : list.hosts) {
    const woadtide::ListEntry& entry = host.entry;
    const char* health = entry.state == WorkerState::ready      ? "Ready"
                         : entry.state == WorkerState::draining ? "Terminating"
                                                                : "Gone";
    hosts.push_back({{"host", entry.worker},
                     {"site", entry.zone},
                     {"class", entry.kind},
                     {"block", entry.cell},
                     {"share", entry.weight},
                     {"health", health},
                     {"born_ms", entry.started ? to_ms(*entry.started) : 0.0},
                     {"dial", host.dial}});
  }
  nlohmann::json text({{"seq", list.seq}, {"whole", list.whole}, {"hosts", std::move(hosts)}});
  if (list.as_of_monotonic_ms) text["as_of_monotonic_ms"] = *list.as_of_monotonic_ms;
  return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HostList read_host_list(const nlohmann::json& object) {
  try {
    HostList list;
    list.seq = object.at("seq").get<std::int64_t>();
    list.whole = object.at("whole").get<bool>();
    if (object.contains("as_of_monotonic_ms"))
      list.as_of_monotonic_ms = object["as_of_monotonic_ms"].get<double>();
    for (const nlohmann::json& host : object.at("hosts")) list.hosts.push_back(decode_endpoint(host));
    return list;
  } catch (const EndpointFieldError& wrong) {
    throw std::runtime_error(std::string("host list: ") + wrong.what());
  } catch (const nlohmann::json::exception& wrong) {
    throw std::runtime_error(std::string("host list: ") + wrong.what());
  }
}

}  // namespace woadtide::core
