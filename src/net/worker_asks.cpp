#include "net/worker_asks.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "net/http.hpp"

namespace woadtide::net {

JobStatusClient::JobStatusClient(const EndpointListClient& endpoint_list, core::Clock& clock,
                                 double timeout_ms, AnswerHandler on_answer)
    : endpoint_list_(endpoint_list),
      clock_(clock),
      timeout_ms_(timeout_ms),
      on_answer_(std::move(on_answer)) {
  for (std::size_t i = 0; i < kThreadCount; ++i) threads_.emplace_back("asks", [this] { run_thread(); });
}

JobStatusClient::~JobStatusClient() {
  const auto stop = [this] {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    question_added_.notify_all();
  };
  stop();
  threads_.clear();
}

void JobStatusClient::ask(Question question) {
  const std::lock_guard lock(mutex_);
  const std::pair<std::string, std::string> worker_and_key{question.worker, question.key};
  for (Question& waiting : pending_)
    if (waiting.worker == question.worker && waiting.key == question.key) {
      waiting.epoch = std::max(waiting.epoch, question.epoch);
      return;
    }
  if (!active_.insert(worker_and_key).second && question.key.empty()) return;
  pending_.push_back(std::move(question));
  question_added_.notify_one();
}

void JobStatusClient::run_thread() {
  std::unique_lock lock(mutex_);
  for (;;) {
    question_added_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    if (stopping_) return;
    const Question question = std::move(pending_.front());
    pending_.pop_front();
    lock.unlock();
    Answer answer;
    try {
      answer = send_question(question);
    } catch (const std::exception&) {
      answer = {};  // unreadable answer, or no descriptor available: the question will be repeated
    }
    on_answer_(question, answer);
    lock.lock();
    active_.erase({question.worker, question.key});
  }
}

JobStatusClient::Answer JobStatusClient::send_question(const Question& question) {
  const auto endpoint = endpoint_list_.find(question.worker);
  if (!endpoint) return {};
  Socket socket = Socket::create(endpoint->address);
  if (!socket.connect(endpoint->address, timeout_ms_)) return {};
  const double deadline = clock_.now() + timeout_ms_;
  std::string head = "GET /jobs" + (question.key.empty() ? "" : '/' + question.key) + " HTTP/1.1\r\nHost: ";
  head +=
      endpoint->dial + "\r\nX-Job-Epoch: " + std::to_string(question.epoch) + "\r\nConnection: close\r\n\r\n";
  if (socket.send({head}, deadline, clock_) != IoResult::done) return {};
  BufferedInput intake(socket, clock_, buffer_pool_);
  IoResult read_status = IoResult::done;
  const auto length = intake.read_head(deadline, read_status);
  if (!length) return {};
  const MessageHead response_head = parse_response_head(intake.view().substr(0, *length));
  const Framing framing = response_framing(response_head);
  const bool ok = response_head.status == 200;
  intake.consume(*length);
  LineReader lines(intake, framing);
  Answer answer;
  if (!ok || lines.next(answer.body, deadline) != LineReader::Result::line) return {};
  answer.received = true;
  return answer;
}

}  // namespace woadtide::net
