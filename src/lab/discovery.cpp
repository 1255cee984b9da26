#include "lab/discovery.hpp"

#include <poll.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

#include "net/buffer_pool.hpp"
#include "net/http.hpp"

namespace woadtide::lab {

using nlohmann::json;

namespace {
constexpr double kIoTimeoutMs = 10'000, kKeepAliveIntervalMs = 1'000;
constexpr std::size_t kMaxLinks = 64;
constexpr int kPollIntervalMs = 5;

std::string encode_chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
}  // namespace

TestDiscovery::TestDiscovery()
    : acceptor_("discovery", net::Socket::listen_at(net::Address("127.0.0.1:0")), kMaxLinks, clock_,
                [this](net::Socket& socket) { serve(socket); }) {}

TestDiscovery::~TestDiscovery() { stopping_ = true; }

void TestDiscovery::set_worker(const std::string& host, const std::string& dial, const std::string& health,
                               const std::string& kind) {
  const std::lock_guard lock(mutex_);
  endpoints_[host] = json({{"host", host},
                           {"dial", dial},
                           {"site", "a"},
                           {"class", kind},
                           {"health", health},
                           {"born_ms", 0}})
                         .dump();
  seq_ += 1;
}

std::string TestDiscovery::serialized_list() {
  const std::lock_guard lock(mutex_);
  json endpoints = json::array();
  for (const auto& [host, entry] : endpoints_) {
    json object = json::parse(entry);
    if (object["health"] != "Gone") endpoints.push_back(std::move(object));
  }
  return json({{"seq", seq_}, {"whole", true}, {"hosts", std::move(endpoints)}}).dump();
}

std::optional<double> TestDiscovery::not_ready_sent_at(const std::string& host) {
  const std::lock_guard lock(mutex_);
  const auto found = not_ready_sent_at_.find(host);
  if (found == not_ready_sent_at_.end()) return std::nullopt;
  return found->second;
}

bool TestDiscovery::write(net::Socket& socket, const std::string& text) {
  return socket.send({text}, clock_.now() + kIoTimeoutMs, clock_) == net::IoResult::done;
}

void TestDiscovery::serve(net::Socket& socket) {
  net::BufferPool buffer_pool(1);
  net::BufferedInput input(socket, clock_, buffer_pool);
  net::IoResult result = net::IoResult::done;
  const auto length = input.read_head(clock_.now() + kIoTimeoutMs, result);
  if (!length) return;
  const bool is_watch = input.view().substr(0, *length).find("follow=1") != std::string_view::npos;
  const double answer_at = clock_.now() + answer_delay_ms_;
  while (clock_.now() < answer_at && !stopping_) ::poll(nullptr, 0, kPollIntervalMs);
  if (down_) {
    write(socket, "HTTP/1.1 503 Down\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  if (is_watch) return serve_watch(socket);
  const std::string body = serialized_list() + '\n';
  write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
}

void TestDiscovery::serve_watch(net::Socket& socket) {
  const int silence_count = silence_count_;
  if (!write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
  int sent_seq = 0;
  for (double last_write_ms = 0; !stopping_ && !down_; ::poll(nullptr, 0, kPollIntervalMs)) {
    if (silence_count != silence_count_) {
      if (!socket.stays_open(kPollIntervalMs)) return;  // the watching side has closed the link
      continue;
    }
    const int previous_seq = sent_seq;
    if (!write_list_if_changed(socket, sent_seq)) return;
    if (sent_seq != previous_seq) last_write_ms = clock_.now();
    if (clock_.now() - last_write_ms <= kKeepAliveIntervalMs) continue;
    if (!write(socket, encode_chunk("\n"))) return;
    last_write_ms = clock_.now();
  }
}

// Writes the complete list if it has changed since the last write. Returns false if the watch has ended.
bool TestDiscovery::write_list_if_changed(net::Socket& socket, int& sent_seq) {
  std::vector<std::string> not_ready;
  {
    const std::lock_guard lock(mutex_);
    if (seq_ == sent_seq) return true;
    sent_seq = seq_;
    for (const auto& [host, entry] : endpoints_)
      if (json::parse(entry)["health"] != "Ready") not_ready.push_back(host);
  }
  if (!write(socket, encode_chunk(serialized_list() + '\n'))) return false;
  const std::lock_guard lock(mutex_);
  for (const std::string& host : not_ready) not_ready_sent_at_.try_emplace(host, clock_.now());
  return true;
}

}  // namespace woadtide::lab
