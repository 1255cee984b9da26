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

std::pair<std::string, std::string> split_path(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return {".", path};
  return {path.substr(0, slash), path.substr(slash + 1)};
}

// A message with its text and room for one descriptor.
struct DescriptorMessage {
  DescriptorMessage(char* text, std::size_t size) : bytes{text, size} {
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
  }
  DescriptorMessage(const DescriptorMessage&) = delete;
  DescriptorMessage& operator=(const DescriptorMessage&) = delete;
  iovec bytes;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
};

// Line and descriptor are sent in one message, so that both arrive or neither does.
bool send_line_and_descriptor(const Socket& connection, const std::string& line, int descriptor) {
  std::string text = line + '\n';
  DescriptorMessage outgoing(text.data(), text.size());
  msghdr& message = outgoing.message;
  cmsghdr* const head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  return ::sendmsg(connection.fd(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) ==
         static_cast<ssize_t>(text.size());
}

}  // namespace

ControlSocket::ControlSocket(park::EventLoop& event_loop, const std::string& path, std::string status_line,
                             Socket passed_socket)
    : event_loop_(event_loop),
      status_line_(std::move(status_line)),
      passed_socket_(std::move(passed_socket)) {
  const auto [folder, name] = split_path(path);
  listener_ = listen_replacing(UnixSocketPath(folder, name),
                               UnixSocketPath(folder, name + '.' + std::to_string(::getpid())));
  if (!listener_) throw std::system_error(errno, std::generic_category(), path);
  token_ = event_loop_.add(*this, listener_.fd());
}

ControlSocket::~ControlSocket() {
  event_loop_.remove(token_);
  event_loop_.quiesce();
}

void ControlSocket::on_ready(park::ReadinessEvents) {
  for (;;) {
    Socket caller{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!caller) {
      const int error = errno;
      const AcceptError accept_result = accept_error(error);
      if (accept_result == AcceptError::retry_now) continue;
      if (accept_result == AcceptError::system_refused) {
        if (accept_error_log_.allow(clock_.now()))
          core::log_line("tether: " + std::generic_category().message(error));
        event_loop_.set_timeout(token_, clock_.now() + kAcceptRetryMs);
      }
      return;
    }
    const std::lock_guard lock(mutex_);
    if (!passed_socket_ || peer_pid(caller) == 0 ||
        !send_line_and_descriptor(caller, status_line_, passed_socket_.fd()))
      continue;
    if (connections_.size() == kMaxConnections) connections_.pop_front();
    connections_.push_back(std::move(caller));
  }
}

void ControlSocket::stop_passing() {
  const std::lock_guard lock(mutex_);
  passed_socket_ = Socket();
}

ControlSocketConnection connect_control_socket(const std::string& path, double timeout_ms) {
  ControlSocketConnection result;
  const auto [folder, name] = split_path(path);
  Socket link = make_unix_socket();
  if (!link || !UnixSocketPath(folder, name).call(::connect, link)) return {};
  result.pid = peer_pid(link);
  const timeval receive_timeout{static_cast<time_t>(timeout_ms / 1'000),
                                static_cast<suseconds_t>(timeout_ms * 1'000) % 1'000'000};
  ::setsockopt(link.fd(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  std::array<char, 4096> text{};
  DescriptorMessage received(text.data(), text.size());
  msghdr& message = received.message;
  ssize_t byte_count = 0;
  do byte_count = ::recvmsg(link.fd(), &message, MSG_CMSG_CLOEXEC);
  while (byte_count < 0 && errno == EINTR);
  const cmsghdr* const head = byte_count > 0 ? CMSG_FIRSTHDR(&message) : nullptr;
  if (!head || head->cmsg_type != SCM_RIGHTS || head->cmsg_len != CMSG_LEN(sizeof(int))) return {};
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(head), sizeof descriptor);
  result.listener = Socket{Fd(descriptor)};
  result.line.assign(text.data(), static_cast<std::size_t>(byte_count));
  if (result.pid == 0 || result.line.back() != '\n') return {};
  result.line.pop_back();
  result.link = std::move(link);
  return result;
}

}  // namespace woadtide::net
