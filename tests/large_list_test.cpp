// Endpoint lists of the size that operators plan for, and unusable lists, over real connections.
#include <poll.h>

#include "node_harness.hpp"

namespace woadtide::net {
namespace {

nlohmann::json whole_list(int workers, int seq) {
  EndpointEntries hosts;
  for (int i = 0; i < workers; ++i) {
    nlohmann::json host = endpoint_json("s-" + std::to_string(10'000'000 + i), "127.0.0.1:8000");
    host["class"] = "m2";
    host["block"] = 3;
    host["share"] = 1.0;
    hosts.push_back(std::move(host));
  }
  return {{"seq", seq}, {"whole", true}, {"hosts", std::move(hosts)}};
}

constexpr const char* kResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Splits `text` into chunks of `piece` bytes, so that chunk ends and line ends are independent.
std::string to_chunks(const std::string& text, std::size_t piece) {
  std::string chunked;
  for (std::size_t from = 0; from < text.size(); from += piece) {
    const std::string part = text.substr(from, piece);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    chunked += size + part + "\r\n";
  }
  return chunked;
}

struct Client {
  explicit Client(const endpoints::EndpointLimits& limits)
      : hosts(discovery.dial(), core::EndpointList{}, clock, inbox, pool, park, crew,
              EndpointListClient::DiscoveryMode::on_request, EndpointListClient::kSilenceTimeoutMs, {},
              limits) {
    next();  // the remembered list, which is empty
  }
  ListUpdate next() {
    while (updates.empty()) {
      inbox.wait_for_message(10'000);
      for (core::Message& message : inbox.take_all())
        updates.push_back(std::get<core::ListUpdateReceived>(message).update);
      REQUIRE_MESSAGE(!updates.empty(), "no list update arrived");
    }
    ListUpdate update = std::move(updates.front());
    updates.pop_front();
    return update;
  }
  // Accepts a call on discovery's side and reads its request.
  Peer accept_call() {
    hosts.start_watch();
    Peer peer = discovery.accept();
    peer.read_message();
    return peer;
  }
  bool call_arrives() {
    pollfd poll_fd{discovery.socket.fd(), POLLIN, 0};
    return ::poll(&poll_fd, 1, 50) > 0;
  }

  ListeningPort discovery;
  core::Clock clock;
  core::Inbox inbox;
  BufferPool pool{16};
  std::deque<ListUpdate> updates;
  park::EventLoop park{clock};
  park::ThreadPool crew{{}};
  EndpointListClient hosts;
};

// Guards the growth of the fleet: lines were once limited to 64 KiB, so that no list of more than some 525
// workers could be read.
TEST_CASE(
    "lists of 3,200 and 10,000 workers are read, in one line or indented, in small chunks, and then "
    "updated") {
  for (const int workers : {3'200, 10'000})
    for (const int indent : {-1, 2}) {
      CAPTURE(workers);
      CAPTURE(indent);
      Client client(endpoints::endpoint_limits(64'000'000));
      Peer watch = client.accept_call();
      watch.write(kResponseHead + to_chunks(whole_list(workers, 41).dump(indent) + "\n", 997));
      const ListUpdate full_list = client.next();
      CHECK(full_list.kind == ListKind::full);
      CHECK(full_list.entries.size() == static_cast<std::size_t>(workers));
      EndpointEntries changed;
      for (int i = 0; i < 1'000; ++i)
        changed.push_back(
            endpoint_json("s-" + std::to_string(10'000'000 + i), "127.0.0.1:9000", "Terminating"));
      watch.write(
          to_chunks(nlohmann::json{{"seq", 42}, {"whole", false}, {"hosts", changed}}.dump() + "\n", 997));
      const ListUpdate changes = client.next();
      CHECK(changes.kind == ListKind::changes);
      CHECK(changes.entries.size() == 1'000);
      CHECK(client.hosts.find("s-10000999")->entry.state == WorkerState::draining);
      CHECK(client.hosts.find("s-10000999")->dial == "127.0.0.1:9000");
      CHECK(client.hosts.find("s-10001000")->entry.state == WorkerState::ready);
      watch.write(to_chunks(whole_list(workers / 10, 43).dump() + "\n", 997));
      CHECK(client.next().entries.size() == static_cast<std::size_t>(workers / 10));
      CHECK_FALSE(client.hosts.find("s-10001000"));
    }
}

// Guards the control traffic limit and the current list: an unusable list was once loaded again and again, at
// over 1 MB a second.
TEST_CASE(
    "an unusable list is read no more often than the control traffic limit allows, and the current list "
    "stays") {
  const std::string too_large = whole_list(200, 50).dump() + "\n";
  const std::string twice = R"({"seq":50,"whole":true,"hosts":[)" + std::string(20'000, ' ') +
                            R"({"host":"v","dial":"127.0.0.1:1","health":"Ready"},)"
                            R"({"host":"v","dial":"127.0.0.1:2","health":"Ready"}]})"
                            "\n";
  const std::string cut = whole_list(100, 50).dump().substr(0, 10'000);
  for (const std::string& text : {too_large, twice, cut}) {
    CAPTURE(text.substr(0, 60));
    Client client({100, 100'000, 4'096});
    client.clock.set(kStartTimeMs);
    {
      Peer watch = client.accept_call();
      watch.write(kResponseHead + to_chunks(whole_list(100, 41).dump() + "\n", 4'096));
      CHECK(client.next().kind == ListKind::full);
    }
    CHECK(client.next().kind == ListKind::failed);
    for (int calls = 0; calls < 2; ++calls) {
      Peer watch = client.accept_call();
      watch.write(kResponseHead + to_chunks(text, 4'096));
      watch.socket.shut_down(SHUT_WR);
      const ListUpdate failed = client.next();
      CHECK(failed.kind == ListKind::failed);
      CHECK(failed.as_of >= core::to_micros(kStartTimeMs));
      CHECK(client.hosts.find("s-10000099"));
    }
    client.hosts.start_watch();
    CHECK_FALSE(client.call_arrives());
    // A dispatcher may use 4 KB a second for control traffic; the list is in force until the next call is
    // due.
    client.clock.set(kStartTimeMs + 2'000);
    CHECK_FALSE(client.call_arrives());
    client.clock.set(kStartTimeMs + 10'000);
    CHECK(client.discovery.accept().read_message().find("since=41 ") != std::string::npos);
  }
}

}  // namespace
}  // namespace woadtide::net
