#include "front/jobs/front.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

#include "net/query_head.hpp"

namespace woadtide::front::jobs {

using net::BadMessage;
using woadtide::jobs::Reply;

namespace {

constexpr double kFirstMs = 5'000;     // for a call to come whole, as long as its bytes go on coming
constexpr double kNoThreadMs = 1'000;  // when to come back where there is none
constexpr double kMostWaitMs = 60'000;
constexpr std::size_t kMostKey = 64, kMostPath = 512;

// `name` in "name=value&name=value"; as it stands, nothing is decoded.
std::string parameter(std::string_view all, std::string_view name) {
  while (!all.empty()) {
    const std::string_view one = all.substr(0, all.find('&'));
    all.remove_prefix(std::min(all.size(), one.size() + 1));
    if (one.starts_with(name) && one.substr(name.size()).starts_with('='))
      return std::string(one.substr(name.size() + 1));
  }
  return {};
}

bool is_key(std::string_view text) {
  return !text.empty() && text.size() <= kMostKey && net::is_token(text) &&
         text.find_first_of("!#$%&'*+^`|") == std::string_view::npos;
}

Reply bad(int status, const char* what) { return {status, {}, std::string(what) + '\n', 0}; }

void write(net::ClientLink& link, const Reply& reply, bool closes) {
  std::string fields;
  if (!reply.state.empty()) fields += "X-Job-State: " + reply.state + "\r\n";
  if (reply.status == 503 && reply.retry_after_ms > 0) {
    std::array<char, 48> retry{};
    std::snprintf(retry.data(), retry.size(), "Retry-After: %.3f\r\n", reply.retry_after_ms / 1000);
    fields += retry.data();
  }
  link.reply(reply.status, fields, reply.body, closes, true);
}

// A client that goes leaves its job as it is: it is asked for again by its key.
class Waits : public net::Errand {
 public:
  void gone() override {}
};

}  // namespace

Front::Front(net::Socket listener, std::size_t links, bool operators, woadtide::jobs::Keeper& keeper,
             core::Clock& clock, park::Park& park, park::Crew& crew)
    : operators_(operators),
      keeper_(keeper),
      clock_(clock),
      crew_(crew),
      pool_(links),
      side_{.clock = clock, .pool = pool_, .park = park, .front = *this, .first_ms = kFirstMs},
      links_(std::move(listener), links, side_) {
  links_.start();
}

Front::~Front() {
  links_.stop();
  std::unique_lock lock(mutex_);
  answered_.wait(lock, [this] { return at_work_ == 0; });
}

std::shared_ptr<net::Errand> Front::take(const std::shared_ptr<net::ClientLink>& link, net::Message message) {
  const auto call = std::make_shared<Call>(read(message));
  if (call->path == "/health/ready" && call->method == "GET") {
    write(*link, keeper_.takes() ? Reply{200, {}, "ready\n", 0} : bad(503, "not ready"), call->closes);
    return nullptr;
  }
  const auto job = [this, at = link, call]() mutable {
    write(*at, answer(*call), call->closes);
    at.reset();  // it holds buffers of ours
    const std::lock_guard lock(mutex_);
    at_work_ -= 1;
    answered_.notify_all();
  };
  {
    const std::lock_guard lock(mutex_);
    at_work_ += 1;
  }
  if (crew_.take(job)) return std::make_shared<Waits>();
  {
    const std::lock_guard lock(mutex_);
    at_work_ -= 1;
  }
  write(*link, {503, {}, "there is no thread for it now\n", kNoThreadMs}, call->closes);
  return nullptr;
}

Front::Call Front::read(const net::Message& message) const {
  const net::Head& head = message.head;
  Call call;
  call.closes = message.closes;
  call.method = head.method;
  call.path = head.target.substr(0, head.target.find('?'));
  if (call.path.size() < head.target.size()) call.parameters = head.target.substr(call.path.size() + 1);
  if (head.target.size() > kMostPath) throw BadMessage(400, "the path is too long");
  if (call.method == "PUT") {
    net::read_figures(head, call.order.query, message.received);
    // Our own ids and lease stand where these would.
    for (const net::Field& field : head.fields)
      if (net::is_passed_on(field.name) && !head.connection_names(field.name) &&
          !net::same_name(field.name, "X-Call-Id") && !net::same_name(field.name.substr(0, 6), "X-Job-"))
        call.order.fields.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  for (const std::string_view piece : message.body) call.body += piece;
  return call;
}

Reply Front::answer(Call& call) {
  if (call.path == "/jobs" && call.method == "GET" && operators_)
    return keeper_.list(parameter(call.parameters, "state"));
  constexpr std::string_view kJobs = "/jobs/";
  if (!std::string_view(call.path).starts_with(kJobs)) return bad(404, "no such resource");
  const std::string name = call.path.substr(kJobs.size());
  const std::string key = name.substr(0, name.find('/'));
  if (!is_key(key)) return bad(400, "a key is 1 to 64 letters, digits and -._~");
  if (key.size() < name.size())
    return operators_ ? answer_operator(call, key, name.substr(key.size())) : bad(404, "no such resource");
  if (call.method == "GET") {
    const std::string wait = parameter(call.parameters, "wait");
    const auto ms = net::whole_number(wait.empty() ? "0" : wait);
    if (!ms) return bad(400, "wait is a number of milliseconds");
    return keeper_.get(key, std::min(static_cast<double>(*ms), kMostWaitMs));
  }
  if (call.method == "DELETE") return keeper_.withdraw(key);
  if (call.method != "PUT") return bad(405, "PUT, GET or DELETE");
  call.order.key = key;
  call.order.target = call.path + (call.parameters.empty() ? "" : '?' + call.parameters);
  call.order.body = std::move(call.body);
  return keeper_.put(std::move(call.order));
}

Reply Front::answer_operator(const Call& call, const std::string& key, const std::string& rest) {
  if (rest == "/record" && call.method == "GET") return keeper_.show(key);
  if (rest != "/settle" || call.method != "POST") return bad(404, "no such resource");
  const std::string as = parameter(call.parameters, "as"), who = parameter(call.parameters, "who");
  if ((as != "finished" && as != "failed") || who.empty() || call.body.empty())
    return bad(400, "settle wants as=finished or as=failed, who=NAME, and why as its body");
  return keeper_.settle(key, as == "finished", who, call.body);
}

}  // namespace woadtide::front::jobs
