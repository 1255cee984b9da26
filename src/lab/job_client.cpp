#include "lab/job_client.hpp"

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "net/http.hpp"

namespace woadtide::lab {

namespace {
constexpr int kMinRetryPauseMs = 10;
constexpr double kMaxWaitMs = 400, kConnectTimeoutMs = 200, kMaxRetryPauseMs = 100;
}  // namespace

std::optional<JobResponse> JobClient::send_request(const std::string& request, double deadline_ms) {
  const net::Address address("127.0.0.1:" + std::to_string(port_));
  if (!socket_) {
    socket_ = net::Socket::create(address);
    if (!socket_.connect(address, std::clamp(deadline_ms - clock_.now(), 1.0, kConnectTimeoutMs))) {
      socket_ = net::Socket();
      return std::nullopt;
    }
  }
  const auto drop_link = [this] {
    socket_ = net::Socket();
    return std::nullopt;
  };
  if (socket_.send({request}, deadline_ms, clock_) != net::IoResult::done) return drop_link();
  std::string received;
  std::vector<char> buffer(65'536);
  std::size_t received_bytes = 0, head_bytes = 0, message_bytes = 0;
  while (message_bytes == 0 || received.size() < message_bytes) {
    if (socket_.receive(buffer.data(), buffer.size(), received_bytes, deadline_ms, clock_) !=
        net::IoResult::done)
      return drop_link();
    received.append(buffer.data(), received_bytes);
    if (head_bytes == 0) head_bytes = net::head_length(received);
    if (head_bytes != 0 && message_bytes == 0)
      message_bytes =
          head_bytes + static_cast<std::size_t>(
                           net::response_framing(
                               net::parse_response_head(std::string_view(received).substr(0, head_bytes)))
                               .length);
  }
  const net::MessageHead head = net::parse_response_head(std::string_view(received).substr(0, head_bytes));
  JobResponse response{head.status, std::string(head.find("X-Job-State").value_or("")),
                       received.substr(head_bytes), 0};
  if (const auto retry = head.find("Retry-After"))
    response.retry_after_ms = std::atof(std::string(*retry).c_str()) * 1'000;
  if (head.connection_lists("close")) socket_ = net::Socket();
  return response;
}

std::optional<JobResponse> JobClient::submit(const std::string& key, bool once, const std::string& body,
                                             double budget_ms, double deadline_ms) {
  return send_request("PUT /jobs/" + key +
                          " HTTP/1.1\r\nX-Call-Class: " + (once ? "refund-payout" : "receipt-check") +
                          "\r\nX-Budget: " + std::to_string(std::max(1, static_cast<int>(budget_ms))) +
                          "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                      deadline_ms);
}

std::optional<JobResponse> JobClient::get_state(const std::string& key, double wait_ms, double deadline_ms) {
  return send_request("GET /jobs/" + key + "?wait=" + std::to_string(std::max(0, static_cast<int>(wait_ms))) +
                          " HTTP/1.1\r\n\r\n",
                      deadline_ms);
}

ClientObservation JobClient::run_job(const std::string& key, bool once, const std::string& body,
                                     double budget_ms) {
  const double deadline_ms = clock_.now() + budget_ms;
  ClientObservation observation{key, "gave-up", once, 0, {}, {}};
  for (bool accepted = false; clock_.now() < deadline_ms;) {
    const double remaining_ms = deadline_ms - clock_.now();
    const auto response = accepted ? get_state(key, std::min(kMaxWaitMs, remaining_ms), deadline_ms)
                                   : submit(key, once, body, remaining_ms, deadline_ms);
    double pause_ms = response ? 0 : kMinRetryPauseMs;
    if (response && (response->status == 200 || response->status == 502)) {
      observation = {key, "told", once, response->status, response->state, response->body};
      return observation;
    }
    if (response && response->status == 202) accepted = true;
    // A refusal is final unless there is time for a retry, which is safe after a refusal.
    if (response && response->status == 503 && response->state == "refused")
      observation = {key, "told", once, response->status, response->state, response->body};
    if (response && (response->status == 503 || response->status == 404)) {
      accepted = false;
      pause_ms =
          std::clamp(response->retry_after_ms, static_cast<double>(kMinRetryPauseMs), kMaxRetryPauseMs);
    }
    if (pause_ms > 0)
      ::poll(nullptr, 0, static_cast<int>(std::min(pause_ms, std::max(0.0, deadline_ms - clock_.now()))));
  }
  return observation;
}

}  // namespace woadtide::lab
