// Asks workers for the state of jobs: GET /jobs/KEY, as docs/worker-leases.md specifies. A few threads, each
// question on a connection of its own; at most one pending question per worker and key.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "net/buffer_pool.hpp"
#include "net/host_group.hpp"
#include "park/thread.hpp"

namespace woadtide::net {

// Sends questions about jobs to workers in the background.
class JobStatusClient {
 public:
  static constexpr std::size_t kThreadCount = 3;

  // A question about one job; with an empty key, about the worker as a whole (GET /jobs).
  struct Question {
    std::string worker, key;
    std::uint64_t epoch = 0;
  };
  // The worker's answer; it has come if a complete 200 response was received.
  struct Answer {
    bool received = false;  // false: the worker could not be reached or did not answer
    std::string body;       // JSON
  };
  using AnswerHandler = std::function<void(const Question&, const Answer&)>;

  // `on_answer` is called on the threads, once for each question that ask() has neither merged nor dropped.
  // `timeout_ms` applies to the connect and to the response in turn.
  JobStatusClient(const EndpointListClient& endpoint_list, core::Clock& clock, double timeout_ms,
                  AnswerHandler on_answer);
  // Waits for the threads; pending questions are dropped.
  ~JobStatusClient();
  JobStatusClient(const JobStatusClient&) = delete;
  JobStatusClient& operator=(const JobStatusClient&) = delete;

  // Queues a question. If one for the same worker and key is pending, that one gets the higher of the epochs
  // instead. A question without a key is dropped while one to the same worker is in progress.
  void ask(Question question);

 private:
  void run_thread();
  Answer send_question(const Question& question);

  const EndpointListClient& endpoint_list_;
  core::Clock& clock_;
  const double timeout_ms_;
  const AnswerHandler on_answer_;
  BufferPool buffer_pool_{kThreadCount};
  std::mutex mutex_;
  std::condition_variable question_added_;
  std::deque<Question> pending_;
  std::set<std::pair<std::string, std::string>> active_;  // worker, key
  bool stopping_ = false;
  std::vector<park::Thread> threads_;  // last: they use all other members
};

}  // namespace woadtide::net
