// Unix domain sockets with paths of any length, for processes of one user.
#pragma once

#include <sys/socket.h>
#include <sys/types.h>
#include <sys/un.h>

#include <cstring>
#include <string>

#include "net/socket.hpp"

namespace woadtide::net {

// The address of a Unix socket. If the path is longer than sockaddr_un allows, it is expressed by a
// descriptor of its folder.
struct UnixSocketPath {
  // Opens `folder` if the path is too long for sockaddr_un.
  UnixSocketPath(const std::string& folder, const std::string& name);
  // Calls `function` (::bind or ::connect) with the address. False if the path is too long or the call fails.
  template <class Function>
  bool call(Function&& function, const Socket& socket) const {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return false;
    std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
    return function(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  std::string path;
  Fd folder_fd;
};

// Tells files apart, as long as they exist; two that do not exist are equal.
struct FileIdentity {
  dev_t device = 0;
  ino_t inode = 0;
  bool operator==(const FileIdentity&) const = default;
};
// The identity of the file at `path`; that of no file where there is none.
FileIdentity file_identity(const std::string& path);

// An unconnected stream socket; empty on failure.
Socket make_unix_socket();
// The process id of the peer; 0 if the peer runs as another user, as a shared folder could hold such a
// socket.
int peer_pid(const Socket& socket);
// Listens at `path` by renaming the socket `temporary` over it, so that a previous listener is replaced
// without a gap. Returns an empty Socket on failure, with the reason in errno.
Socket listen_replacing(const UnixSocketPath& path, const UnixSocketPath& temporary);

}  // namespace woadtide::net
