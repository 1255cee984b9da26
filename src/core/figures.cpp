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
constexpr double kGrowth = 1.08;
}

std::size_t bin_of(double ms) {
  if (!(ms > 1)) return 0;
  return std::min(kBins - 1, static_cast<std::size_t>(std::ceil(std::log(ms) / std::log(kGrowth))));
}

double top_of(std::size_t bin) { return std::pow(kGrowth, static_cast<double>(bin)); }

void ClassFigures::add_served(double ms, bool is_late) {
  served += 1;
  late += is_late ? 1 : 0;
  bins[bin_of(ms)] += 1;
}

std::string text_of(const Figures& figures) {
  json classes = json::object();
  for (const auto& [name, one] : figures) {
    json bins = json::array();  // pairs: most are empty
    for (std::size_t i = 0; i < kBins; ++i)
      if (one.bins[i] != 0) bins.push_back({i, one.bins[i]});
    classes[name] = {{"asked", one.asked},   {"served", one.served}, {"refused", one.refused},
                     {"failed", one.failed}, {"late", one.late},     {"bins", std::move(bins)}};
  }
  return classes.dump(-1, ' ', false, json::error_handler_t::replace);
}

Figures read_telemetry(const std::string& text) {
  Figures read;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.rfind(':');
    if (colon == std::string::npos) continue;
    const std::uint64_t value = std::strtoull(line.c_str() + colon + 1, nullptr, 10);
    for (const auto& [word, what] : {std::pair{"app.succeeded.", &ClassFigures::served},
                                     {"app.declined.", &ClassFigures::refused},
                                     {"app.aborted.", &ClassFigures::failed}}) {
      if (!line.starts_with(word)) continue;
      ClassFigures& one = read[line.substr(std::strlen(word), colon - std::strlen(word))];
      one.*what = value;
      one.asked += value;  // what is still open counts once it is over
    }
  }
  return read;
}

Figures read_figures(const std::string& text) {
  try {
    Figures read;
    const json classes = json::parse(text);
    for (const auto& [name, one] : classes.items()) {
      ClassFigures& figures = read[name];
      figures.asked = one.at("asked");
      figures.served = one.at("served");
      figures.refused = one.at("refused");
      figures.failed = one.at("failed");
      figures.late = one.at("late");
      for (const json& bin : one.at("bins")) figures.bins.at(bin.at(0).get<std::size_t>()) = bin.at(1);
    }
    return read;
  } catch (const std::exception& wrong) {
    throw std::runtime_error(std::string("no figures of a dispatcher: ") + wrong.what());
  }
}

}  // namespace woadtide::core
