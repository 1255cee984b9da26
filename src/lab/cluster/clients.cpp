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

constexpr double kConnectMs = 250;
constexpr double kLateMs = 400;  // how long an answer is still looked for behind its time
constexpr std::size_t kAtOnce = 500;

class Clients {
 public:
  Clients(Plan plan, std::string to, const std::string& record)
      : plan_(std::move(plan)),
        to_(std::move(to)),
        address_(plan_.clients.at(to_)),
        random_(plan_.seed, static_cast<std::uint64_t>(std::stoi(to_.substr(1))) + 1),
        record_(record),
        crew_({.most = kAtOnce}) {}

  void run() {
    const Scenario& s = plan_.scenario;
    const double each = s.rate / s.dispatchers / 1'000;
    for (double next = 0; next < s.seconds * 1'000;) {
      next += boost::random::exponential_distribution<double>(each)(random_);
      Asked asked;
      asked.id = to_ + '-' + std::to_string(count_++);
      asked.to = to_;
      asked.once = share() < s.payouts;
      const bool obeys = share() < 0.5;
      while (now() < next) ::poll(nullptr, 0, 1);
      // At the bound nothing is asked: a generator that waits would hide what it measures.
      if (!crew_.take([this, asked, obeys] { bring(asked, obeys); })) continue;
    }
  }

 private:
  double now() const { return clock_.now() - plan_.start_ms; }
  double share() { return boost::random::uniform_real_distribution<double>(0, 1)(random_); }

  // A refusal says that another try does no harm: each is tried once more, by half of them when it says.
  void bring(Asked asked, bool obeys) {
    const double wait = ask(asked);
    record_.add(line_of(asked));
    if (asked.end != Asked::End::answer || asked.status != 503) return;
    if (obeys) ::poll(nullptr, 0, static_cast<int>(wait));
    Asked again;
    again.id = asked.id + "-again";
    again.to = asked.to;
    again.once = asked.once;
    ask(again);
    record_.add(line_of(again));
  }

  // Returns what Retry-After said, ms.
  double ask(Asked& asked) {
    asked.asked_ms = asked.ended_ms = now();
    asked.end = Asked::End::unsent;
    const double until = clock_.now() + plan_.scenario.budget_ms;
    net::Socket socket = net::Socket::make(address_);
    const std::string body = "of " + asked.id;
    const std::string text = "POST /api?user=" + asked.id +
                             " HTTP/1.1\r\nHost: lab\r\nX-Call-Id: " + asked.id +
                             "\r\nX-Call-Class: " + (asked.once ? "refund-payout" : "receipt-check") +
                             "\r\nX-Budget: " + std::to_string(static_cast<int>(plan_.scenario.budget_ms)) +
                             "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    double wait = 0;
    if (socket.connect(address_, kConnectMs) && socket.send({text}, until, clock_) == net::Io::done) {
      asked.asked_ms = now();
      wait = hear(socket, asked, until + kLateMs);
    }
    asked.ended_ms = now();
    return wait;
  }

  double hear(net::Socket& socket, Asked& asked, double until) {
    std::string come;
    std::vector<char> some(4096);
    asked.end = Asked::End::broken;
    try {
      for (std::size_t whole = 0; whole == 0 || come.size() < whole;) {
        std::size_t got = 0;
        const net::Io io = socket.receive(some.data(), some.size(), got, until, clock_);
        if (io == net::Io::late) asked.end = Asked::End::none;
        if (io != net::Io::done) return 0;
        come.append(some.data(), got);
        const std::size_t length = net::head_length(come);
        if (length == 0) continue;
        const net::Head head = net::read_answer_head(std::string_view(come).substr(0, length));
        whole = length + static_cast<std::size_t>(net::framing_of_answer(head).length);
        asked.status = head.status;
        if (come.size() < whole) continue;
        asked.end = Asked::End::answer;
        asked.body = come.substr(length);
        const std::string retry(head.find("Retry-After").value_or("0"));
        return std::atof(retry.c_str()) * 1'000;
      }
    } catch (const net::BadMessage&) {
      asked.end = Asked::End::broken;
    }
    return 0;
  }

  core::Clock clock_;
  const Plan plan_;
  const std::string to_;
  const net::Address address_;
  pcg32 random_;
  int count_ = 0;
  Lines record_;
  park::Crew crew_;  // last: its jobs use the others, and it waits for them
};

}  // namespace

void run_clients(const std::string& plan, const std::string& to, const std::string& record) {
  Clients(read_plan(plan), to, record).run();
}

}  // namespace woadtide::lab::cluster
