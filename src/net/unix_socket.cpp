#include "net/unix_socket.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>

namespace woadtide::net {

UnixSocketPath::UnixSocketPath(const std::string& folder, const std::string& name)
    : path(folder + '/' + name) {
  if (path.size() < sizeof(sockaddr_un::sun_path)) return;
  folder_fd = Fd(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
  path = "/proc/self/fd/" + std::to_string(folder_fd.get()) + '/' + name;
}

FileIdentity file_identity(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return {};
  return {status.st_dev, status.st_ino};
}

Socket make_unix_socket() { return Socket{Fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0))}; }

int peer_pid(const Socket& socket) {
  ucred peer{};
  socklen_t length = sizeof peer;
  const bool has_credentials = ::getsockopt(socket.fd(), SOL_SOCKET, SO_PEERCRED, &peer, &length) == 0;
  return has_credentials && peer.uid == ::geteuid() ? peer.pid : 0;
}

Socket listen_replacing(const UnixSocketPath& path, const UnixSocketPath& temporary) {
  Socket listener = make_unix_socket();
  ::unlink(temporary.path.c_str());
  if (!listener || !temporary.call(::bind, listener) || ::listen(listener.fd(), 4) != 0 ||
      std::rename(temporary.path.c_str(), path.path.c_str()) != 0)
    return {};
  ::fcntl(listener.fd(), F_SETFL, O_NONBLOCK);
  return listener;
}

}  // namespace woadtide::net
