// A library that is preloaded into a dispatcher under test. It stands before the C library and lets system
// calls fail in ways that Linux documents, each call with a stated chance, and steps the wall clock.
//
// $WOADTIDE_FAULTS is a list of name=value, parted by commas. accept, socket, connect, read, write, wait,
// broken: the chance of a failure, from 0 to 1. broken: a connection that this process has made shows as
// broken to a read. seed: of all that is drawn. wall=AT:STEP: from AT ms after the first look at a clock the
// wall clock stands STEP ms off; may come more than once. A read or write that "fails" is interrupted or does
// less than was asked.
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

constexpr std::size_t kMostShort = 48;  // bytes that a shortened read or write still does
constexpr std::int64_t kNanosPerMs = 1'000'000, kNanosPerSecond = 1'000'000'000;

struct Faults {
  double accept = 0, socket = 0, connect = 0, read = 0, write = 0, wait = 0, broken = 0;
  std::uint64_t seed = 1;
  std::vector<std::pair<std::int64_t, std::int64_t>> wall_steps;  // from when, by how much; ms

  Faults() {
    const char* told = std::getenv("WOADTIDE_FAULTS");
    for (std::string_view rest = told ? told : ""; !rest.empty();) {
      const std::string_view one = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), one.size() + 1));
      const std::size_t equals = std::min(one.find('='), one.size());
      set(one.substr(0, equals), std::string(one.substr(std::min(equals + 1, one.size()))));
    }
  }
  void set(std::string_view name, const std::string& value) {
    const std::pair<std::string_view, double*> chances[] = {
        {"accept", &accept}, {"socket", &socket}, {"connect", &connect}, {"read", &read},
        {"write", &write},   {"broken", &broken}, {"wait", &wait}};
    for (const auto& [known, chance] : chances)
      if (name == known) *chance = std::atof(value.c_str());
    if (name == "seed") seed = std::strtoull(value.c_str(), nullptr, 10);
    const std::size_t colon = value.find(':');
    if (name == "wall" && colon != std::string::npos)
      wall_steps.emplace_back(std::atoll(value.c_str()), std::atoll(value.c_str() + colon + 1));
  }
};

const Faults& faults() {
  static const Faults told;
  return told;
}

std::uint32_t draw() {
  static std::atomic<std::uint64_t> streams{0};
  thread_local pcg32 random(faults().seed, ++streams);
  return random();
}

bool strikes(double chance) { return chance > 0 && draw() < chance * 0x1p32; }

template <std::size_t count>
int fail_with(const std::array<int, count>& errors) {
  errno = errors[draw() % count];
  return -1;
}

// Descriptors of connections that this process has made.
constexpr int kMostDescriptors = 4'096;
std::array<std::atomic<bool>, kMostDescriptors> made_here{};

void set_made_here(int fd, bool made) {
  if (fd >= 0 && fd < kMostDescriptors) made_here[static_cast<std::size_t>(fd)] = made;
}
bool is_made_here(int fd) {
  return fd >= 0 && fd < kMostDescriptors && made_here[static_cast<std::size_t>(fd)];
}

template <class Call>
Call next(const char* name) {
  return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (strikes(faults().accept))
    return fail_with(std::array{ENFILE, ENOBUFS, EINTR, ECONNABORTED, EMFILE, EPROTO, ENETDOWN});
  const int taken = real(fd, address, length, flags);
  set_made_here(taken, false);
  return taken;
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next<int (*)(int, int, int)>("socket");
  if (strikes(faults().socket)) return fail_with(std::array{ENFILE, EMFILE, ENOBUFS, ENOMEM});
  const int made = real(domain, type, protocol);
  set_made_here(made, false);
  return made;
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (address->sa_family == AF_INET && strikes(faults().connect))
    return fail_with(std::array{EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH});
  set_made_here(fd, address->sa_family == AF_INET);
  return real(fd, address, length);
}

ssize_t recv(int fd, void* to, std::size_t room, int flags) {
  static const auto real = next<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if (is_made_here(fd) && strikes(faults().broken))
    return fail_with(std::array{ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
  if (room > 0 && strikes(faults().read)) {
    if (draw() % 2 == 0) return fail_with(std::array{EINTR});
    room = 1 + draw() % std::min(room, kMostShort);
  }
  return real(fd, to, room, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (message->msg_iovlen == 0 || !strikes(faults().write)) return real(fd, message, flags);
  if (draw() % 2 == 0) return fail_with(std::array{EINTR});
  iovec part = message->msg_iov[0];
  part.iov_len = part.iov_len == 0 ? 0 : 1 + draw() % std::min(part.iov_len, kMostShort);
  msghdr shortened = *message;
  shortened.msg_iov = &part;
  shortened.msg_iovlen = 1;
  return real(fd, &shortened, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int within_ms) {
  static const auto real = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (strikes(faults().wait)) return fail_with(std::array{EINTR});
  return real(fd, events, most, within_ms);
}

int poll(pollfd* set, nfds_t count, int within_ms) {
  static const auto real = next<int (*)(pollfd*, nfds_t, int)>("poll");
  if (strikes(faults().wait)) return fail_with(std::array{EINTR});
  return real(set, count, within_ms);
}

int ppoll(pollfd* set, nfds_t count, const timespec* within, const sigset_t* mask) {
  static const auto real = next<int (*)(pollfd*, nfds_t, const timespec*, const sigset_t*)>("ppoll");
  if (strikes(faults().wait)) return fail_with(std::array{EINTR});
  return real(set, count, within, mask);
}

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, now);
  if (clock != CLOCK_REALTIME || faults().wall_steps.empty()) return result;
  timespec steady{};
  real(CLOCK_MONOTONIC, &steady);
  const std::int64_t at = steady.tv_sec * 1'000 + steady.tv_nsec / kNanosPerMs;
  static const std::int64_t first = at;
  std::int64_t off = 0;
  for (const auto& [from, step] : faults().wall_steps)
    if (at - first >= from) off = step;
  const std::int64_t nanos = now->tv_sec * kNanosPerSecond + now->tv_nsec + off * kNanosPerMs;
  now->tv_sec = nanos / kNanosPerSecond;
  now->tv_nsec = nanos % kNanosPerSecond;
  return result;
}

}  // extern "C"
