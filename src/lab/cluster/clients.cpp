#include "lab/cluster/clients.hpp"

#include <poll.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdlib>
#include <pcg_random.hpp>
#include <utility>

#include "lab/cluster/plan.hpp"
#include "net/http.hpp"
#include "park/park.hpp"

namespace woadtide::lab::cluster {

namespace {

constexpr double kConnectTimeoutMs = 250;
constexpr double kLateAnswerMs = 400;  // how long to wait for an answer after the time limit
constexpr std::size_t kMaxConcurrentQueries = 500;

class LoadGenerator {
 public:
  LoadGenerator(Plan plan, std::string dispatcher, const std::string& record)
      : plan_(std::move(plan)),
        dispatcher_(std::move(dispatcher)),
        address_(plan_.client_addresses.at(dispatcher_)),
        random_(plan_.seed, static_cast<std::uint64_t>(std::stoi(dispatcher_.substr(1))) + 1),
        records_(record),
        thread_pool_({.max_threads = kMaxConcurrentQueries}) {}

  void run() {
    const Scenario& scenario = plan_.scenario;
    const double queries_per_ms = scenario.rate / scenario.dispatchers / 1'000;
    for (double next_ms = 0; next_ms < scenario.seconds * 1'000;) {
      next_ms += boost::random::exponential_distribution<double>(queries_per_ms)(random_);
      QueryRecord query;
      query.id = dispatcher_ + '-' + std::to_string(query_count_++);
      query.dispatcher = dispatcher_;
      query.at_most_once = random_share() < scenario.payouts;
      const bool honours_retry_after = random_share() < 0.5;
      while (now() < next_ms) ::poll(nullptr, 0, 1);
      // At the limit the query is skipped: waiting would turn the open loop into a closed one and hide
      // delays.
      if (!thread_pool_.try_submit(
              [this, query, honours_retry_after] { send_with_retry(query, honours_retry_after); }))
        continue;
    }
  }

 private:
  double now() const { return clock_.now() - plan_.start_ms; }
  double random_share() { return boost::random::uniform_real_distribution<double>(0, 1)(random_); }

  // A refusal means that a retry is safe. Each refused query is retried once; half of them wait for the time
  // in Retry-After first.
  void send_with_retry(QueryRecord query, bool honours_retry_after) {
    const double retry_after_ms = send_query(query);
    records_.append(to_json_line(query));
    if (query.outcome != QueryRecord::Outcome::answered || query.status != 503) return;
    if (honours_retry_after) ::poll(nullptr, 0, static_cast<int>(retry_after_ms));
    QueryRecord retry;
    retry.id = query.id + "-again";
    retry.dispatcher = query.dispatcher;
    retry.at_most_once = query.at_most_once;
    send_query(retry);
    records_.append(to_json_line(retry));
  }

  // Returns the value of Retry-After in ms, 0 without one.
  double send_query(QueryRecord& query) {
    query.sent_ms = query.ended_ms = now();
    query.outcome = QueryRecord::Outcome::not_sent;
    const double deadline_ms = clock_.now() + plan_.scenario.budget_ms;
    net::Socket socket = net::Socket::create(address_);
    const std::string body = "of " + query.id;
    const std::string request =
        "POST /api?user=" + query.id + " HTTP/1.1\r\nHost: lab\r\nX-Call-Id: " + query.id +
        "\r\nX-Call-Class: " + (query.at_most_once ? "refund-payout" : "receipt-check") +
        "\r\nX-Budget: " + std::to_string(static_cast<int>(plan_.scenario.budget_ms)) +
        "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    double retry_after_ms = 0;
    if (socket.connect(address_, kConnectTimeoutMs) &&
        socket.send({request}, deadline_ms, clock_) == net::IoResult::done) {
      query.sent_ms = now();
      retry_after_ms = read_answer(socket, query, deadline_ms + kLateAnswerMs);
    }
    query.ended_ms = now();
    return retry_after_ms;
  }

  double read_answer(net::Socket& socket, QueryRecord& query, double deadline_ms) {
    std::string received;
    std::vector<char> buffer(4096);
    query.outcome = QueryRecord::Outcome::link_broken;
    try {
      for (std::size_t message_bytes = 0; message_bytes == 0 || received.size() < message_bytes;) {
        std::size_t received_bytes = 0;
        const net::IoResult result =
            socket.receive(buffer.data(), buffer.size(), received_bytes, deadline_ms, clock_);
        if (result == net::IoResult::timed_out) query.outcome = QueryRecord::Outcome::timed_out;
        if (result != net::IoResult::done) return 0;
        received.append(buffer.data(), received_bytes);
        const std::size_t head_bytes = net::head_length(received);
        if (head_bytes == 0) continue;
        const net::MessageHead head =
            net::parse_response_head(std::string_view(received).substr(0, head_bytes));
        message_bytes = head_bytes + static_cast<std::size_t>(net::response_framing(head).length);
        query.status = head.status;
        if (received.size() < message_bytes) continue;
        query.outcome = QueryRecord::Outcome::answered;
        query.body = received.substr(head_bytes);
        const std::string retry_after(head.find("Retry-After").value_or("0"));
        return std::atof(retry_after.c_str()) * 1'000;
      }
    } catch (const net::BadMessage&) {
      query.outcome = QueryRecord::Outcome::link_broken;
    }
    return 0;
  }

  core::Clock clock_;
  const Plan plan_;
  const std::string dispatcher_;
  const net::Address address_;
  pcg32 random_;
  int query_count_ = 0;
  JsonLinesFile records_;
  park::ThreadPool thread_pool_;  // declared last: its destructor waits for tasks that use the other members
};

}  // namespace

void run_clients(const std::string& plan, const std::string& dispatcher, const std::string& record) {
  LoadGenerator(read_plan(plan), dispatcher, record).run();
}

}  // namespace woadtide::lab::cluster
