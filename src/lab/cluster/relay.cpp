#include "lab/cluster/relay.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

namespace woadtide::lab::cluster {

namespace {

constexpr int kTurnMs = 2;
constexpr double kConnectMs = 50, kDelayMs = 120;
constexpr std::size_t kMostHeld = 256 * 1024;

// So that its peer sees a reset, as from a machine that has gone, and not an orderly end.
void reset(const net::Socket& socket) {
  const linger now{1, 0};
  if (socket) ::setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

}  // namespace

Relays::Relays() : thread_("relays", [this] { run(); }) {}

Relays::~Relays() { ending_ = true; }

std::string Relays::add(const std::string& from, const std::string& to, const std::string& target) {
  const std::lock_guard lock(mutex_);
  Pair& pair = pairs_[{from, to}];
  pair.target = net::Address(target);
  pair.listener = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  ::fcntl(pair.listener.fd(), F_SETFL, O_NONBLOCK);
  return "127.0.0.1:" + std::to_string(pair.listener.port());
}

void Relays::set(const std::string& from, const std::string& to, std::optional<Kind> fault) {
  const std::lock_guard lock(mutex_);
  Pair& pair = pairs_.at({from, to});
  pair.fault = fault;
  pair.look = true;
}

// Pairs are never taken out, so that one may be named outside the mutex.
void Relays::run() {
  std::vector<pollfd> all;
  std::vector<Pair*> of;
  while (!ending_) {
    {
      const std::lock_guard lock(mutex_);
      for (std::size_t i = 0; i < all.size(); ++i)
        if (all[i].revents != 0) of[i]->look = true;
      all.clear();
      of.clear();
      for (auto& [names, pair] : pairs_) {
        if (std::exchange(pair.look, false)) {
          accept_at(pair);
          std::erase_if(pair.pipes, [&](Pipe& pipe) { return !go_on(pair, pipe); });
          pair.look = std::any_of(pair.pipes.begin(), pair.pipes.end(), [](const Pipe& pipe) {
            return !pipe.ways[0].held.empty() || !pipe.ways[1].held.empty();
          });
        }
        all.push_back({pair.listener.fd(), POLLIN, 0});
        of.resize(all.size(), &pair);
        if (pair.fault == Kind::stall) continue;  // what waits there would wake us for nothing
        for (Pipe& pipe : pair.pipes)
          for (int end = 0; end < 2; ++end)
            if (pipe.ends[end] && !pipe.ways[end].ended && pipe.ways[end].bytes < kMostHeld &&
                !(end == 1 && pair.fault == Kind::one_way))
              all.push_back({pipe.ends[end].fd(), POLLIN, 0});
        of.resize(all.size(), &pair);
      }
    }
    ::poll(all.data(), all.size(), kTurnMs);
  }
}

void Relays::accept_at(Pair& pair) {
  for (;;) {
    net::Socket socket{park::Fd(::accept4(pair.listener.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!socket) return;
    socket.set_no_delay();
    if (pair.fault == Kind::cut) {
      reset(socket);
      continue;
    }
    pair.pipes.emplace_back().ends[0] = std::move(socket);
  }
}

// False where the link is over.
bool Relays::go_on(Pair& pair, Pipe& pipe) {
  if (pair.fault == Kind::cut) {
    for (const net::Socket& end : pipe.ends) reset(end);
    return false;
  }
  if (pair.fault == Kind::stall) return true;
  if (!std::exchange(pipe.up, true)) {
    pipe.ends[1] = net::Socket::make(pair.target);
    if (!pipe.ends[1].connect(pair.target, kConnectMs)) {
      reset(pipe.ends[0]);  // nobody listens: the nearest thing to a refusal that a relay has
      return false;
    }
  }
  for (int way = 0; way < 2; ++way) {
    if (way == 1 && pair.fault == Kind::one_way) continue;
    if (pass(pair, pipe, way)) continue;
    for (const net::Socket& end : pipe.ends) reset(end);
    return false;
  }
  return !(pipe.ways[0].told_end && pipe.ways[1].told_end);
}

// What has come at one end goes out at the other, once it is due. False where an end is broken.
bool Relays::pass(const Pair& pair, Pipe& pipe, int way) {
  Way& through = pipe.ways[way];
  net::Socket& from = pipe.ends[way];
  net::Socket& to = pipe.ends[1 - way];
  const double now = clock_.now();
  std::array<char, 16 * 1024> some{};
  while (!through.ended && through.bytes < kMostHeld) {
    std::size_t got = 0;
    const net::Io io = from.receive(some.data(), some.size(), got);
    if (io == net::Io::late) break;
    if (io == net::Io::broken) return false;
    if (io == net::Io::ended) {
      through.ended = true;
      break;
    }
    std::string bytes(some.data(), got);
    if (pair.fault == Kind::corrupt) bytes[bytes.size() / 2] ^= 0x20;
    through.bytes += got;
    through.held.push_back({now + (pair.fault == Kind::delay ? kDelayMs : 0), std::move(bytes)});
  }
  while (!through.held.empty() && through.held.front().due <= now) {
    std::string& bytes = through.held.front().bytes;
    const std::size_t went = to.send_some({bytes});
    through.bytes -= went;
    if (went < bytes.size()) {
      bytes.erase(0, went);
      break;
    }
    through.held.pop_front();
  }
  if (through.ended && through.held.empty() && !std::exchange(through.told_end, true)) to.shut(SHUT_WR);
  return true;
}

}  // namespace woadtide::lab::cluster
