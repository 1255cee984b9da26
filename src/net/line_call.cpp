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

constexpr std::size_t kMostAnswer = 4'000'000;

struct Going {
  LineCall* call;
  Socket socket;
  std::string rest, come;  // to be written; come so far
  bool over = false;

  explicit Going(LineCall& what) : call(&what), rest(what.line + '\n') {
    const Address address(what.to);
    socket = Socket::make(address);
    ::fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
    over = ::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0 &&
           errno != EINPROGRESS;
  }
  void go_on(short signs) {
    if (!rest.empty() && (signs & POLLOUT)) rest.erase(0, socket.send_some({rest}));
    if (!(signs & (POLLIN | POLLHUP | POLLERR))) return;
    std::array<char, 16 * 1024> some{};
    std::size_t got = 0;
    Io io = Io::done;
    while ((io = socket.receive(some.data(), some.size(), got)) == Io::done) come.append(some.data(), got);
    over = io != Io::late || come.size() > kMostAnswer;
    // Whoever answers ends its side then: what was cut off before has no last end of line.
    if (io == Io::ended && !come.empty() && come.back() == '\n') {
      come.pop_back();
      call->answer = std::move(come);
    }
  }
};

}  // namespace

void call_all(std::vector<LineCall>& calls, double within_ms, std::size_t at_once) {
  const core::Clock clock;
  const double until = clock.now() + within_ms;
  std::list<Going> going;
  for (std::size_t next = 0; next < calls.size() || !going.empty();) {
    while (next < calls.size() && going.size() < at_once) going.emplace_back(calls[next++]);
    std::vector<pollfd> all;
    for (const Going& one : going)
      all.push_back({one.socket.fd(), static_cast<short>(one.rest.empty() ? POLLIN : POLLIN | POLLOUT), 0});
    const double left = until - clock.now();
    if (left <= 0) return;
    ::poll(all.data(), all.size(), static_cast<int>(std::min(left, 1'000.0)) + 1);
    std::size_t place = 0;
    for (Going& one : going) {
      const short signs = all[place++].revents;
      if (!one.over && signs != 0) one.go_on(signs);
    }
    going.remove_if([](const Going& one) { return one.over; });
  }
}

std::optional<std::string> call(const std::string& to, const std::string& line, double within_ms) {
  std::vector<LineCall> calls{{to, line, std::nullopt}};
  call_all(calls, within_ms);
  return calls.front().answer;
}

}  // namespace woadtide::net
