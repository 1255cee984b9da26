// Durable jobs over HTTP/1.1, at a listener of its own; docs/jobs.md is its page. It turns bytes into calls
// to the Keeper and back, and must not know workers, discovery or other fronts.
//
//   PUT /jobs/KEY          takes a job: 202, or its end if that is known; the same again is the same job
//   GET /jobs/KEY?wait=MS  its end, or 202 after MS at the longest
//   DELETE /jobs/KEY       withdraws one that has not begun
//   GET /health/ready      200 while jobs are taken
// and at the operators' listener only:
//   GET /jobs?state=S, GET /jobs/KEY/record, POST /jobs/KEY/settle?as=finished|failed&who=W (the body says
//   why)
#pragma once

#include <string>

#include "core/clock.hpp"
#include "jobs/keeper.hpp"
#include "net/acceptor.hpp"
#include "net/buffer_pool.hpp"
#include "net/http.hpp"

namespace woadtide::front::jobs {

class Front {
 public:
  // At most `links` at once. `operators`: whether the operators' calls are answered here.
  Front(net::Socket listener, std::size_t links, bool operators, woadtide::jobs::Keeper& keeper,
        core::Clock& clock);

  int port() const { return acceptor_.port(); }

 private:
  struct Call {
    std::string method, path, parameters;
    std::string body;
    woadtide::jobs::Order order;  // its query and fields, where they were read
    bool closes = false;
  };
  void serve(net::Socket& socket);
  bool read(net::Intake& intake, net::Socket& socket, bool served, Call& call);
  woadtide::jobs::Reply answer(Call& call);
  woadtide::jobs::Reply answer_operator(const Call& call, const std::string& key, const std::string& rest);
  bool write(net::Socket& socket, const woadtide::jobs::Reply& reply, bool closes);

  const bool operators_;
  woadtide::jobs::Keeper& keeper_;
  core::Clock& clock_;
  net::BufferPool pool_;
  net::Acceptor acceptor_;  // last: its threads use all the others
};

}  // namespace woadtide::front::jobs
