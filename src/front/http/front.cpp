#include "front/http/front.hpp"

#include <array>
#include <cstdio>
#include <string>
#include <utility>

#include "net/query_head.hpp"

namespace woadtide::front::http {

using core::AnswerKind;
using net::BadMessage;

namespace {

constexpr std::size_t kMaxIdBytes = 128;

// Owns the bytes that the views of a query's payload refer to.
struct PayloadStorage {
  std::shared_ptr<const void> message;
  std::string fields;
};

// The reply callback and pending request of one query: passes the decision loop's answer to the client link,
// and a disconnect of the client to the decision loop.
class QueryRequest : public core::ReplyCallback,
                     public net::PendingRequest,
                     public std::enable_shared_from_this<QueryRequest> {
 public:
  QueryRequest(std::shared_ptr<net::ClientLink> link, core::Inbox& inbox, std::string id, bool closes)
      : link_(std::move(link)), inbox_(inbox), id_(std::move(id)), closes_(closes) {}

  void on_answer(core::Answer answer) override {
    switch (answer.kind) {
      case AnswerKind::served:
        return link_->reply(200, "Content-Type: application/octet-stream\r\n", answer.body, closes_, true);
      case AnswerKind::refused: {
        std::array<char, 48> retry_after{};
        if (answer.retry_after_ms > 0)
          std::snprintf(retry_after.data(), retry_after.size(), "Retry-After: %.3f\r\n",
                        answer.retry_after_ms / 1000);
        return link_->reply(503, retry_after.data(), "refused\n", closes_, true);
      }
      case AnswerKind::failed:
        return link_->reply(502, {}, "failed\n", closes_, true);
      case AnswerKind::timed_out:
        return link_->reply(504, {}, "timed out\n", closes_, true);
      case AnswerKind::bad_query:
        return link_->reply(400, "Content-Type: text/plain\r\n", answer.body + '\n', true, true);
    }
  }
  void on_client_disconnected() override { inbox_.push(core::ClientDisconnected{id_, shared_from_this()}); }

 private:
  const std::shared_ptr<net::ClientLink> link_;
  core::Inbox& inbox_;
  const std::string id_;
  const bool closes_;
};

}  // namespace

std::shared_ptr<net::PendingRequest> HttpFrontend::handle_message(
    const std::shared_ptr<net::ClientLink>& link, net::IncomingMessage message) {
  const net::MessageHead& head = message.head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool is_readiness_check = path == "/health/ready", is_liveness_check = path == "/health/live";
  if (head.method == "GET" && (is_readiness_check || is_liveness_check)) {
    const bool healthy = is_liveness_check || reports_ready;
    link->reply(healthy ? 200 : 503, {}, healthy ? "ready\n" : "not ready\n", message.closes_link, false);
    return nullptr;
  }
  if (head.method != "POST")
    throw BadMessage(is_readiness_check || is_liveness_check ? 405 : 404, "no such resource");
  core::Query query;
  net::parse_query_fields(head, query, message.received_at);
  const auto id = head.find("X-Call-Id");
  if (!id || id->size() > kMaxIdBytes || !net::is_token(*id))
    throw BadMessage(400, "X-Call-Id is missing or malformed");
  query.id = *id;
  const auto storage = std::make_shared<PayloadStorage>(PayloadStorage{std::move(message.storage), {}});
  for (const net::HeaderField& field : head.fields)
    if (net::is_forwarded_field(field.name) && !head.connection_lists(field.name))
      storage->fields.append(field.name).append(": ").append(field.value).append("\r\n");
  query.payload = {storage, head.method, head.target, storage->fields, std::move(message.body)};
  auto request = std::make_shared<QueryRequest>(link, inbox_, query.id, message.closes_link);
  inbox_.push(core::QueryReceived{std::move(query), request});
  return request;
}

}  // namespace woadtide::front::http
