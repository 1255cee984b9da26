// Three ways to give links threads, on a bare relay of one exchange: docs/design/threads.md has the figures.
//
//   threads_probe WAY LINKS IDLE     WAY: link (a thread a link), work (pool threads while at work, idle
//   links
//                                    in one poller), read (the poller reads and answers, pool threads send)
//
// The relay is a process of its own; a server that answers at once and closed-loop clients are this one's.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench/proc.hpp"
#include "park/park.hpp"

namespace {

using namespace woadtide;
using park::Fd;

constexpr std::size_t kBytes = 300;  // of a query, and of an answer
constexpr int kMs = 3'000;

sockaddr_in at(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}
Fd listen_here(int& port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address = at(0);
  socklen_t length = sizeof address;
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), length) != 0 || ::listen(fd.get(), 512) != 0)
    std::perror("listen");
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}
Fd connect_to(int port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = at(port);
  const int one = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    std::perror("connect");
  return fd;
}
// False where the link has ended.
bool read_whole(int fd) {
  std::array<char, kBytes> bytes{};
  return ::recv(fd, bytes.data(), bytes.size(), MSG_WAITALL) == static_cast<ssize_t>(kBytes);
}
void write_whole(int fd) {
  const std::array<char, kBytes> bytes{};
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) std::perror("send");
}

// One thread that does what it is told, a thing at a time.
struct Hand {
  void tell(std::function<void()> what) {
    {
      const std::lock_guard lock(mutex);
      job = std::move(what);
    }
    wake.notify_one();
  }
  void run() {
    for (std::unique_lock lock(mutex);;) {
      wake.wait(lock, [this] { return job != nullptr; });
      const auto now = std::exchange(job, nullptr);
      lock.unlock();
      now();
      lock.lock();
    }
  }
  std::mutex mutex;
  std::condition_variable wake;
  std::function<void()> job;
};
struct Done {
  void set() {
    const std::lock_guard lock(mutex);
    is = true;
    wake.notify_one();
  }
  void wait() {
    std::unique_lock lock(mutex);
    wake.wait(lock, [this] { return is; });
    is = false;
  }
  std::mutex mutex;
  std::condition_variable wake;
  bool is = false;
};

// A thread for each client link and one for each server link.
void relay_by_link(int listener, int server) {
  for (;;) {
    const int client = ::accept(listener, nullptr, nullptr);
    std::thread([client, server] {
      Done done;
      const Fd link = connect_to(server);
      const auto hand = std::make_shared<Hand>();
      std::thread([hand] { hand->run(); }).detach();
      while (read_whole(client)) {
        hand->tell([&] {
          write_whole(link.get());
          read_whole(link.get());
          done.set();
        });
        done.wait();
        write_whole(client);
      }
    }).detach();
  }
}

struct Relay {
  explicit Relay(int to) : server(to), epoll(::epoll_create1(0)) {}
  void watch(int fd, std::uint32_t events, int how) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (::epoll_ctl(epoll.get(), how, fd, &event) != 0) std::perror("epoll_ctl");
  }
  // Each client has its own server link; the other way it is found by it.
  int accept_one(int listener) {
    const int client = ::accept(listener, nullptr, nullptr);
    const int one = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    links.push_back(connect_to(server));
    const int link = links.back().get();
    other[client] = link;
    other[link] = client;
    is_server.insert(link);
    return client;
  }
  const int server;
  Fd epoll;
  std::vector<Fd> links;
  std::map<int, int> other;
  std::set<int> is_server;
  park::Crew crew{{.most = 1'000, .kept = 4}};
};

// A pool thread has a query from its first byte to its answer, and another one its execution.
void relay_at_work(int listener, int server) {
  Relay relay(server);
  relay.watch(listener, EPOLLIN, EPOLL_CTL_ADD);
  for (epoll_event event{}; ::epoll_wait(relay.epoll.get(), &event, 1, -1) >= 0;) {
    const int fd = event.data.fd;
    if (fd == listener) {
      relay.watch(relay.accept_one(listener), EPOLLIN | EPOLLONESHOT, EPOLL_CTL_ADD);
      continue;
    }
    relay.crew.take([&relay, fd, link = relay.other[fd]] {
      if (!read_whole(fd)) return;
      Done done;
      relay.crew.take([&] {
        write_whole(link);
        read_whole(link);
        done.set();
      });
      done.wait();
      write_whole(fd);
      relay.watch(fd, EPOLLIN | EPOLLONESHOT, EPOLL_CTL_MOD);
    });
  }
}

// The poller reads queries and answers, and writes answers; a pool thread only sends.
void relay_by_reader(int listener, int server) {
  Relay relay(server);
  relay.watch(listener, EPOLLIN, EPOLL_CTL_ADD);
  for (epoll_event event{}; ::epoll_wait(relay.epoll.get(), &event, 1, -1) >= 0;) {
    const int fd = event.data.fd;
    if (fd == listener) {
      const int client = relay.accept_one(listener);
      for (const int both : {client, relay.other[client]}) relay.watch(both, EPOLLIN, EPOLL_CTL_ADD);
      continue;
    }
    const int to = relay.other[fd];
    const bool answer = relay.is_server.contains(fd);
    if (!read_whole(fd))
      ::epoll_ctl(relay.epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
    else if (answer)
      write_whole(to);
    else
      relay.crew.take([to] { write_whole(to); });
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string way = argc == 4 ? argv[1] : "";
  if (way != "link" && way != "work" && way != "read") {
    std::fprintf(stderr, "threads_probe link|work|read LINKS IDLE\n");
    return 2;
  }
  int server_port = 0, relay_port = 0;
  const Fd server = listen_here(server_port), listener = listen_here(relay_port);
  const pid_t relay = ::fork();
  if (relay == 0) {
    if (way == "link") relay_by_link(listener.get(), server_port);
    if (way == "work") relay_at_work(listener.get(), server_port);
    relay_by_reader(listener.get(), server_port);
    return 0;
  }
  std::thread([&] {
    for (;;)
      std::thread([client = ::accept(server.get(), nullptr, nullptr)] {
        const int one = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        while (read_whole(client)) write_whole(client);
      }).detach();
  }).detach();
  std::vector<Fd> idle;
  for (int i = 0; i < std::atoi(argv[3]); ++i) idle.push_back(connect_to(relay_port));
  std::atomic<bool> counts{false}, over{false};
  std::mutex mutex;
  std::vector<double> all;
  std::vector<std::thread> clients;
  for (int i = 0; i < std::atoi(argv[2]); ++i)
    clients.emplace_back([&] {
      const Fd link = connect_to(relay_port);
      std::vector<double> mine;
      while (!over) {
        const auto from = std::chrono::steady_clock::now();
        write_whole(link.get());
        read_whole(link.get());
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
        if (counts) mine.push_back(took.count());
      }
      const std::lock_guard lock(mutex);
      all.insert(all.end(), mine.begin(), mine.end());
    });
  ::usleep(500'000);
  counts = true;
  const double before = bench::cpu_us(relay);
  ::usleep(kMs * 1'000);
  const double spent = bench::cpu_us(relay) - before;
  const std::string threads = bench::status_line(relay, "Threads"),
                    resident = bench::status_line(relay, "VmRSS");
  over = true;
  for (auto& client : clients) client.join();
  std::sort(all.begin(), all.end());
  const std::size_t count = std::max<std::size_t>(all.size(), 1);
  all.resize(count);
  std::printf(
      "%s, %s links at work, %s idle: %.1f us of CPU an exchange, p50 %.0f us, p99 %.0f us, %s threads, %s\n",
      way.c_str(), argv[2], argv[3], spent / static_cast<double>(count), all[count / 2],
      all[count * 99 / 100], threads.c_str(), resident.c_str());
  ::kill(relay, SIGKILL);
  ::waitpid(relay, nullptr, 0);
  std::fflush(stdout);
  std::_Exit(0);
}
