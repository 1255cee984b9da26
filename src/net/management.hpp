// Management address for operators: one command line in, one answer out, one connection per command. It is
// separate from client links and has its own reserve of threads and descriptors, so that it answers whatever
// clients do.
#pragma once

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>

#include "core/log.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

// Accepts connections on the management address and answers their commands on threads of the thread pool.
class ManagementServer : private park::EventHandler {
 public:
  static constexpr std::size_t kMaxConnections = 12;  // each needs a descriptor; two more are needed besides
  // Executes command `call` with its argument, which may be empty, and returns the answer as complete lines.
  // Called on pool threads.
  using CommandHandler = std::function<std::string(std::string_view call, std::string_view argument)>;

  // `listener` is a listening socket. All references must outlive this object.
  ManagementServer(Socket listener, const core::Clock& clock, park::EventLoop& event_loop,
                   park::ThreadPool& thread_pool, CommandHandler handler);
  // Shuts all connections down and waits for their threads.
  ~ManagementServer() override;
  ManagementServer(const ManagementServer&) = delete;
  ManagementServer& operator=(const ManagementServer&) = delete;

 private:
  struct Connection {
    Socket socket;                       // used by its thread; closed under the mutex
    bool busy = false, evicted = false;  // busy: the command line is complete and its answer is pending
  };

  void on_ready(park::ReadinessEvents events) override;
  void on_timeout() override;
  bool accept_connection();
  bool ensure_capacity();
  void serve(std::list<Connection>::iterator connection);
  bool read_line(Connection& connection, std::string& line);
  void set_busy(Connection& connection, bool busy);
  std::string execute_line(std::string_view line) const;

  const core::Clock& clock_;
  park::EventLoop& event_loop_;
  park::ThreadPool& thread_pool_;
  const CommandHandler handler_;
  Socket listener_;
  std::mutex mutex_;
  std::condition_variable connection_closed_;
  std::list<Connection> connections_;  // oldest first
  bool connection_waiting_ = false;    // a connection waits to be accepted
  core::LogRateLimit full_log_;
  park::EventLoop::Token token_ = park::EventLoop::kNoToken;
};

}  // namespace woadtide::net
