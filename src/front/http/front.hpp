// The frontend for queries over HTTP/1.1: turns a client's request into a core::Query, and the decision
// loop's core::Answer into the HTTP response. Must not depend on workers, service discovery or other
// frontends.
#pragma once

#include <atomic>
#include <memory>

#include "core/inbox.hpp"
#include "net/client_link.hpp"

namespace woadtide::front::http {

// Also answers the health checks GET /health/ready and GET /health/live.
class HttpFrontend : public net::Frontend {
 public:
  // Queries, and the news that their client has gone, are put into `inbox`, which must outlive the frontend.
  explicit HttpFrontend(core::Inbox& inbox) : inbox_(inbox) {}

  std::shared_ptr<net::PendingRequest> handle_message(const std::shared_ptr<net::ClientLink>& link,
                                                      net::IncomingMessage message) override;

  std::atomic<bool> reports_ready{false};  // /health/ready answers 200 if set, else 503

 private:
  core::Inbox& inbox_;
};

}  // namespace woadtide::front::http
