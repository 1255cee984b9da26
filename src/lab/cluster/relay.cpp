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

constexpr int kPollIntervalMs = 2;
constexpr double kConnectTimeoutMs = 50, kDelayMs = 120;
constexpr std::size_t kMaxHeldBytes = 256 * 1024;

// Makes the peer see a reset, as from a host that has gone away, instead of an orderly close.
void reset_on_close(const net::Socket& socket) {
  const linger discard{1, 0};
  if (socket) ::setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

}  // namespace

Relays::Relays() : thread_("relays", [this] { run(); }) {}

Relays::~Relays() { stopping_ = true; }

std::string Relays::add_route(const std::string& from, const std::string& to, const std::string& target) {
  const std::lock_guard lock(mutex_);
  Route& route = routes_[{from, to}];
  route.target = net::Address(target);
  route.listener = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  ::fcntl(route.listener.fd(), F_SETFL, O_NONBLOCK);
  return "127.0.0.1:" + std::to_string(route.listener.port());
}

void Relays::set_fault(const std::string& from, const std::string& to, std::optional<FaultKind> fault) {
  const std::lock_guard lock(mutex_);
  Route& route = routes_.at({from, to});
  route.fault = fault;
  route.needs_service = true;
}

// Routes are never removed, so pointers to them stay valid outside the mutex.
void Relays::run() {
  std::vector<pollfd> poll_fds;
  std::vector<Route*> polled_routes;
  while (!stopping_) {
    {
      const std::lock_guard lock(mutex_);
      for (std::size_t i = 0; i < poll_fds.size(); ++i)
        if (poll_fds[i].revents != 0) polled_routes[i]->needs_service = true;
      poll_fds.clear();
      polled_routes.clear();
      for (auto& [endpoints, route] : routes_) {
        if (std::exchange(route.needs_service, false)) {
          accept_connections(route);
          std::erase_if(route.connections,
                        [&](Connection& connection) { return !service_connection(route, connection); });
          route.needs_service = std::any_of(
              route.connections.begin(), route.connections.end(), [](const Connection& connection) {
                return !connection.directions[0].chunks.empty() || !connection.directions[1].chunks.empty();
              });
        }
        poll_fds.push_back({route.listener.fd(), POLLIN, 0});
        polled_routes.resize(poll_fds.size(), &route);
        if (route.fault == FaultKind::stall)
          continue;  // readable data that is not forwarded would wake poll() in vain
        for (Connection& connection : route.connections)
          for (int end = 0; end < 2; ++end)
            if (connection.ends[end] && !connection.directions[end].end_received &&
                connection.directions[end].held_bytes < kMaxHeldBytes &&
                !(end == 1 && route.fault == FaultKind::one_way))
              poll_fds.push_back({connection.ends[end].fd(), POLLIN, 0});
        polled_routes.resize(poll_fds.size(), &route);
      }
    }
    ::poll(poll_fds.data(), poll_fds.size(), kPollIntervalMs);
  }
}

void Relays::accept_connections(Route& route) {
  for (;;) {
    net::Socket socket{park::Fd(::accept4(route.listener.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!socket) return;
    socket.set_no_delay();
    if (route.fault == FaultKind::cut) {
      reset_on_close(socket);
      continue;
    }
    route.connections.emplace_back().ends[0] = std::move(socket);
  }
}

// Returns false when the link is to be closed.
bool Relays::service_connection(Route& route, Connection& connection) {
  if (route.fault == FaultKind::cut) {
    for (const net::Socket& end : connection.ends) reset_on_close(end);
    return false;
  }
  if (route.fault == FaultKind::stall) return true;
  if (!std::exchange(connection.connected, true)) {
    connection.ends[1] = net::Socket::create(route.target);
    if (!connection.ends[1].connect(route.target, kConnectTimeoutMs)) {
      // Nobody listens: a reset is the closest that a relay has to a refused connection.
      reset_on_close(connection.ends[0]);
      return false;
    }
  }
  for (int direction = 0; direction < 2; ++direction) {
    if (direction == 1 && route.fault == FaultKind::one_way) continue;
    if (forward(route, connection, direction)) continue;
    for (const net::Socket& end : connection.ends) reset_on_close(end);
    return false;
  }
  return !(connection.directions[0].end_forwarded && connection.directions[1].end_forwarded);
}

// Forwards received data to the other end once it is due. Returns false if an end has failed.
bool Relays::forward(const Route& route, Connection& connection, int direction) {
  Direction& stream = connection.directions[direction];
  net::Socket& from = connection.ends[direction];
  net::Socket& to = connection.ends[1 - direction];
  const double now_ms = clock_.now();
  std::array<char, 16 * 1024> buffer{};
  while (!stream.end_received && stream.held_bytes < kMaxHeldBytes) {
    std::size_t received_bytes = 0;
    const net::IoResult result = from.receive(buffer.data(), buffer.size(), received_bytes);
    if (result == net::IoResult::timed_out) break;
    if (result == net::IoResult::failed) return false;
    if (result == net::IoResult::end_of_stream) {
      stream.end_received = true;
      break;
    }
    std::string data(buffer.data(), received_bytes);
    if (route.fault == FaultKind::corrupt) data[data.size() / 2] ^= 0x20;
    stream.held_bytes += received_bytes;
    stream.chunks.push_back({now_ms + (route.fault == FaultKind::delay ? kDelayMs : 0), std::move(data)});
  }
  while (!stream.chunks.empty() && stream.chunks.front().due_ms <= now_ms) {
    std::string& data = stream.chunks.front().data;
    const std::size_t sent_bytes = to.send_available({data});
    stream.held_bytes -= sent_bytes;
    if (sent_bytes < data.size()) {
      data.erase(0, sent_bytes);
      break;
    }
    stream.chunks.pop_front();
  }
  if (stream.end_received && stream.chunks.empty() && !std::exchange(stream.end_forwarded, true))
    to.shut_down(SHUT_WR);
  return true;
}

}  // namespace woadtide::lab::cluster
