// Compares three threading models on a minimal relay of request-response exchanges; see
// docs/design/threads.md.
//
//   threads_probe WAY LINKS IDLE
//       WAY: link (one thread per link), work (pool threads during an exchange, idle links in one poller),
//       read (the poller reads and writes answers, pool threads send queries);
//       LINKS and IDLE are the numbers of busy and of idle client links
//
// The relay is a separate process; this process has a server that answers at once and the
// closed-loop clients.
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

constexpr std::size_t kMessageBytes = 300;  // size of a query and of an answer
constexpr int kMeasuredMs = 3'000;

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}
Fd listen_here(int& port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address = loopback_address(0);
  socklen_t length = sizeof address;
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), length) != 0 || ::listen(fd.get(), 512) != 0)
    std::perror("listen");
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}
Fd connect_to(int port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = loopback_address(port);
  const int one = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    std::perror("connect");
  return fd;
}
// Returns false if the link has ended.
bool read_whole(int fd) {
  std::array<char, kMessageBytes> bytes{};
  return ::recv(fd, bytes.data(), bytes.size(), MSG_WAITALL) == static_cast<ssize_t>(kMessageBytes);
}
void write_whole(int fd) {
  const std::array<char, kMessageBytes> bytes{};
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) std::perror("send");
}

// Runs submitted tasks one at a time on the thread that calls run().
struct TaskThread {
  void submit(std::function<void()> task) {
    {
      const std::lock_guard lock(mutex);
      job = std::move(task);
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
// A one-shot event that is reset by wait().
struct Completion {
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

// One thread per client link and one per server link.
void relay_thread_per_link(int listener, int server) {
  for (;;) {
    const int client = ::accept(listener, nullptr, nullptr);
    std::thread([client, server] {
      Completion completion;
      const Fd link = connect_to(server);
      const auto task_thread = std::make_shared<TaskThread>();
      std::thread([task_thread] { task_thread->run(); }).detach();
      while (read_whole(client)) {
        task_thread->submit([&] {
          write_whole(link.get());
          read_whole(link.get());
          completion.set();
        });
        completion.wait();
        write_whole(client);
      }
    }).detach();
  }
}

// The links of a relay with a poller.
struct Relay {
  explicit Relay(int server_port) : server(server_port), epoll(::epoll_create1(0)) {}
  void update_poll(int fd, std::uint32_t events, int operation) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (::epoll_ctl(epoll.get(), operation, fd, &event) != 0) std::perror("epoll_ctl");
  }
  // Accepts a client and opens its own server link; each of the two descriptors maps to the peer.
  int accept_one(int listener) {
    const int client = ::accept(listener, nullptr, nullptr);
    const int one = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    links.push_back(connect_to(server));
    const int link = links.back().get();
    peer_of[client] = link;
    peer_of[link] = client;
    server_fds.insert(link);
    return client;
  }
  const int server;
  Fd epoll;
  std::vector<Fd> links;
  std::map<int, int> peer_of;
  std::set<int> server_fds;
  park::ThreadPool thread_pool{{.max_threads = 1'000, .kept_idle_threads = 4}};
};

// One pool thread handles a query from its first byte to its answer, and another one its execution.
void relay_pool_thread_per_query(int listener, int server) {
  Relay relay(server);
  relay.update_poll(listener, EPOLLIN, EPOLL_CTL_ADD);
  for (epoll_event event{}; ::epoll_wait(relay.epoll.get(), &event, 1, -1) >= 0;) {
    const int fd = event.data.fd;
    if (fd == listener) {
      relay.update_poll(relay.accept_one(listener), EPOLLIN | EPOLLONESHOT, EPOLL_CTL_ADD);
      continue;
    }
    relay.thread_pool.try_submit([&relay, fd, link = relay.peer_of[fd]] {
      if (!read_whole(fd)) return;
      Completion completion;
      relay.thread_pool.try_submit([&] {
        write_whole(link);
        read_whole(link);
        completion.set();
      });
      completion.wait();
      write_whole(fd);
      relay.update_poll(fd, EPOLLIN | EPOLLONESHOT, EPOLL_CTL_MOD);
    });
  }
}

// The poller reads queries and answers and writes answers; pool threads only send queries.
void relay_poller_reads(int listener, int server) {
  Relay relay(server);
  relay.update_poll(listener, EPOLLIN, EPOLL_CTL_ADD);
  for (epoll_event event{}; ::epoll_wait(relay.epoll.get(), &event, 1, -1) >= 0;) {
    const int fd = event.data.fd;
    if (fd == listener) {
      const int client = relay.accept_one(listener);
      for (const int fd_of_pair : {client, relay.peer_of[client]})
        relay.update_poll(fd_of_pair, EPOLLIN, EPOLL_CTL_ADD);
      continue;
    }
    const int to = relay.peer_of[fd];
    const bool answer = relay.server_fds.contains(fd);
    if (!read_whole(fd))
      ::epoll_ctl(relay.epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
    else if (answer)
      write_whole(to);
    else
      relay.thread_pool.try_submit([to] { write_whole(to); });
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string model = argc == 4 ? argv[1] : "";
  if (model != "link" && model != "work" && model != "read") {
    std::fprintf(stderr, "threads_probe link|work|read LINKS IDLE\n");
    return 2;
  }
  int server_port = 0, relay_port = 0;
  const Fd server = listen_here(server_port), listener = listen_here(relay_port);
  const pid_t relay = ::fork();
  if (relay == 0) {
    if (model == "link") relay_thread_per_link(listener.get(), server_port);
    if (model == "work") relay_pool_thread_per_query(listener.get(), server_port);
    relay_poller_reads(listener.get(), server_port);
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
  std::atomic<bool> is_measuring{false}, stop{false};
  std::mutex mutex;
  std::vector<double> all;
  std::vector<std::thread> clients;
  for (int i = 0; i < std::atoi(argv[2]); ++i)
    clients.emplace_back([&] {
      const Fd link = connect_to(relay_port);
      std::vector<double> client_times;
      while (!stop) {
        const auto from = std::chrono::steady_clock::now();
        write_whole(link.get());
        read_whole(link.get());
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
        if (is_measuring) client_times.push_back(took.count());
      }
      const std::lock_guard lock(mutex);
      all.insert(all.end(), client_times.begin(), client_times.end());
    });
  ::usleep(500'000);
  is_measuring = true;
  const double before = bench::cpu_us(relay);
  ::usleep(kMeasuredMs * 1'000);
  const double spent = bench::cpu_us(relay) - before;
  const std::string threads = bench::status_line(relay, "Threads"),
                    resident = bench::status_line(relay, "VmRSS");
  stop = true;
  for (auto& client : clients) client.join();
  std::sort(all.begin(), all.end());
  const std::size_t count = std::max<std::size_t>(all.size(), 1);
  all.resize(count);
  std::printf(
      "%s, %s links at work, %s idle: %.1f us of CPU an exchange, p50 %.0f us, p99 %.0f us, %s threads, %s\n",
      model.c_str(), argv[2], argv[3], spent / static_cast<double>(count), all[count / 2],
      all[count * 99 / 100], threads.c_str(), resident.c_str());
  ::kill(relay, SIGKILL);
  ::waitpid(relay, nullptr, 0);
  std::fflush(stdout);
  std::_Exit(0);
}
