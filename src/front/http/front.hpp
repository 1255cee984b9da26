// Queries over HTTP/1.1, as PROTOCOL has them: turns a client's message into a core::Query, and the loop's
// core::Answer into what goes back. Must not know workers, discovery or other fronts.
#pragma once

#include <atomic>
#include <memory>

#include "core/inbox.hpp"
#include "net/client_link.hpp"

namespace woadtide::front::http {

class Front : public net::Front {
 public:
  explicit Front(core::Inbox& inbox) : inbox_(inbox) {}

  std::shared_ptr<net::Errand> take(const std::shared_ptr<net::ClientLink>& link,
                                    net::Message message) override;

  std::atomic<bool> ready{false};  // what /health/ready says

 private:
  core::Inbox& inbox_;
};

}  // namespace woadtide::front::http
