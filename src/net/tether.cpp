#include "net/tether.hpp"

#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "core/log.hpp"
#include "net/unix_socket.hpp"

namespace woadtide::net {

namespace {

std::pair<std::string, std::string> parts_of(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return {".", path};
  return {path.substr(0, slash), path.substr(slash + 1)};
}

// A message with room for one descriptor beside its text.
struct WithDescriptor {
  WithDescriptor(char* text, std::size_t size) : bytes{text, size} {
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = room.data();
    message.msg_controllen = room.size();
  }
  WithDescriptor(const WithDescriptor&) = delete;
  WithDescriptor& operator=(const WithDescriptor&) = delete;
  iovec bytes;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> room{};
  msghdr message{};
};

// A line and a descriptor go in one message, so that both come or none.
bool tell(const Socket& to, const std::string& line, int descriptor) {
  std::string text = line + '\n';
  WithDescriptor sent(text.data(), text.size());
  msghdr& message = sent.message;
  cmsghdr* const head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  return ::sendmsg(to.fd(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(text.size());
}

}  // namespace

Tether::Tether(park::Park& park, const std::string& path, std::string line, Socket passed)
    : park_(park), line_(std::move(line)), passed_(std::move(passed)) {
  const auto [folder, name] = parts_of(path);
  listener_ =
      listen_over(UnixPlace(folder, name), UnixPlace(folder, name + '.' + std::to_string(::getpid())));
  if (!listener_) throw std::system_error(errno, std::generic_category(), path);
  token_ = park_.enter(*this, listener_.fd());
}

Tether::~Tether() {
  park_.leave(token_);
  park_.quiesce();
}

void Tether::ready(park::Signs) {
  for (;;) {
    Socket caller{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!caller) {
      const int error = errno;
      const AcceptError why = accept_error(error);
      if (why == AcceptError::this_one) continue;
      if (why == AcceptError::machine) {
        if (no_accept_.due(clock_.now())) core::log_line("tether: " + std::generic_category().message(error));
        park_.wake_at(token_, clock_.now() + kAcceptAgainMs);
      }
      return;
    }
    const std::lock_guard lock(mutex_);
    if (!passed_ || peer_of(caller) == 0 || !tell(caller, line_, passed_.fd())) continue;
    if (callers_.size() == kMostCallers) callers_.pop_front();
    callers_.push_back(std::move(caller));
  }
}

void Tether::stop_passing() {
  const std::lock_guard lock(mutex_);
  passed_ = Socket();
}

Tethered reach(const std::string& path, double wait_ms) {
  Tethered reached;
  const auto [folder, name] = parts_of(path);
  Socket link = make_unix();
  if (!link || !UnixPlace(folder, name).call(::connect, link)) return {};
  reached.pid = peer_of(link);
  const timeval patience{static_cast<time_t>(wait_ms / 1'000),
                         static_cast<suseconds_t>(wait_ms * 1'000) % 1'000'000};
  ::setsockopt(link.fd(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  std::array<char, 4096> text{};
  WithDescriptor come(text.data(), text.size());
  msghdr& message = come.message;
  ssize_t got = 0;
  do got = ::recvmsg(link.fd(), &message, MSG_CMSG_CLOEXEC);
  while (got < 0 && errno == EINTR);
  const cmsghdr* const head = got > 0 ? CMSG_FIRSTHDR(&message) : nullptr;
  if (!head || head->cmsg_type != SCM_RIGHTS || head->cmsg_len != CMSG_LEN(sizeof(int))) return {};
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(head), sizeof descriptor);
  reached.listener = Socket{Fd(descriptor)};
  reached.line.assign(text.data(), static_cast<std::size_t>(got));
  if (reached.pid == 0 || reached.line.back() != '\n') return {};
  reached.line.pop_back();
  reached.link = std::move(link);
  return reached;
}

}  // namespace woadtide::net
