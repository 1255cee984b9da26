// Unix sockets by a path of any length, between processes of one user.
#pragma once

#include <sys/socket.h>
#include <sys/un.h>

#include <cstring>
#include <string>

#include "net/socket.hpp"

namespace woadtide::net {

// A folder's path may be longer than a socket's may be: then it goes by its descriptor.
struct UnixPlace {
  UnixPlace(const std::string& folder, const std::string& name);
  template <class Call>
  bool call(Call&& use, const Socket& socket) const {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return false;
    std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
    return use(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  std::string path;
  Fd held;
};

Socket make_unix();
// The process at the other end, 0 where it is another user's: a folder for all could hold one.
int peer_of(const Socket& socket);
// Listens at `place`, without a moment in which nobody listens there if somebody did: `fresh` is renamed over
// it. Empty where it cannot; errno says why.
Socket listen_over(const UnixPlace& place, const UnixPlace& fresh);

}  // namespace woadtide::net
