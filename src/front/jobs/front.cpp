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

constexpr double kReadTimeoutMs = 5'000;    // for a whole request, as long as bytes keep arriving
constexpr double kNoThreadRetryMs = 1'000;  // Retry-After if no thread is free
constexpr double kMaxWaitMs = 60'000;
constexpr std::size_t kMaxKeyBytes = 64, kMaxPathBytes = 512;

// The value of `name` in "name=value&name=value", without percent-decoding; empty if it is absent.
std::string find_parameter(std::string_view parameters, std::string_view name) {
  while (!parameters.empty()) {
    const std::string_view parameter = parameters.substr(0, parameters.find('&'));
    parameters.remove_prefix(std::min(parameters.size(), parameter.size() + 1));
    if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('='))
      return std::string(parameter.substr(name.size() + 1));
  }
  return {};
}

bool is_key(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyBytes && net::is_token(text) &&
         text.find_first_of("!#$%&'*+^`|") == std::string_view::npos;
}

Reply error_reply(int status, const char* message) { return {status, {}, std::string(message) + '\n', 0}; }

void send_reply(net::ClientLink& link, const Reply& reply, bool closes_link) {
  std::string fields;
  if (!reply.state.empty()) fields += "X-Job-State: " + reply.state + "\r\n";
  if (reply.status == 503 && reply.retry_after_ms > 0) {
    std::array<char, 48> retry{};
    std::snprintf(retry.data(), retry.size(), "Retry-After: %.3f\r\n", reply.retry_after_ms / 1000);
    fields += retry.data();
  }
  link.reply(reply.status, fields, reply.body, closes_link, true);
}

// A client that disconnects does not affect its job: the result can be requested again by key.
class PendingJobCall : public net::PendingRequest {
 public:
  void on_client_disconnected() override {}
};

}  // namespace

JobsFrontend::JobsFrontend(net::Socket listener, std::size_t max_links, bool serves_operators,
                           woadtide::jobs::DurableJobService& job_service, core::Clock& clock,
                           park::EventLoop& event_loop, park::ThreadPool& thread_pool)
    : serves_operators_(serves_operators),
      job_service_(job_service),
      clock_(clock),
      thread_pool_(thread_pool),
      buffer_pool_(max_links),
      link_context_{.clock = clock,
                    .pool = buffer_pool_,
                    .event_loop = event_loop,
                    .frontend = *this,
                    .read_timeout_ms = kReadTimeoutMs},
      client_links_(std::move(listener), max_links, link_context_) {
  client_links_.start();
}

JobsFrontend::~JobsFrontend() {
  client_links_.stop();
  std::unique_lock lock(mutex_);
  call_finished_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

std::shared_ptr<net::PendingRequest> JobsFrontend::handle_message(
    const std::shared_ptr<net::ClientLink>& link, net::IncomingMessage message) {
  const auto call = std::make_shared<Call>(parse_call(message));
  if (call->path == "/health/ready" && call->method == "GET") {
    send_reply(*link,
               job_service_.accepts_jobs() ? Reply{200, {}, "ready\n", 0} : error_reply(503, "not ready"),
               call->closes_link);
    return nullptr;
  }
  const auto run_call = [this, client_link = link, call]() mutable {
    send_reply(*client_link, handle_call(*call), call->closes_link);
    client_link.reset();  // it holds buffers of buffer_pool_
    const std::lock_guard lock(mutex_);
    calls_in_progress_ -= 1;
    call_finished_.notify_all();
  };
  {
    const std::lock_guard lock(mutex_);
    calls_in_progress_ += 1;
  }
  if (thread_pool_.try_submit(run_call)) return std::make_shared<PendingJobCall>();
  {
    const std::lock_guard lock(mutex_);
    calls_in_progress_ -= 1;
  }
  send_reply(*link, {503, {}, "there is no thread for it now\n", kNoThreadRetryMs}, call->closes_link);
  return nullptr;
}

JobsFrontend::Call JobsFrontend::parse_call(const net::IncomingMessage& message) const {
  const net::MessageHead& head = message.head;
  Call call;
  call.closes_link = message.closes_link;
  call.method = head.method;
  call.path = head.target.substr(0, head.target.find('?'));
  if (call.path.size() < head.target.size()) call.parameters = head.target.substr(call.path.size() + 1);
  if (head.target.size() > kMaxPathBytes) throw BadMessage(400, "the path is too long");
  if (call.method == "PUT") {
    net::parse_query_fields(head, call.job_request.query, message.received_at);
    // The job service sets X-Call-Id and X-Job-* itself, so those of the client are dropped.
    for (const net::HeaderField& field : head.fields)
      if (net::is_forwarded_field(field.name) && !head.connection_lists(field.name) &&
          !net::equals_ignore_case(field.name, "X-Call-Id") &&
          !net::equals_ignore_case(field.name.substr(0, 6), "X-Job-"))
        call.job_request.header_fields.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  for (const std::string_view piece : message.body) call.body += piece;
  return call;
}

Reply JobsFrontend::handle_call(Call& call) {
  if (call.path == "/jobs" && call.method == "GET" && serves_operators_)
    return job_service_.list_jobs(find_parameter(call.parameters, "state"));
  constexpr std::string_view kJobsPrefix = "/jobs/";
  if (!std::string_view(call.path).starts_with(kJobsPrefix)) return error_reply(404, "no such resource");
  const std::string name = call.path.substr(kJobsPrefix.size());
  const std::string key = name.substr(0, name.find('/'));
  if (!is_key(key)) return error_reply(400, "a key is 1 to 64 letters, digits and -._~");
  if (key.size() < name.size())
    return serves_operators_ ? handle_operator_call(call, key, name.substr(key.size()))
                             : error_reply(404, "no such resource");
  if (call.method == "GET") {
    const std::string wait = find_parameter(call.parameters, "wait");
    const auto wait_ms = net::parse_unsigned(wait.empty() ? "0" : wait);
    if (!wait_ms) return error_reply(400, "wait is a number of milliseconds");
    return job_service_.get(key, std::min(static_cast<double>(*wait_ms), kMaxWaitMs));
  }
  if (call.method == "DELETE") return job_service_.withdraw_job(key);
  if (call.method != "PUT") return error_reply(405, "PUT, GET or DELETE");
  call.job_request.key = key;
  call.job_request.target = call.path + (call.parameters.empty() ? "" : '?' + call.parameters);
  call.job_request.body = std::move(call.body);
  return job_service_.submit(std::move(call.job_request));
}

Reply JobsFrontend::handle_operator_call(const Call& call, const std::string& key,
                                         const std::string& subresource) {
  if (subresource == "/record" && call.method == "GET") return job_service_.get_record(key);
  if (subresource != "/settle" || call.method != "POST") return error_reply(404, "no such resource");
  const std::string as = find_parameter(call.parameters, "as"), who = find_parameter(call.parameters, "who");
  if ((as != "finished" && as != "failed") || who.empty() || call.body.empty())
    return error_reply(400, "settle wants as=finished or as=failed, who=NAME, and why as its body");
  return job_service_.settle(key, as == "finished", who, call.body);
}

}  // namespace woadtide::front::jobs
