#include "core/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "wire.hpp"

namespace woadtide::core {

namespace {
constexpr double kMaxValue = 1e9;
}

std::optional<woadtide::LoadReport> parse_load_report(std::string_view text, const std::string& x0,
                                                      const std::string& x1) {
  nlohmann::json pairs = nlohmann::json::object();
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    double value = 0;
    const char* const last = pair.data() + pair.size();
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, last, value);
    if (error != std::errc{} || end != last || !(value >= 0 && value <= kMaxValue)) return std::nullopt;
    pairs[std::string(pair.substr(0, equals))] = value;
  }
  return woadtide::wire::read_load_report(pairs, x0, x1);
}

}  // namespace woadtide::core
