#include "net/query_head.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <optional>

namespace woadtide::net {

namespace {

constexpr double kMostBudgetMs = 1e9, kMostCostMicros = 1e12, kMostSlots = 1e6;

std::string_view reason(int status) {
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

// Plain decimal digits, a fraction at most, up to `most`. from_chars alone would take "nan" and "inf" too:
// they pass or fail every comparison, and one of them as a deadline would break the order of the loop's
// timers.
std::optional<double> number(std::string_view text, double most) {
  double value = 0;
  const char* const last = text.data() + text.size();
  if (text.empty() || text.front() < '0' || text.front() > '9') return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (error != std::errc{} || end != last || !std::isfinite(value) || value > most) return std::nullopt;
  return value;
}

// "480m" or "1500u".
std::optional<double> budget_ms(std::string_view text) {
  if (text.empty()) return std::nullopt;
  const char unit = text.back();
  const double in_ms = unit == 'u' ? 1000 : 1;
  const auto value = number(text.substr(0, text.size() - 1), kMostBudgetMs * in_ms);
  if (!value || (unit != 'm' && unit != 'u')) return std::nullopt;
  return *value / in_ms;
}

// `name` in "name=value,name=value".
std::optional<std::string_view> figure(std::string_view pairs, std::string_view name) {
  while (!pairs.empty()) {
    const std::string_view pair = pairs.substr(0, pairs.find(','));
    pairs.remove_prefix(std::min(pairs.size(), pair.size() + 1));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
      return pair.substr(name.size() + 1);
  }
  return std::nullopt;
}

bool is_one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(), [&](std::string_view one) { return same_name(one, name); });
}

// What the loop or a worker goes by. Twice, or named as meant for this link only, it could be read in two
// ways: the worker could run another query than the one that was decided on.
void check_unambiguous(const Head& head) {
  const std::initializer_list<std::string_view> once = {
      "Host", "X-Call-Id", "X-Call-Class", "X-Budget", "X-Call-Cost", "X-Call-Info", "X-Again"};
  for (auto field = head.fields.begin(); field != head.fields.end(); ++field) {
    if (!is_one_of(field->name, once)) continue;
    const auto again = [&](const Field& other) { return same_name(other.name, field->name); };
    if (std::any_of(field + 1, head.fields.end(), again) || head.connection_names(field->name))
      throw BadMessage(400, std::string(field->name) + " is ambiguous");
  }
}

}  // namespace

bool is_passed_on(std::string_view name) {
  return !is_one_of(name, {"Host", "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade",
                           "Transfer-Encoding", "Expect", "Content-Length", "X-Budget"});
}

void read_figures(const Head& head, core::Query& query, double received) {
  check_unambiguous(head);
  const auto kind = head.find("X-Call-Class"), budget = head.find("X-Budget");
  if (!kind) throw BadMessage(400, "X-Call-Class is missing");
  const auto wait = budget_ms(budget.value_or(""));
  if (!wait) throw BadMessage(400, "X-Budget is missing or malformed");
  query.class_name = *kind;
  query.deadline = received + *wait;
  if (const auto told = head.find("X-Call-Cost")) {
    const auto cost = number(*told, kMostCostMicros);
    if (!cost) throw BadMessage(400, "X-Call-Cost is malformed");
    query.cost_ms = *cost / 1000;
  }
  if (const auto told = figure(head.find("X-Call-Info").value_or(""), "slots")) {
    const auto slots = number(*told, kMostSlots);
    if (!slots || *slots <= 0) throw BadMessage(400, "X-Call-Info's slots are malformed");
    query.slots = *slots;
  }
}

std::string answer_head(int status, std::string_view fields, std::size_t body_size, bool closes) {
  std::string head = "HTTP/1.1 ";
  head.append(std::to_string(status)).append(" ").append(reason(status)).append("\r\n").append(fields);
  head.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n");
  if (closes) head.append("Connection: close\r\n");
  return head.append("\r\n");
}

}  // namespace woadtide::net
