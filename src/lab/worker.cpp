#include "lab/worker.hpp"

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace woadtide::lab {

using net::IoResult;
using nlohmann::json;

namespace {
constexpr double kIoTimeoutMs = 60'000;
constexpr std::size_t kMaxLinks = 256;
}  // namespace

TestWorker::TestWorker(int port, const std::string& ledger, bool answers_inquiries, Planner planner)
    : answers_inquiries_(answers_inquiries),
      planner_(std::move(planner)),
      ledger_(ledger.empty() ? nullptr : std::make_unique<Ledger>(ledger)),
      acceptor_("lab-worker", net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(port))),
                kMaxLinks, clock_, [this](net::Socket& socket) { serve(socket); }) {
  if (!ledger_) return;
  const std::lock_guard lock(mutex_);
  for (const LedgerEntry& entry : Ledger::read(ledger)) {
    JobRecord& record = jobs_[entry.key];
    record.newest_epoch = std::max(record.newest_epoch, entry.epoch);
    if (entry.what == "begun") record.begun = true, record.ended.clear();
    if (entry.what == "finished" || entry.what == "failed")
      record.ended = entry.what, record.result = entry.result;
  }
}

TestWorker::~TestWorker() { stopping_ = true; }

void TestWorker::serve(net::Socket& socket) {
  net::BufferedInput input(socket, clock_, pool_);
  for (;;) {
    IoResult result = IoResult::done;
    const auto length = input.read_head(clock_.now() + idle_ms_, result);
    if (!length) return;
    const net::MessageHead head = net::parse_request_head(input.view().substr(0, *length));
    const net::Framing framing = net::request_framing(head);
    const std::string method(head.method);
    const std::string path(head.target.substr(0, head.target.find('?')));
    ExecutionRequest request;
    request.id = head.find("X-Call-Id").value_or("");
    request.key = head.find("X-Job-Key").value_or(request.id);
    request.epoch = net::parse_unsigned(head.find("X-Job-Epoch").value_or("0")).value_or(0);
    request.lease = head.find("X-Job-Lease").value_or("");
    request.host = head.find("Host").value_or("");
    request.at_most_once = head.find("X-Call-Class").value_or("") == "refund-payout";
    request.budget_ms = std::atof(std::string(head.find("X-Budget").value_or("")).c_str());
    input.consume(*length);
    net::BodyDecoder decoder(framing);
    for (;;) {
      input.consume(decoder.decode(input.view(), [&](std::string_view piece) { request.body += piece; }));
      if (decoder.complete()) break;
      if (input.read_more(clock_.now() + kIoTimeoutMs) != IoResult::done) return;
    }
    const bool is_inquiry = method == "GET" && (path == "/jobs" || path.starts_with("/jobs/"));
    const bool keep_open = is_inquiry
                               ? answer_inquiry(socket, path.size() > 6 ? path.substr(6) : "", request.epoch)
                               : execute(socket, request);
    if (!keep_open || framing.closes_link) return;
  }
}

bool TestWorker::write(net::Socket& socket, const std::string& text) {
  return socket.send({text}, clock_.now() + kIoTimeoutMs, clock_) == IoResult::done;
}

bool TestWorker::answer_inquiry(net::Socket& socket, const std::string& key, std::uint64_t epoch) {
  if (!answers_inquiries_ || !ledger_) return write(socket, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
  json reply = {{"ledger", ledger_->id()}};
  if (!key.empty()) {
    const std::lock_guard lock(mutex_);
    JobRecord& record = jobs_[key];
    if (epoch > record.newest_epoch) {
      record.newest_epoch = epoch;
      ledger_->add({key, "fence", epoch, false, {}});
    }
    reply["job"] = key;
    // The outcome of an execution that an earlier process started and did not finish is unknown.
    reply["state"] = !record.begun            ? "never"
                     : !record.ended.empty()  ? record.ended
                     : record.in_this_process ? "running"
                                              : "unknown";
    if (record.ended == "finished") reply["result"] = record.result;
  }
  const std::string body = reply.dump() + '\n';
  return write(socket,
               "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool TestWorker::write_event(net::Socket& socket, const ExecutionRequest& request, const std::string& state,
                             const std::string& result) {
  json event = {{"id", request.id}, {"from", "lab"}, {"state", state}};
  if (state == "done") event["result"] = result;
  const std::string text = event.dump() + '\n';
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return write(socket, size + text + "\r\n");
}

bool TestWorker::execute(net::Socket& socket, const ExecutionRequest& request) {
  const ExecutionPlan plan = planner_(request);
  if (plan.outcome == ExecutionPlan::Outcome::refuse)
    return write(socket, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
  if (answers_inquiries_ && ledger_) {
    const std::lock_guard lock(mutex_);
    JobRecord& record = jobs_[request.key];
    // An epoch below the newest is refused, and an at-most-once job that has started is not started again.
    if (request.epoch < record.newest_epoch)
      return write(socket, "HTTP/1.1 503 Old epoch\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    if (request.at_most_once && record.begun)
      return write(socket, "HTTP/1.1 409 Begun before\r\nContent-Length: 0\r\n\r\n");
    record.newest_epoch = request.epoch;
    record.begun = record.in_this_process = true;
    record.ended.clear();
  }
  if (ledger_) ledger_->add({request.key, "begun", request.epoch, request.at_most_once, {}, request.host});
  executions_ += 1;
  bool link_open = write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") &&
                   write_event(socket, request, "started");
  const double end_ms = clock_.now() + plan.duration_ms;
  double next_heartbeat_ms =
      plan.heartbeat_interval_ms > 0 ? clock_.now() + plan.heartbeat_interval_ms : 1e18;
  while (clock_.now() < end_ms && !stopping_) {
    ::poll(nullptr, 0,
           static_cast<int>(std::clamp(std::min(end_ms, next_heartbeat_ms) - clock_.now(), 1.0, 20.0)));
    if (clock_.now() < next_heartbeat_ms) continue;
    next_heartbeat_ms += plan.heartbeat_interval_ms;
    link_open = link_open && write_event(socket, request, "running");
  }
  if (plan.outcome == ExecutionPlan::Outcome::cut || stopping_) return false;
  const bool succeeded = plan.outcome == ExecutionPlan::Outcome::done;
  const std::string outcome_text = !plan.result.empty() ? plan.result : "done " + request.key;
  // The execution continues after a failure of its link: neither a cancel nor a timeout stops it.
  if (ledger_) {
    const std::lock_guard lock(mutex_);
    ledger_->add(
        {request.key, succeeded ? "finished" : "failed", request.epoch, request.at_most_once, outcome_text});
    JobRecord& record = jobs_[request.key];
    record.ended = succeeded ? "finished" : "failed";
    record.result = outcome_text;
  }
  return link_open && write_event(socket, request, succeeded ? "done" : "failed", outcome_text) &&
         write(socket, "0\r\n\r\n");
}

}  // namespace woadtide::lab
