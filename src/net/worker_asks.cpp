#include "net/worker_asks.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "net/http.hpp"

namespace woadtide::net {

WorkerAsks::WorkerAsks(const HostGroup& hosts, core::Clock& clock, double patience_ms, Take take)
    : hosts_(hosts), clock_(clock), patience_ms_(patience_ms), take_(std::move(take)) {
  for (std::size_t i = 0; i < kThreads; ++i) threads_.emplace_back("asks", [this] { run(); });
}

WorkerAsks::~WorkerAsks() {
  const auto stop = [this] {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    came_.notify_all();
  };
  stop();
  threads_.clear();
}

void WorkerAsks::ask(Question question) {
  const std::lock_guard lock(mutex_);
  const std::pair<std::string, std::string> name{question.worker, question.key};
  for (Question& waiting : questions_)
    if (waiting.worker == question.worker && waiting.key == question.key) {
      waiting.epoch = std::max(waiting.epoch, question.epoch);
      return;
    }
  if (!under_way_.insert(name).second && question.key.empty()) return;
  questions_.push_back(std::move(question));
  came_.notify_one();
}

void WorkerAsks::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    came_.wait(lock, [this] { return stopping_ || !questions_.empty(); });
    if (stopping_) return;
    const Question question = std::move(questions_.front());
    questions_.pop_front();
    lock.unlock();
    Answer answer;
    try {
      answer = put(question);
    } catch (const std::exception&) {
      answer = {};  // what it said cannot be read, or there is no descriptor now: it will be asked again
    }
    take_(question, answer);
    lock.lock();
    under_way_.erase({question.worker, question.key});
  }
}

WorkerAsks::Answer WorkerAsks::put(const Question& question) {
  const auto host = hosts_.find(question.worker);
  if (!host) return {};
  Socket socket = Socket::make(host->address);
  if (!socket.connect(host->address, patience_ms_)) return {};
  const double until = clock_.now() + patience_ms_;
  std::string head = "GET /jobs" + (question.key.empty() ? "" : '/' + question.key) + " HTTP/1.1\r\nHost: ";
  head += host->dial + "\r\nX-Job-Epoch: " + std::to_string(question.epoch) + "\r\nConnection: close\r\n\r\n";
  if (socket.send({head}, until, clock_) != Io::done) return {};
  Intake intake(socket, clock_, pool_);
  Io why = Io::done;
  const auto length = intake.head(until, why);
  if (!length) return {};
  const Head read = read_answer_head(intake.view().substr(0, *length));
  const Framing framing = framing_of_answer(read);
  const bool good = read.status == 200;
  intake.use(*length);
  LineReader lines(intake, framing);
  Answer answer;
  if (!good || lines.next(answer.body, until) != LineReader::Got::line) return {};
  answer.came = true;
  return answer;
}

}  // namespace woadtide::net
