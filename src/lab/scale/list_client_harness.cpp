#include "lab/scale/list_client_harness.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cstdio>
#include <stdexcept>
#include <variant>

#include "lab/scale/module_harness.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr double kPatienceMs = 5'000;
constexpr std::size_t kBuffers = 4;
constexpr int kFirstPort = 1'024, kPorts = 60'000;

core::Host endpoint(int number) {
  const std::string address = "10." + std::to_string(number / 256 % 256) + '.' +
                              std::to_string(number % 256) +
                              ".7:" + std::to_string(kFirstPort + number % kPorts);
  core::Host host{worker_entry(number), address};
  host.entry.started = std::chrono::milliseconds(1'700'000'000'000 + number);
  return host;
}

std::string chunk_of(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

core::HostList endpoint_list(int workers) {
  core::HostList list{1, true, {}};
  for (int i = 0; i < workers; ++i) list.hosts.push_back(endpoint(i));
  return list;
}

core::HostList endpoint_change(int number, std::int64_t sequence, woadtide::WorkerState state) {
  core::HostList list{sequence, false, {endpoint(number)}};
  list.hosts.front().entry.state = state;
  return list;
}

ListClientHarness::ListClientHarness()
    : pool_(kBuffers),
      listener_(net::Socket::listen_at(net::Address("127.0.0.1:0"))),
      park_(clock_),
      crew_({}),
      client_("127.0.0.1:" + std::to_string(listener_.port()), core::HostList{}, clock_, inbox_, pool_, park_,
              crew_) {
  client_.watch();
  accept_watch();
  inbox_.take();  // the empty list that it remembers
}

void ListClientHarness::accept_watch() {
  const double deadline = clock_.now() + kPatienceMs;
  net::wait_for(listener_.fd(), POLLIN, -1, deadline, clock_);
  watch_ = net::Socket(net::Fd(::accept(listener_.fd(), nullptr, nullptr)));
  std::string head;
  char bytes[1024];
  std::size_t got = 0;
  while (head.find("\r\n\r\n") == std::string::npos) {
    if (watch_.receive(bytes, sizeof bytes, got, deadline, clock_) != net::Io::done)
      throw std::runtime_error("scale: the list client opened no watch");
    head.append(bytes, got);
  }
  watch_.send({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, deadline, clock_);
}

bool ListClientHarness::deliver(const core::HostList& list) {
  const std::string line = chunk_of(core::text_of(list) + '\n');
  watch_.send({line}, clock_.now() + kPatienceMs, clock_);
  return client_told(list.whole ? ListKind::full : ListKind::changes, list.hosts.size());
}

bool ListClientHarness::client_told(woadtide::ListKind kind, std::size_t entries) {
  const double deadline = clock_.now() + kPatienceMs;
  while (clock_.now() < deadline) {
    inbox_.wait(deadline - clock_.now());
    for (const core::Message& message : inbox_.take()) {
      const auto* told = std::get_if<core::ListTold>(&message);
      if (told) return told->update.kind == kind && told->update.entries.size() == entries;
    }
  }
  return false;
}

}  // namespace woadtide::lab::scale
