#include "net/line_call.hpp"

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>

#include "net/socket.hpp"

namespace woadtide::net {

namespace {

constexpr std::size_t kMaxAnswerBytes = 4'000'000;

struct ActiveCall {
  LineCall* call;
  Socket socket;
  std::string unsent, received;  // bytes to be written; bytes received
  bool closed = false;

  explicit ActiveCall(LineCall& line_call) : call(&line_call), unsent(line_call.line + '\n') {
    const Address address(line_call.address);
    socket = Socket::create(address);
    ::fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
    closed =
        ::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0 &&
        errno != EINPROGRESS;
  }
  void handle_events(short events) {
    if (!unsent.empty() && (events & POLLOUT)) unsent.erase(0, socket.send_available({unsent}));
    if (!(events & (POLLIN | POLLHUP | POLLERR))) return;
    std::array<char, 16 * 1024> buffer{};
    std::size_t count = 0;
    IoResult status = IoResult::done;
    while ((status = socket.receive(buffer.data(), buffer.size(), count)) == IoResult::done)
      received.append(buffer.data(), count);
    closed = status != IoResult::timed_out || received.size() > kMaxAnswerBytes;
    // The server closes its side after the answer; a truncated answer has no line end at its end.
    if (status == IoResult::end_of_stream && !received.empty() && received.back() == '\n') {
      received.pop_back();
      call->answer = std::move(received);
    }
  }
};

}  // namespace

void call_all(std::vector<LineCall>& calls, double timeout_ms, std::size_t max_parallel) {
  const core::Clock clock;
  const double deadline = clock.now() + timeout_ms;
  std::list<ActiveCall> active;
  for (std::size_t next = 0; next < calls.size() || !active.empty();) {
    while (next < calls.size() && active.size() < max_parallel) active.emplace_back(calls[next++]);
    std::vector<pollfd> poll_fds;
    for (const ActiveCall& active_call : active)
      poll_fds.push_back({active_call.socket.fd(),
                          static_cast<short>(active_call.unsent.empty() ? POLLIN : POLLIN | POLLOUT), 0});
    const double remaining_ms = deadline - clock.now();
    if (remaining_ms <= 0) return;
    ::poll(poll_fds.data(), poll_fds.size(), static_cast<int>(std::min(remaining_ms, 1'000.0)) + 1);
    std::size_t index = 0;
    for (ActiveCall& active_call : active) {
      const short events = poll_fds[index++].revents;
      if (!active_call.closed && events != 0) active_call.handle_events(events);
    }
    active.remove_if([](const ActiveCall& active_call) { return active_call.closed; });
  }
}

std::optional<std::string> call_line(const std::string& to, const std::string& line, double timeout_ms) {
  std::vector<LineCall> calls{{to, line, std::nullopt}};
  call_all(calls, timeout_ms);
  return calls.front().answer;
}

}  // namespace woadtide::net
