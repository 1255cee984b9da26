#include "lab/discovery.hpp"

#include <poll.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "net/buffer_pool.hpp"
#include "net/http.hpp"

namespace woadtide::lab {

using nlohmann::json;

namespace {
constexpr double kPatienceMs = 10'000, kQuietMs = 1'000;
constexpr std::size_t kLinks = 64;

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
}  // namespace

Discovery::Discovery()
    : acceptor_("discovery", net::Socket::listen_at(net::Address("127.0.0.1:0")), kLinks, clock_,
                [this](net::Socket& socket) { serve(socket); }) {}

Discovery::~Discovery() { ending_ = true; }

void Discovery::set(const std::string& host, const std::string& dial, const std::string& health,
                    const std::string& kind) {
  const std::lock_guard lock(mutex_);
  hosts_[host] = json({{"host", host},
                       {"dial", dial},
                       {"site", "a"},
                       {"class", kind},
                       {"health", health},
                       {"born_ms", 0}})
                     .dump();
  seq_ += 1;
}

std::string Discovery::list() {
  const std::lock_guard lock(mutex_);
  json hosts = json::array();
  for (const auto& [host, entry] : hosts_) {
    json object = json::parse(entry);
    if (object["health"] != "Gone") hosts.push_back(std::move(object));
  }
  return json({{"seq", seq_}, {"whole", true}, {"hosts", std::move(hosts)}}).dump();
}

void Discovery::serve(net::Socket& socket) {
  net::BufferPool pool(1);
  net::Intake intake(socket, clock_, pool);
  net::Io why = net::Io::done;
  const auto length = intake.head(clock_.now() + kPatienceMs, why);
  if (!length) return;
  const bool follow = intake.view().substr(0, *length).find("follow=1") != std::string_view::npos;
  const auto write = [&](const std::string& text) {
    return socket.send({text}, clock_.now() + kPatienceMs, clock_) == net::Io::done;
  };
  const std::string whole = list() + '\n';
  if (!follow) {
    write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(whole.size()) +
          "\r\n\r\n" + whole);
    return;
  }
  if (!write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
  int told = 0;
  for (double quiet = 0; !ending_; ::poll(nullptr, 0, 5)) {
    int seq = 0;
    {
      const std::lock_guard lock(mutex_);
      seq = seq_;
    }
    if (seq != told) {
      if (!write(chunk(list() + '\n'))) return;
      told = seq;
      quiet = clock_.now();
    } else if (clock_.now() - quiet > kQuietMs) {
      if (!write(chunk("\n"))) return;
      quiet = clock_.now();
    }
  }
}

}  // namespace woadtide::lab
