#include "net/management.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace woadtide::net {

namespace {
constexpr std::size_t kMostLine = 512;
constexpr double kLineMs = 10'000;  // somebody may be typing it; at the edge such a caller gives way at once
constexpr double kAnswerMs = 1'000;
constexpr double kReapMs = 1'000;
constexpr int kFullMs = 5;  // how long to wait where there is no room, before another look

std::string_view word_of(std::string_view& text) {
  constexpr std::string_view kSpace = " \t\r";
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  const std::string_view word = text.substr(0, text.find_first_of(kSpace));
  text.remove_prefix(word.size());
  return word;
}
}  // namespace

Management::Management(Socket listener, const core::Clock& clock, Answer answer)
    : clock_(clock),
      answer_(std::move(answer)),
      listener_(std::move(listener)),
      wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (!wake_) throw std::system_error(errno, std::generic_category(), "eventfd");
  // A caller that gave up between poll and accept must not block the thread.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  thread_ = Thread("management", [this] { run(); });
}

Management::~Management() {
  const std::uint64_t one = 1;
  if (::write(wake_.get(), &one, sizeof one) < 0) core::log_line("management: cannot be woken");
  thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (Caller& caller : callers_)
      if (caller.socket) caller.socket.shut();
  }
  callers_.clear();
}

void Management::run() {
  for (;;) {
    const auto [come, woken] = wait_for(listener_.fd(), POLLIN, wake_.get(), clock_.now() + kReapMs, clock_);
    if (woken != 0) return;
    reap();
    if (come == 0) continue;
    make_room();
    accept_one();
  }
}

void Management::accept_one() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) {
    if (errno == EMFILE || errno == ENFILE) ::poll(nullptr, 0, kFullMs);
    return;
  }
  try {
    const std::lock_guard lock(mutex_);
    Caller& caller = callers_.emplace_back();
    caller.socket = std::move(socket);
    try {
      caller.thread = Thread("caller", [this, &caller] { serve(caller); });
    } catch (...) {
      callers_.pop_back();
      throw;
    }
  } catch (const std::exception& failed) {
    core::log_line(std::string("management: ") + failed.what());
  }
}

// Joins the threads of callers that are done, outside the mutex, which they need for their end.
void Management::reap() {
  std::list<Caller> over;
  const std::lock_guard lock(mutex_);
  for (auto it = callers_.begin(); it != callers_.end();) {
    const auto next = std::next(it);
    if (it->over) over.splice(over.end(), callers_, it);
    it = next;
  }
}

// At the edge the oldest one that is owed no answer gives way: some keep a link for seconds and say nothing
// whole, and the next call must not wait for them.
void Management::make_room() {
  for (;; reap()) {
    std::unique_lock lock(mutex_);
    if (callers_.size() < kMostCallers) return;
    if (crowded_.due(clock_.now())) core::log_line("management: more callers than places");
    const auto shed =
        std::find_if(callers_.begin(), callers_.end(), [](auto& c) { return !c.busy && !c.shed && !c.over; });
    const bool one_goes = std::any_of(callers_.begin(), callers_.end(), [](auto& c) { return c.shed; });
    if (shed != callers_.end() && !one_goes) {
      shed->shed = true;
      shed->socket.shut();
    }
    lock.unlock();
    ::poll(nullptr, 0, kFullMs);
  }
}

void Management::serve(Caller& caller) {
  try {
    std::string line;
    const bool whole = read_line(caller, line);
    const std::string answer = whole ? answer_line(line) : "error no whole line came\n";
    const bool sent = caller.socket.send({answer}, clock_.now() + kAnswerMs, clock_) == Io::done;
    set_busy(caller, false);
    if (sent) {
      // With bytes unread a close would reset the link and could take the answer along.
      caller.socket.shut(SHUT_WR);
      std::array<char, 256> rest{};
      std::size_t got = 0;
      const double until = clock_.now() + kAnswerMs;
      while (caller.socket.receive(rest.data(), rest.size(), got, until, clock_) == Io::done &&
             clock_.now() < until) {
      }
    }
  } catch (const std::exception& failed) {
    core::log_line(std::string("management: ") + failed.what());
  }
  const std::lock_guard lock(mutex_);
  caller.socket = Socket{};
  caller.over = true;
}

// A line that its sender broke off is none: half an id could be another worker's.
bool Management::read_line(Caller& caller, std::string& line) {
  const double until = clock_.now() + kLineMs;
  std::array<char, kMostLine> bytes{};
  for (std::size_t end = std::string::npos; end == std::string::npos; end = line.find('\n')) {
    std::size_t got = 0;
    if (line.size() >= kMostLine ||
        caller.socket.receive(bytes.data(), bytes.size(), got, until, clock_) != Io::done)
      return false;
    line.append(bytes.data(), got);
  }
  line.resize(line.find('\n'));
  set_busy(caller, true);
  return true;
}

void Management::set_busy(Caller& caller, bool busy) {
  const std::lock_guard lock(mutex_);
  caller.busy = busy;
}

std::string Management::answer_line(std::string_view line) const {
  const std::string_view call = word_of(line), argument = word_of(line);
  if (!word_of(line).empty()) return "error a call has one argument at most\n";
  return answer_(call, argument);
}

}  // namespace woadtide::net
