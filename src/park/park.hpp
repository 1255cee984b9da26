// Event loop and thread pool. Whatever waits, for I/O or for a time, is registered with the event loop, which
// serves all registrations on one thread; whatever has to block runs in the thread pool, on a thread that it
// occupies only for as long as it blocks. This layer knows descriptors and times. It must not depend on what
// they carry: no protocol and no scheduling decisions.
//
// Invariants: An event handler is called on the event loop's thread only, by one call at a time, and never
// after remove() followed by quiesce(). I/O goes before time: on_ready() is called before on_timeout().
// Thread pool: a job that try_submit() accepted runs once, and the destructor waits for all running jobs.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/log.hpp"
#include "park/fd.hpp"
#include "park/thread.hpp"

namespace woadtide::park {

// Readiness of a descriptor, as epoll reports it.
struct ReadinessEvents {
  bool readable = false, writable = false;
  bool closed = false;  // the peer has shut down its side, or the connection is broken
};

// Event handler: receives the events of one registration. Its functions must not block.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  // The readiness of the descriptor has changed since the last call (edge-triggered): the handler has to read
  // or write until that would block, and is not notified again of anything that it leaves.
  virtual void on_ready(ReadinessEvents events) = 0;
  // The time set by set_timeout() has come.
  virtual void on_timeout() = 0;
};

// Event loop over epoll, with a thread of its own. All member functions may be called from any thread.
class EventLoop {
 public:
  using Token = std::uint64_t;  // names a registration; never reused
  static constexpr Token kNoToken = 0;
  static constexpr double kNever = 1e18;  // as a time in ms: no timeout

  // Starts the loop's thread. `clock` must outlive the loop. Throws std::system_error.
  explicit EventLoop(const core::Clock& clock);
  // Waits until the call that runs at the moment has returned.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Registers a handler for the events of `fd`; -1 registers it for timeouts only. Throws std::system_error
  // where the kernel cannot add the descriptor.
  Token add(std::shared_ptr<EventHandler> handler, int fd);
  // The same for a handler that the caller owns; it calls remove() and quiesce() before it destroys it.
  Token add(EventHandler& handler, int fd) {
    return add(std::shared_ptr<EventHandler>(std::shared_ptr<EventHandler>(), &handler), fd);
  }
  // on_timeout() is called once the clock reaches `when` (ms). Replaces the time that was set before.
  void set_timeout(Token token, double when);
  // on_ready() is called with these events, as if the descriptor had reported them.
  void wake(Token token, ReadinessEvents events);
  // Removes a registration. To be called before the descriptor is closed. A call to the handler that has
  // begun may still be running.
  void remove(Token token);
  // Waits until no handler call is running that had begun before. Does nothing on the loop's own thread.
  void quiesce();
  // Returns the number of registrations.
  std::size_t registration_count();

 private:
  struct Registration {
    std::shared_ptr<EventHandler> handler;
    int fd = -1;
    double timeout_at = kNever;
    double queued_at = kNever;  // key of its entry in timeouts_, at most one: at `timeout_at` or earlier
    ReadinessEvents pending_events = {};  // those passed to wake() since the last on_ready()
    bool is_woken = false;                // is in woken_
  };
  void run();
  void collect_woken(std::vector<std::pair<Token, ReadinessEvents>>& events);
  void dispatch_ready(const std::vector<std::pair<Token, ReadinessEvents>>& events);
  void dispatch_timeouts(double now);
  void interrupt_wait();

  const core::Clock& clock_;
  Fd epoll_fd_, wake_fd_;
  std::mutex mutex_;
  std::condition_variable iteration_ended_;
  std::unordered_map<Token, Registration> registrations_;
  std::multimap<double, Token> timeouts_;
  std::vector<Token> woken_;
  Token next_token_ = kNoToken + 1;
  std::uint64_t phase_ = 0;   // of the loop's thread; odd while it calls handlers
  double waiting_until_ = 0;  // end of the epoll_wait() in progress; 0: not waiting
  bool stopping_ = false;
  Thread thread_;  // last: it uses all the other members
};

// Thread pool that starts threads on demand. Threads end after they have been idle for long.
class ThreadPool {
 public:
  struct Limits {
    std::size_t max_threads = 64;       // threads for jobs of any kind
    std::size_t urgent_reserve = 16;    // further threads, for urgent jobs only
    std::size_t kept_idle_threads = 1;  // idle threads that never end
    double idle_timeout_ms = 1'000;     // after which the other idle threads end
  };
  // Starts a thread. Throws std::system_error where the system cannot create one.
  using ThreadFactory = std::function<Thread(const std::string& name, std::function<void()> body)>;
  // `start`: for tests; by default a Thread is started.
  explicit ThreadPool(Limits limits, ThreadFactory start = {});
  // Waits for all running jobs.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Runs the job on an idle thread or a new one. Returns false where no thread is available, because of the
  // limit or because the system cannot create one: the job will not run. `urgent`: for jobs that must proceed
  // whatever else is running.
  bool try_submit(std::function<void()> job, bool urgent = false);
  // Changes the limit on threads from now on. Running jobs are not affected.
  void set_max_threads(std::size_t most);
  // Returns the number of threads, idle ones included.
  std::size_t thread_count();

 private:
  struct PoolThread : std::enable_shared_from_this<PoolThread> {
    std::function<void()> job;
    std::condition_variable wake;
    bool ended = false;
    Thread thread;
  };
  void run_jobs(PoolThread& pool_thread);
  void remove_ended_threads();

  Limits limits_;  // the maximum of threads is guarded by mutex_
  const ThreadFactory thread_factory_;
  std::mutex mutex_;
  std::condition_variable thread_ended_;
  std::list<std::shared_ptr<PoolThread>> threads_;
  std::vector<std::shared_ptr<PoolThread>>
      idle_;  // the last one became idle most recently, and is used first: its stack is likely still cached
  bool stopping_ = false;
  core::LogRateLimit start_failure_log_;
  const core::Clock clock_;  // for start_failure_log_ only
};

}  // namespace woadtide::park
