// Frontend of the durable jobs: HTTP/1.1 at a listener of its own, specified in docs/jobs.md. It translates
// requests into calls of the job service and replies back, and must not know workers, discovery or other
// frontends.
//
//   PUT /jobs/KEY          submits a job: 202, or its result if that is known; repeating it is the same job
//   GET /jobs/KEY?wait=MS  the result, or 202 after at most MS milliseconds
//   DELETE /jobs/KEY       withdraws a job that has not started
//   GET /health/ready      200 while jobs are accepted
// and at the operators' listener only:
//   GET /jobs?state=S, GET /jobs/KEY/record, POST /jobs/KEY/settle?as=finished|failed&who=W (the body is the
//   reason)
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.hpp"
#include "jobs/keeper.hpp"
#include "net/buffer_pool.hpp"
#include "net/client_links.hpp"
#include "park/park.hpp"

namespace woadtide::front::jobs {

// Client links are served by the event loop; a call to the job service blocks a thread of the pool until it
// is answered.
class JobsFrontend : private net::Frontend {
 public:
  // Serves at most `max_links` client links at once. `serves_operators`: whether operators' calls are
  // answered here.
  JobsFrontend(net::Socket listener, std::size_t max_links, bool serves_operators,
               woadtide::jobs::DurableJobService& job_service, core::Clock& clock,
               park::EventLoop& event_loop, park::ThreadPool& thread_pool);
  // Stops listening and waits for the calls that are still in progress.
  ~JobsFrontend() override;

  // The port of the listener.
  int port() const { return client_links_.port(); }

 private:
  struct Call {
    std::string method, path, parameters;
    std::string body;
    woadtide::jobs::JobRequest job_request;  // of a PUT: query and header fields as received
    bool closes_link = false;
  };
  std::shared_ptr<net::PendingRequest> handle_message(const std::shared_ptr<net::ClientLink>& link,
                                                      net::IncomingMessage message) override;
  Call parse_call(const net::IncomingMessage& message) const;
  woadtide::jobs::Reply handle_call(Call& call);
  woadtide::jobs::Reply handle_operator_call(const Call& call, const std::string& key,
                                             const std::string& subresource);

  const bool serves_operators_;
  woadtide::jobs::DurableJobService& job_service_;
  core::Clock& clock_;
  park::ThreadPool& thread_pool_;
  net::BufferPool buffer_pool_;
  net::ClientLinkContext link_context_;
  std::mutex mutex_;
  std::condition_variable call_finished_;
  std::size_t calls_in_progress_ = 0;  // submitted to the thread pool
  net::ClientLinks client_links_;      // last, since it uses all other members
};

}  // namespace woadtide::front::jobs
