#include "core/config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/clock.hpp"
#include "core/kin.hpp"
#include "wire.hpp"

namespace woadtide::core {

namespace {
std::uint64_t read_seed(const std::string& hex) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
  if (error != std::errc{} || end != hex.data() + hex.size())
    throw std::runtime_error("seed: expected up to 16 hexadecimal digits");
  return seed;
}
}  // namespace

Config read_config(const nlohmann::json& object) {
  try {
    Config config;
    config.name = object.value("name", "");
    config.listen = object.at("listen").get<std::string>();
    config.discovery = object.at("discovery").get<std::string>();
    config.management = object.value("management", "");
    config.seed = read_seed(object.at("seed").get<std::string>());
    if (const auto limits = object.find("limits"); limits != object.end()) {
      config.max_sockets = limits->value("sockets", config.max_sockets);
      config.max_memory_mb = limits->value("memory_mb", config.max_memory_mb);
    }
    if (object.contains("known")) config.known_endpoints = parse_endpoint_list(object["known"]);
    config.settings = woadtide::wire::read_settings(object.at("settings"), config.class_names);
    if (config.settings.list_on_request) config.settings.list_binds_after = to_micros(kUpdateBindsAfterMs);
    config.settings.list_must_be_told = !config.settings.list_on_request;
    check(config.settings);
    return config;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  } catch (const std::logic_error& error) {  // thrown by check() for a setting
    throw std::runtime_error(error.what());
  }
}

Config load_config(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be read");
  const nlohmann::json object = nlohmann::json::parse(file, nullptr, false);
  if (object.is_discarded()) throw std::runtime_error(path + ": not JSON");
  try {
    return read_config(object);
  } catch (const std::runtime_error& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

std::string version_line(const Config& config) {
  return config.version + " kin " + std::to_string(kSiblingProtocolVersion) + " settings " +
         config.settings_id;
}

}  // namespace woadtide::core
