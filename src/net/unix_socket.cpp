#include "net/unix_socket.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace woadtide::net {

UnixPlace::UnixPlace(const std::string& folder, const std::string& name) : path(folder + '/' + name) {
  if (path.size() < sizeof(sockaddr_un::sun_path)) return;
  held = Fd(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
  path = "/proc/self/fd/" + std::to_string(held.get()) + '/' + name;
}

Socket make_unix() { return Socket{Fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0))}; }

int peer_of(const Socket& socket) {
  ucred peer{};
  socklen_t length = sizeof peer;
  const bool known = ::getsockopt(socket.fd(), SOL_SOCKET, SO_PEERCRED, &peer, &length) == 0;
  return known && peer.uid == ::geteuid() ? peer.pid : 0;
}

Socket listen_over(const UnixPlace& place, const UnixPlace& fresh) {
  Socket listener = make_unix();
  ::unlink(fresh.path.c_str());
  if (!listener || !fresh.call(::bind, listener) || ::listen(listener.fd(), 4) != 0 ||
      std::rename(fresh.path.c_str(), place.path.c_str()) != 0)
    return {};
  ::fcntl(listener.fd(), F_SETFL, O_NONBLOCK);
  return listener;
}

}  // namespace woadtide::net
