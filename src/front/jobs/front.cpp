#include "front/jobs/front.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

#include "net/query_head.hpp"

namespace woadtide::front::jobs {

using net::BadMessage;
using net::Io;
using woadtide::jobs::Reply;

namespace {

constexpr double kFirstMs = 5'000;   // for a call to come whole
constexpr double kGapMs = 1'000;     // from one of its bytes to the next
constexpr double kIdleMs = 120'000;  // for the next call on a link
constexpr double kWriteMs = 10'000;
constexpr double kLastWordMs = 500;
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

}  // namespace

Front::Front(net::Socket listener, std::size_t links, bool operators, woadtide::jobs::Keeper& keeper,
             core::Clock& clock)
    : operators_(operators),
      keeper_(keeper),
      clock_(clock),
      pool_(links),
      acceptor_(operators ? "job-operators" : "jobs", std::move(listener), links, clock,
                [this](net::Socket& socket) { serve(socket); }) {}

void Front::serve(net::Socket& socket) {
  net::Intake intake(socket, clock_, pool_);
  try {
    for (bool served = false;; served = true) {
      Call call;
      if (!read(intake, socket, served, call)) return;
      if (!write(socket, answer(call), call.closes)) return;
    }
  } catch (const BadMessage& wrong) {
    write(socket, bad(wrong.status, wrong.what()), true);
  }
  // Closing with bytes unread would reset the link, and the answer could be lost.
  socket.shut(SHUT_WR);
  std::array<char, 1024> rest{};
  std::size_t got = 0;
  const double until = clock_.now() + kLastWordMs;
  while (socket.receive(rest.data(), rest.size(), got, until, clock_) == Io::done && clock_.now() < until) {
  }
}

// False where the link ended instead.
bool Front::read(net::Intake& intake, net::Socket& socket, bool served, Call& call) {
  Io why = Io::done;
  const auto length = intake.head(clock_.now() + (served ? kIdleMs : kFirstMs), why, kGapMs);
  if (!length) return false;
  const net::Head head = net::read_query_head(intake.view().substr(0, *length));
  const net::Framing framing = net::framing_of_query(head);
  call.closes = framing.closes;
  call.method = head.method;
  call.path = head.target.substr(0, head.target.find('?'));
  if (call.path.size() < head.target.size()) call.parameters = head.target.substr(call.path.size() + 1);
  if (head.target.size() > kMostPath) throw BadMessage(400, "the path is too long");
  if (call.method == "PUT") {
    net::read_figures(head, call.order.query, clock_.now());
    // Our own ids and lease stand where these would.
    for (const net::Field& field : head.fields)
      if (net::is_passed_on(field.name) && !head.connection_names(field.name) &&
          !net::same_name(field.name, "X-Call-Id") && !net::same_name(field.name.substr(0, 6), "X-Job-"))
        call.order.fields.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (net::same_name(head.find("Expect").value_or(""), "100-continue"))
    socket.send({"HTTP/1.1 100 Continue\r\n\r\n"}, clock_.now() + kGapMs, clock_);
  intake.use(*length);
  net::BodyDecoder decoder(framing);
  const double last = clock_.now() + 2 * kFirstMs;
  for (;;) {
    intake.use(decoder.feed(intake.view(), [&](std::string_view piece) {
      if (call.body.size() + piece.size() > net::kMostBody) throw BadMessage(413, "body over 64 KiB");
      call.body += piece;
    }));
    if (decoder.over()) return true;
    const Io io = intake.more(std::min(clock_.now() + kGapMs, last));
    if (io == Io::late) throw BadMessage(408, "the rest did not come");
    if (io != Io::done) return false;
  }
}

Reply Front::answer(Call& call) {
  if (call.path == "/health/ready" && call.method == "GET")
    return keeper_.takes() ? Reply{200, {}, "ready\n", 0} : bad(503, "not ready");
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

bool Front::write(net::Socket& socket, const Reply& reply, bool closes) {
  std::string fields;
  if (!reply.state.empty()) fields += "X-Job-State: " + reply.state + "\r\n";
  if (reply.status == 503 && reply.retry_after_ms > 0) {
    std::array<char, 48> retry{};
    std::snprintf(retry.data(), retry.size(), "Retry-After: %.3f\r\n", reply.retry_after_ms / 1000);
    fields += retry.data();
  }
  const std::string head = net::answer_head(reply.status, fields, reply.body.size(), closes);
  return socket.send({head, reply.body}, clock_.now() + kWriteMs, clock_) == Io::done && !closes;
}

}  // namespace woadtide::front::jobs
