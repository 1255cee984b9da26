// Fault-injection library, preloaded into a dispatcher under test. It interposes C library functions to make
// system calls fail in ways that Linux documents, each with a given probability, and to step the wall clock.
//
// $WOADTIDE_FAULTS is a comma-separated list of name=value:
// - accept, socket, connect, read, write, wait: probability of a failure, from 0 to 1. A read or write that
//   "fails" is interrupted or transfers fewer bytes than requested.
// - broken: probability that a read of a connection opened by this process fails with a connection error.
// - seed: seed of all random decisions.
// - wall=AT:STEP: from AT ms after the first reading of the wall clock, it is off by STEP ms. Repeatable.
#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

constexpr std::size_t kMaxShortBytes = 48;  // upper limit of a shortened read or write
constexpr std::int64_t kNanosPerMs = 1'000'000, kNanosPerSecond = 1'000'000'000;

// The parsed $WOADTIDE_FAULTS.
struct Faults {
  double accept = 0, socket = 0, connect = 0, read = 0, write = 0, wait = 0, broken = 0;
  std::uint64_t seed = 1;
  std::vector<std::pair<std::int64_t, std::int64_t>> wall_steps;  // start and offset, in ms

  Faults() {
    const char* text = std::getenv("WOADTIDE_FAULTS");
    for (std::string_view remaining = text ? text : ""; !remaining.empty();) {
      const std::string_view entry = remaining.substr(0, remaining.find(','));
      remaining.remove_prefix(std::min(remaining.size(), entry.size() + 1));
      const std::size_t equals = std::min(entry.find('='), entry.size());
      set(entry.substr(0, equals), std::string(entry.substr(std::min(equals + 1, entry.size()))));
    }
  }
  void set(std::string_view name, const std::string& value) {
    const std::pair<std::string_view, double*> chances[] = {
        {"accept", &accept}, {"socket", &socket}, {"connect", &connect}, {"read", &read},
        {"write", &write},   {"broken", &broken}, {"wait", &wait}};
    for (const auto& [known_name, chance] : chances)
      if (name == known_name) *chance = std::atof(value.c_str());
    if (name == "seed") seed = std::strtoull(value.c_str(), nullptr, 10);
    const std::size_t colon = value.find(':');
    if (name == "wall" && colon != std::string::npos)
      wall_steps.emplace_back(std::atoll(value.c_str()), std::atoll(value.c_str() + colon + 1));
  }
};

const Faults& faults() {
  static const Faults parsed;
  return parsed;
}

// Each thread has its own random stream.
std::uint32_t next_random() {
  static std::atomic<std::uint64_t> streams{0};
  thread_local pcg32 random(faults().seed, ++streams);
  return random();
}

bool should_fail(double chance) { return chance > 0 && next_random() < chance * 0x1p32; }

// Sets errno to one of `errors` at random.
template <std::size_t count>
int fail_with(const std::array<int, count>& errors) {
  errno = errors[next_random() % count];
  return -1;
}

// Descriptors of connections that this process opened, as opposed to accepted ones. Descriptors from
// kMaxDescriptors on are not tracked and never fail as broken.
constexpr int kMaxDescriptors = 4'096;
std::array<std::atomic<bool>, kMaxDescriptors> opened_here{};

void set_opened_here(int fd, bool opened) {
  if (fd >= 0 && fd < kMaxDescriptors) opened_here[static_cast<std::size_t>(fd)] = opened;
}
bool is_opened_here(int fd) {
  return fd >= 0 && fd < kMaxDescriptors && opened_here[static_cast<std::size_t>(fd)];
}

// The C library's function of this name, which this library's function replaces.
template <class Call>
Call next_function(const char* name) {
  return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = next_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (should_fail(faults().accept))
    return fail_with(std::array{ENFILE, ENOBUFS, EINTR, ECONNABORTED, EMFILE, EPROTO, ENETDOWN});
  const int accepted = real(fd, address, length, flags);
  set_opened_here(accepted, false);
  return accepted;
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next_function<int (*)(int, int, int)>("socket");
  if (should_fail(faults().socket)) return fail_with(std::array{ENFILE, EMFILE, ENOBUFS, ENOMEM});
  const int opened = real(domain, type, protocol);
  set_opened_here(opened, false);
  return opened;
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = next_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (address->sa_family == AF_INET && should_fail(faults().connect))
    return fail_with(std::array{EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH});
  set_opened_here(fd, address->sa_family == AF_INET);
  return real(fd, address, length);
}

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static const auto real = next_function<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if (is_opened_here(fd) && should_fail(faults().broken))
    return fail_with(std::array{ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
  if (size > 0 && should_fail(faults().read)) {
    if (next_random() % 2 == 0) return fail_with(std::array{EINTR});
    size = 1 + next_random() % std::min(size, kMaxShortBytes);
  }
  return real(fd, buffer, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next_function<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (message->msg_iovlen == 0 || !should_fail(faults().write)) return real(fd, message, flags);
  if (next_random() % 2 == 0) return fail_with(std::array{EINTR});
  iovec first_part = message->msg_iov[0];
  first_part.iov_len =
      first_part.iov_len == 0 ? 0 : 1 + next_random() % std::min(first_part.iov_len, kMaxShortBytes);
  msghdr shortened = *message;
  shortened.msg_iov = &first_part;
  shortened.msg_iovlen = 1;
  return real(fd, &shortened, flags);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout_ms) {
  static const auto real = next_function<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (should_fail(faults().wait)) return fail_with(std::array{EINTR});
  return real(fd, events, max_events, timeout_ms);
}

int poll(pollfd* set, nfds_t count, int timeout_ms) {
  static const auto real = next_function<int (*)(pollfd*, nfds_t, int)>("poll");
  if (should_fail(faults().wait)) return fail_with(std::array{EINTR});
  return real(set, count, timeout_ms);
}

int ppoll(pollfd* set, nfds_t count, const timespec* timeout, const sigset_t* mask) {
  static const auto real = next_function<int (*)(pollfd*, nfds_t, const timespec*, const sigset_t*)>("ppoll");
  if (should_fail(faults().wait)) return fail_with(std::array{EINTR});
  return real(set, count, timeout, mask);
}

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto real = next_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, now);
  if (clock != CLOCK_REALTIME || faults().wall_steps.empty()) return result;
  timespec steady{};
  real(CLOCK_MONOTONIC, &steady);
  const std::int64_t now_ms = steady.tv_sec * 1'000 + steady.tv_nsec / kNanosPerMs;
  static const std::int64_t first_ms = now_ms;
  std::int64_t offset_ms = 0;
  for (const auto& [start_ms, step_ms] : faults().wall_steps)
    if (now_ms - first_ms >= start_ms) offset_ms = step_ms;
  const std::int64_t nanos = now->tv_sec * kNanosPerSecond + now->tv_nsec + offset_ms * kNanosPerMs;
  now->tv_sec = nanos / kNanosPerSecond;
  now->tv_nsec = nanos % kNanosPerSecond;
  return result;
}

}  // extern "C"
