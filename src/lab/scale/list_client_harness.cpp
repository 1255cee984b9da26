#include "lab/scale/list_client_harness.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cstdio>
#include <stdexcept>
#include <variant>

#include "lab/scale/module_harness.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr double kTimeoutMs = 5'000;
constexpr std::size_t kBufferCount = 4;
constexpr int kFirstPort = 1'024, kPortCount = 60'000;

// Endpoint `number`, with an address and start time of its own.
core::Endpoint make_endpoint(int number) {
  const std::string address = "10." + std::to_string(number / 256 % 256) + '.' +
                              std::to_string(number % 256) +
                              ".7:" + std::to_string(kFirstPort + number % kPortCount);
  core::Endpoint host{worker_entry(number), address};
  host.entry.started = std::chrono::milliseconds(1'700'000'000'000 + number);
  return host;
}

// One chunk of a chunked HTTP body.
std::string http_chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

core::EndpointList endpoint_list(int workers) {
  core::EndpointList list{1, true, {}};
  for (int i = 0; i < workers; ++i) list.endpoints.push_back(make_endpoint(i));
  return list;
}

core::EndpointList endpoint_change(int number, std::int64_t sequence, woadtide::WorkerState state) {
  core::EndpointList list{sequence, false, {make_endpoint(number)}};
  list.endpoints.front().entry.state = state;
  return list;
}

ListClientHarness::ListClientHarness()
    : pool_(kBufferCount),
      listener_(net::Socket::listen_at(net::Address("127.0.0.1:0"))),
      event_loop_(clock_),
      thread_pool_({}),
      client_("127.0.0.1:" + std::to_string(listener_.port()), core::EndpointList{}, clock_, inbox_, pool_,
              event_loop_, thread_pool_) {
  client_.start_watch();
  accept_watch_connection();
  inbox_.take_all();  // discards the report of the empty remembered list
}

void ListClientHarness::accept_watch_connection() {
  const double deadline = clock_.now() + kTimeoutMs;
  net::poll_until(listener_.fd(), POLLIN, -1, deadline, clock_);
  watch_connection_ = net::Socket(net::Fd(::accept(listener_.fd(), nullptr, nullptr)));
  std::string request_head;
  char bytes[1024];
  std::size_t received_bytes = 0;
  while (request_head.find("\r\n\r\n") == std::string::npos) {
    if (watch_connection_.receive(bytes, sizeof bytes, received_bytes, deadline, clock_) !=
        net::IoResult::done)
      throw std::runtime_error("scale: the endpoint list client did not open its watch");
    request_head.append(bytes, received_bytes);
  }
  watch_connection_.send({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, deadline, clock_);
}

bool ListClientHarness::deliver(const core::EndpointList& list) {
  const std::string chunk = http_chunk(core::serialize(list) + '\n');
  watch_connection_.send({chunk}, clock_.now() + kTimeoutMs, clock_);
  return client_reported(list.complete ? ListKind::full : ListKind::changes, list.endpoints.size());
}

bool ListClientHarness::client_reported(woadtide::ListKind kind, std::size_t entries) {
  const double deadline = clock_.now() + kTimeoutMs;
  while (clock_.now() < deadline) {
    inbox_.wait_for_message(deadline - clock_.now());
    for (const core::Message& message : inbox_.take_all()) {
      const auto* list_update = std::get_if<core::ListUpdateReceived>(&message);
      if (list_update)
        return list_update->update.kind == kind && list_update->update.entries.size() == entries;
    }
  }
  return false;
}

}  // namespace woadtide::lab::scale
