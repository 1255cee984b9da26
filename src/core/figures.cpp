#include "core/figures.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace woadtide::core {

using nlohmann::json;

namespace {
constexpr double kBinGrowth = 1.08;
}

std::size_t latency_bin_of(double ms) {
  if (!(ms > 1)) return 0;
  return std::min(kLatencyBinCount - 1,
                  static_cast<std::size_t>(std::ceil(std::log(ms) / std::log(kBinGrowth))));
}

double latency_bin_limit_ms(std::size_t bin) { return std::pow(kBinGrowth, static_cast<double>(bin)); }

void ClassStats::add_served(double ms, bool is_late) {
  served += 1;
  served_late += is_late ? 1 : 0;
  latency_bins[latency_bin_of(ms)] += 1;
}

std::string serialize(const DispatcherStats& stats_by_class) {
  json classes = json::object();
  for (const auto& [name, stats] : stats_by_class) {
    json bins = json::array();  // pairs: most are empty
    for (std::size_t i = 0; i < kLatencyBinCount; ++i)
      if (stats.latency_bins[i] != 0) bins.push_back({i, stats.latency_bins[i]});
    classes[name] = {{"asked", stats.accepted}, {"served", stats.served},    {"refused", stats.refused},
                     {"failed", stats.failed},  {"late", stats.served_late}, {"bins", std::move(bins)}};
  }
  return classes.dump(-1, ' ', false, json::error_handler_t::replace);
}

DispatcherStats parse_telemetry(const std::string& text) {
  DispatcherStats stats_by_class;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.rfind(':');
    if (colon == std::string::npos) continue;
    const std::uint64_t value = std::strtoull(line.c_str() + colon + 1, nullptr, 10);
    for (const auto& [prefix, counter] : {std::pair{"app.succeeded.", &ClassStats::served},
                                          {"app.declined.", &ClassStats::refused},
                                          {"app.aborted.", &ClassStats::failed}}) {
      if (!line.starts_with(prefix)) continue;
      ClassStats& stats = stats_by_class[line.substr(std::strlen(prefix), colon - std::strlen(prefix))];
      stats.*counter = value;
      stats.accepted += value;  // an open query is counted once it has ended
    }
  }
  return stats_by_class;
}

DispatcherStats parse_stats(const std::string& text) {
  try {
    DispatcherStats stats_by_class;
    const json classes = json::parse(text);
    for (const auto& [name, fields] : classes.items()) {
      ClassStats& stats = stats_by_class[name];
      stats.accepted = fields.at("asked");
      stats.served = fields.at("served");
      stats.refused = fields.at("refused");
      stats.failed = fields.at("failed");
      stats.served_late = fields.at("late");
      for (const json& bin : fields.at("bins"))
        stats.latency_bins.at(bin.at(0).get<std::size_t>()) = bin.at(1);
    }
    return stats_by_class;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not the figures of a dispatcher: ") + error.what());
  }
}

}  // namespace woadtide::core
