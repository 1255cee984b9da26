#include "lab/soak/clients.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <pcg_random.hpp>
#include <utility>

#include "net/http.hpp"

namespace woadtide::lab::soak {

namespace {

using End = RequestRecord::End;
using net::IoResult;

constexpr double kConnectTimeoutMs = 1'000;
constexpr double kAnswerGraceMs = 1'500;  // how long past its deadline an answer is still waited for
constexpr double kBadClientTimeoutMs = 12'000;
// Shares of all requests.
constexpr double kPayoutShare = 0.4, kDisconnectShare = 0.08, kPauseShare = 0.1, kShortBudgetShare = 0.1;
constexpr double kMaxThinkMs = 25, kMaxPauseMs = 40, kMaxDisconnectDelayMs = 60;
constexpr double kNoDisconnect = -1;  // in place of the delay of a client that does not disconnect
constexpr double kMinShortBudgetMs = 15, kMaxShortBudgetMs = 60;
constexpr std::size_t kReadBufferBytes = 4'096;

void sleep_ms(double ms) { ::poll(nullptr, 0, static_cast<int>(std::max(ms, 0.0))); }

class RandomSource {
 public:
  RandomSource(std::uint64_t seed, int number) : generator_(seed, static_cast<std::uint64_t>(number) + 1) {}
  double real(double min, double max) {
    return boost::random::uniform_real_distribution<double>(min, max)(generator_);
  }
  bool chance(double share) { return real(0, 1) < share; }

 private:
  pcg32 generator_;
};

std::string serialize_request(const RequestRecord& request) {
  const std::string body = "of " + request.id;
  return "POST /api?user=" + request.id + " HTTP/1.1\r\nHost: lab\r\nX-Call-Id: " + request.id +
         "\r\nX-Call-Class: " + (request.is_payout ? "refund-payout" : "receipt-check") +
         "\r\nX-Budget: " + std::to_string(static_cast<int>(request.budget_ms)) +
         "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Client {
 public:
  Client(const SoakPlan& plan, int number, const core::Clock& clock, const RunState& run_state,
         Recorder& recorder)
      : plan_(plan),
        number_(number),
        clock_(clock),
        run_state_(run_state),
        recorder_(recorder),
        random_(plan.seed, number) {}

  void run() {
    while (clock_.now() < run_state_.ends_at_ms) {
      if (!socket_ && !connect()) return;
      send_request();
      sleep_ms(random_.real(0, kMaxThinkMs));
    }
  }

 private:
  bool may_connect() const { return clock_.now() < run_state_.connects_until_ms; }

  bool connect() {
    while (may_connect()) {
      socket_ = net::Socket::create(run_state_.dispatcher);
      connection_is_new_ = true;
      if (socket_.connect(run_state_.dispatcher, kConnectTimeoutMs)) return true;
      socket_ = net::Socket{};
      sleep_ms(kMaxThinkMs);
    }
    return false;
  }

  RequestRecord draw_request() {
    RequestRecord request;
    request.id = "r" + std::to_string(number_) + "-" + std::to_string(++count_);
    request.is_payout = random_.chance(kPayoutShare);
    request.budget_ms = request.is_payout ? plan_.payout_deadline_ms : plan_.longest_deadline_ms;
    if (plan_.short_budgets && random_.chance(kShortBudgetShare))
      request.budget_ms = random_.real(kMinShortBudgetMs, kMaxShortBudgetMs);
    request.budget_ms = std::floor(request.budget_ms);
    return request;
  }

  void send_request() {
    RequestRecord request = draw_request();
    const double disconnect_after_ms = plan_.clients_leave && random_.chance(kDisconnectShare)
                                           ? random_.real(0, kMaxDisconnectDelayMs)
                                           : kNoDisconnect;
    const bool was_idle = !connection_is_new_;
    request.on_new_connection = connection_is_new_;
    exchange(request, disconnect_after_ms);
    // The dispatcher closed the idle connection while the request was on its way: send it again on a new one.
    const bool raced_idle_close = was_idle && (request.end == End::closed || request.end == End::reset);
    if (raced_idle_close) {
      request.end = End::not_sent;
      request.sent_again_ms = clock_.now();
      if (connect()) exchange(request, kNoDisconnect);
    }
    request.ended_ms = clock_.now();
    recorder_.add(std::move(request));
  }

  void exchange(RequestRecord& request, double disconnect_after_ms) {
    const std::string text = serialize_request(request);
    const double until_ms = clock_.now() + plan_.longest_deadline_ms + kAnswerGraceMs;
    std::size_t pause_offset = 0;
    if (plan_.clients_pause && random_.chance(kPauseShare))
      pause_offset = static_cast<std::size_t>(random_.real(1, static_cast<double>(text.size())));
    if (pause_offset > 0) {
      socket_.send({std::string_view(text).substr(0, pause_offset)}, until_ms, clock_);
      sleep_ms(random_.real(0, kMaxPauseMs));
    }
    const bool sent =
        socket_.send({std::string_view(text).substr(pause_offset)}, until_ms, clock_) == IoResult::done;
    request.sent_ms = clock_.now();
    if (!sent) return close_connection(request, End::reset);
    if (disconnect_after_ms != kNoDisconnect) {
      sleep_ms(disconnect_after_ms);
      return close_connection(request, End::client_left);
    }
    read_answer(request, request.sent_ms + request.budget_ms + kAnswerGraceMs);
  }

  void close_connection(RequestRecord& request, End end) {
    socket_ = net::Socket{};
    request.end = end;
    request.ended_ms = clock_.now();
  }

  void read_answer(RequestRecord& request, double until_ms) {
    std::string received;
    std::array<char, kReadBufferBytes> buffer{};
    for (std::size_t answer_bytes = 0; answer_bytes == 0 || received.size() < answer_bytes;) {
      std::size_t received_bytes = 0;
      const IoResult io = socket_.receive(buffer.data(), buffer.size(), received_bytes, until_ms, clock_);
      if (io != IoResult::done)
        return close_connection(request, io == IoResult::timed_out       ? End::unanswered
                                         : io == IoResult::end_of_stream ? End::closed
                                                                         : End::reset);
      received.append(buffer.data(), received_bytes);
      const std::size_t head_bytes = net::head_length(received);
      if (head_bytes == 0) continue;
      const net::MessageHead head =
          net::parse_response_head(std::string_view(received).substr(0, head_bytes));
      const net::Framing framing = net::response_framing(head);
      answer_bytes = head_bytes + static_cast<std::size_t>(framing.length);
      request.status = head.status;
      if (received.size() < answer_bytes) continue;
      request.body = received.substr(head_bytes, answer_bytes - head_bytes);
      if (framing.closes_link) socket_ = net::Socket{};
    }
    connection_is_new_ = false;
    request.end = End::answered;
    request.ended_ms = clock_.now();
  }

  const SoakPlan& plan_;
  const int number_;
  const core::Clock& clock_;
  const RunState& run_state_;
  Recorder& recorder_;
  RandomSource random_;
  net::Socket socket_;
  bool connection_is_new_ = true;  // no answer was received on it yet
  int count_ = 0;
};

}  // namespace

void run_client(const SoakPlan& plan, int number, const core::Clock& clock, const RunState& run_state,
                Recorder& recorder) {
  Client(plan, number, clock, run_state, recorder).run();
}

void run_bad_client(const SoakPlan& plan, int number, const core::Clock& clock, const RunState& run_state,
                    Recorder& recorder) {
  constexpr int kFirstStream = 1'000;  // random streams distinct from those of the well-behaved clients
  RandomSource random(plan.seed, kFirstStream + number);
  sleep_ms(random.real(0, plan.load_ms * 0.8));
  RequestRecord request;
  request.id = "bad" + std::to_string(number);
  request.budget_ms = plan.longest_deadline_ms;
  const std::string text = serialize_request(request);
  const std::size_t head_bytes = text.find("\r\n\r\n") + 4;
  const std::pair<const char*, std::size_t> partial_requests[] = {{"nothing", 0},
                                                                  {"half a head", head_bytes / 2},
                                                                  {"a head alone", head_bytes},
                                                                  {"half a body", head_bytes + 3}};
  const auto& [description, byte_count] = partial_requests[number % 4];
  net::Socket socket = net::Socket::create(run_state.dispatcher);
  if (!socket.connect(run_state.dispatcher, kConnectTimeoutMs)) return;
  BadClientRecord record{description, clock.now(), 0};
  const double until_ms = clock.now() + kBadClientTimeoutMs;
  if (byte_count > 0) socket.send({std::string_view(text).substr(0, byte_count)}, until_ms, clock);
  std::array<char, kReadBufferBytes> buffer{};
  std::size_t received_bytes = 0;
  socket.receive(buffer.data(), buffer.size(), received_bytes, until_ms, clock);
  record.ended_ms = clock.now();
  recorder.add(std::move(record));
}

}  // namespace woadtide::lab::soak
