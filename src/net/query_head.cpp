#include "net/query_head.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <optional>

namespace woadtide::net {

namespace {

constexpr double kMaxBudgetMs = 1e9, kMaxCostUs = 1e12, kMaxSlots = 1e6;

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

// Parses decimal digits with an optional fraction, up to `max`. from_chars alone would accept "nan" and "inf"
// too: comparisons with those are always true or always false, and such a deadline would break the order of
// the decision loop's timers.
std::optional<double> parse_number(std::string_view text, double max) {
  double value = 0;
  const char* const last = text.data() + text.size();
  if (text.empty() || text.front() < '0' || text.front() > '9') return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (error != std::errc{} || end != last || !std::isfinite(value) || value > max) return std::nullopt;
  return value;
}

// Parses "480m" (milliseconds) or "1500u" (microseconds); the result is in ms.
std::optional<double> parse_budget_ms(std::string_view text) {
  if (text.empty()) return std::nullopt;
  const char unit = text.back();
  const double units_per_ms = unit == 'u' ? 1000 : 1;
  const auto value = parse_number(text.substr(0, text.size() - 1), kMaxBudgetMs * units_per_ms);
  if (!value || (unit != 'm' && unit != 'u')) return std::nullopt;
  return *value / units_per_ms;
}

// The value of `name` in "name=value,name=value".
std::optional<std::string_view> pair_value(std::string_view pairs, std::string_view name) {
  while (!pairs.empty()) {
    const std::string_view pair = pairs.substr(0, pairs.find(','));
    pairs.remove_prefix(std::min(pairs.size(), pair.size() + 1));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
      return pair.substr(name.size() + 1);
  }
  return std::nullopt;
}

bool is_one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view candidate) { return equals_ignore_case(candidate, name); });
}

// Rejects fields that the decision loop or a worker evaluates if they occur twice, or if Connection names
// them as hop-by-hop. They could then be read in two ways, and the worker could run another query than the
// one that was decided on.
void check_unambiguous(const MessageHead& head) {
  const std::initializer_list<std::string_view> single_fields = {
      "Host", "X-Call-Id", "X-Call-Class", "X-Budget", "X-Call-Cost", "X-Call-Info", "X-Again"};
  for (auto field = head.fields.begin(); field != head.fields.end(); ++field) {
    if (!is_one_of(field->name, single_fields)) continue;
    const auto same_field = [&](const HeaderField& other) {
      return equals_ignore_case(other.name, field->name);
    };
    if (std::any_of(field + 1, head.fields.end(), same_field) || head.connection_lists(field->name))
      throw BadMessage(400, std::string(field->name) + " is ambiguous");
  }
}

}  // namespace

bool is_forwarded_field(std::string_view name) {
  return !is_one_of(name, {"Host", "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade",
                           "Transfer-Encoding", "Expect", "Content-Length", "X-Budget"});
}

void parse_query_fields(const MessageHead& head, core::Query& query, double received) {
  check_unambiguous(head);
  const auto class_name = head.find("X-Call-Class"), budget = head.find("X-Budget");
  if (!class_name) throw BadMessage(400, "X-Call-Class is missing");
  const auto parsed_budget_ms = parse_budget_ms(budget.value_or(""));
  if (!parsed_budget_ms) throw BadMessage(400, "X-Budget is missing or malformed");
  query.class_name = *class_name;
  query.deadline = received + *parsed_budget_ms;
  if (const auto cost_text = head.find("X-Call-Cost")) {
    const auto cost = parse_number(*cost_text, kMaxCostUs);
    if (!cost) throw BadMessage(400, "X-Call-Cost is malformed");
    query.cost_ms = *cost / 1000;
  }
  if (const auto slots_text = pair_value(head.find("X-Call-Info").value_or(""), "slots")) {
    const auto slots = parse_number(*slots_text, kMaxSlots);
    if (!slots || *slots <= 0) throw BadMessage(400, "X-Call-Info's slots are malformed");
    query.slots = *slots;
  }
}

std::string response_head(int status, std::string_view fields, std::size_t body_size, bool closes) {
  std::string head = "HTTP/1.1 ";
  head.append(std::to_string(status)).append(" ").append(reason_phrase(status)).append("\r\n").append(fields);
  head.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n");
  if (closes) head.append("Connection: close\r\n");
  return head.append("\r\n");
}

}  // namespace woadtide::net
