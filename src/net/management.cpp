#include "net/management.hpp"

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <utility>

namespace woadtide::net {

namespace {
constexpr std::size_t kMostLine = 512;
constexpr double kLineMs = 10'000;  // somebody may be typing it; at the edge such a caller gives way at once
constexpr double kAnswerMs = 1'000;

std::string_view word_of(std::string_view& text) {
  constexpr std::string_view kSpace = " \t\r";
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  const std::string_view word = text.substr(0, text.find_first_of(kSpace));
  text.remove_prefix(word.size());
  return word;
}
}  // namespace

Management::Management(Socket listener, const core::Clock& clock, park::Park& park, park::Crew& crew,
                       Answer answer)
    : clock_(clock), park_(park), crew_(crew), answer_(std::move(answer)), listener_(std::move(listener)) {
  // A caller that gave up between the park's word and accept must not block it.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  token_ = park_.enter(*this, listener_.fd());
}

Management::~Management() {
  park_.leave(token_);
  park_.quiesce();
  std::unique_lock lock(mutex_);
  for (Caller& caller : callers_) caller.socket.shut();
  left_.wait(lock, [this] { return callers_.empty(); });
}

void Management::ready(park::Signs) { late(); }

void Management::late() {
  while (make_room() && accept_one()) {
  }
}

// False where nobody waits, or not now.
bool Management::accept_one() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) {
    const AcceptError why = accept_error(errno);
    if (why == AcceptError::machine) park_.wake_at(token_, clock_.now() + kAcceptAgainMs);
    return why == AcceptError::this_one;
  }
  const std::lock_guard lock(mutex_);
  callers_.emplace_back().socket = std::move(socket);
  const auto caller = std::prev(callers_.end());
  if (!crew_.take([this, caller] { serve(caller); }, true)) {
    caller->socket.send_some({"error there is no thread for it now\n"});
    callers_.erase(caller);
  }
  return true;
}

// False where all places are taken, or nobody waits for one. Where one does, the oldest one that is owed no
// answer gives way: some keep a link for seconds and say nothing whole, and the next call must not wait for
// them.
bool Management::make_room() {
  const std::lock_guard lock(mutex_);
  if (callers_.size() < kMostCallers) return true;
  if (wait_for(listener_.fd(), POLLIN, -1, 0, clock_).first == 0) return false;
  crowds_ = true;
  if (crowded_.due(clock_.now())) core::log_line("management: more callers than places");
  const auto shed =
      std::find_if(callers_.begin(), callers_.end(), [](auto& c) { return !c.busy && !c.shed; });
  const bool one_goes = std::any_of(callers_.begin(), callers_.end(), [](auto& c) { return c.shed; });
  if (shed != callers_.end() && !one_goes) {
    shed->shed = true;
    shed->socket.shut();
  }
  return false;
}

void Management::serve(std::list<Caller>::iterator place) {
  Caller& caller = *place;
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
  callers_.erase(place);
  if (std::exchange(crowds_, false)) park_.poke(token_, {});
  left_.notify_all();
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
