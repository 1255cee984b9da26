#include "lab/job_client.hpp"

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "net/http.hpp"

namespace woadtide::lab {

namespace {
constexpr int kPauseMs = 10;
constexpr double kWaitMs = 400, kConnectMs = 200, kMostPauseMs = 100;
}  // namespace

std::optional<Heard> JobClient::call(const std::string& text, double until) {
  const net::Address address("127.0.0.1:" + std::to_string(port_));
  if (!socket_) {
    socket_ = net::Socket::make(address);
    if (!socket_.connect(address, std::clamp(until - clock_.now(), 1.0, kConnectMs))) {
      socket_ = net::Socket();
      return std::nullopt;
    }
  }
  const auto broken = [this] {
    socket_ = net::Socket();
    return std::nullopt;
  };
  if (socket_.send({text}, until, clock_) != net::Io::done) return broken();
  std::string come;
  std::vector<char> some(65'536);
  std::size_t got = 0, length = 0, whole = 0;
  while (whole == 0 || come.size() < whole) {
    if (socket_.receive(some.data(), some.size(), got, until, clock_) != net::Io::done) return broken();
    come.append(some.data(), got);
    if (length == 0) length = net::head_length(come);
    if (length != 0 && whole == 0)
      whole =
          length +
          static_cast<std::size_t>(
              net::framing_of_answer(net::read_answer_head(std::string_view(come).substr(0, length))).length);
  }
  const net::Head head = net::read_answer_head(std::string_view(come).substr(0, length));
  Heard heard{head.status, std::string(head.find("X-Job-State").value_or("")), come.substr(length), 0};
  if (const auto retry = head.find("Retry-After"))
    heard.retry_after_ms = std::atof(std::string(*retry).c_str()) * 1'000;
  if (head.connection_names("close")) socket_ = net::Socket();
  return heard;
}

std::optional<Heard> JobClient::put(const std::string& key, bool once, const std::string& body,
                                    double budget_ms, double until) {
  return call("PUT /jobs/" + key +
                  " HTTP/1.1\r\nX-Call-Class: " + (once ? "refund-payout" : "receipt-check") +
                  "\r\nX-Budget: " + std::to_string(std::max(1, static_cast<int>(budget_ms))) +
                  "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
              until);
}

std::optional<Heard> JobClient::get(const std::string& key, double wait_ms, double until) {
  return call("GET /jobs/" + key + "?wait=" + std::to_string(std::max(0, static_cast<int>(wait_ms))) +
                  " HTTP/1.1\r\n\r\n",
              until);
}

Seen JobClient::bring(const std::string& key, bool once, const std::string& body, double budget_ms) {
  const double until = clock_.now() + budget_ms;
  Seen seen{key, "gave-up", once, 0, {}, {}};
  for (bool taken = false; clock_.now() < until;) {
    const double left = until - clock_.now();
    const auto heard = taken ? get(key, std::min(kWaitMs, left), until) : put(key, once, body, left, until);
    double pause = heard ? 0 : kPauseMs;
    if (heard && (heard->status == 200 || heard->status == 502)) {
      seen = {key, "told", once, heard->status, heard->state, heard->body};
      return seen;
    }
    if (heard && heard->status == 202) taken = true;
    // A refusal is an end, unless there is time to try again: that does no harm.
    if (heard && heard->status == 503 && heard->state == "refused")
      seen = {key, "told", once, heard->status, heard->state, heard->body};
    if (heard && (heard->status == 503 || heard->status == 404)) {
      taken = false;
      pause = std::clamp(heard->retry_after_ms, static_cast<double>(kPauseMs), kMostPauseMs);
    }
    if (pause > 0) ::poll(nullptr, 0, static_cast<int>(std::min(pause, std::max(0.0, until - clock_.now()))));
  }
  return seen;
}

}  // namespace woadtide::lab
