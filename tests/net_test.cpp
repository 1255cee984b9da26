#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <poll.h>

#include <atomic>
#include <future>
#include <thread>

#include "net/http.hpp"
#include "node_harness.hpp"

namespace woadtide::net {
namespace {

using woadtide::ListKind;
using woadtide::Status;

bool starts(const std::string& text, const std::string& with) { return text.rfind(with, 0) == 0; }
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// Parsers
// ----------------------------------------------------------------------------------------------------

TEST_CASE("heads that could be read in two ways are refused") {
  const auto status = [](const std::string& fields, const std::string& line = "POST /api HTTP/1.1") {
    try {
      const std::string raw = line + "\r\n" + fields + "\r\n";
      framing_of_query(read_query_head(std::string_view(raw).substr(0, head_length(raw))));
      return 200;
    } catch (const BadMessage& bad) {
      return bad.status;
    }
  };
  CHECK(status("Content-Length: 5\r\n") == 200);
  CHECK(status("content-length:5\r\nX-A:  b \r\n") == 200);
  CHECK(status("Content-Length: 5\r\nContent-Length: 6\r\n") == 400);
  CHECK(status("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") == 400);
  CHECK(status("Transfer-Encoding: gzip\r\n") == 400);
  CHECK(status("Content-Length: -1\r\n") == 400);
  CHECK(status("Content-Length: 65537\r\n") == 413);
  CHECK(status("No colon here\r\n") == 400);
  CHECK(status("X-A : b\r\n") == 400);
  CHECK(status("X-A: a\nX-B: b\r\n") == 400);
  CHECK(status("", "POST /api") == 400);
  CHECK(status("", "POST api HTTP/1.1") == 400);
  CHECK(status("", "POST /api HTTP/2.0") == 400);
  CHECK(status(std::string(9'000, 'x') + "\r\n") == 431);
}

TEST_CASE("a chunked body is the same in one piece and byte by byte") {
  const std::string raw = "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nrest";
  const auto decode = [&raw](std::size_t step) {
    BodyDecoder decoder(Framing{Framing::Kind::chunked, 0, false});
    std::string body;
    std::size_t used = 0;
    while (!decoder.over())
      used += decoder.feed(std::string_view(raw).substr(used, step), [&](auto piece) { body += piece; });
    return body + '|' + raw.substr(used);
  };
  CHECK(decode(raw.size()) == "abc0123456789|rest");
  CHECK(decode(1) == decode(raw.size()));
  BodyDecoder decoder(Framing{Framing::Kind::chunked, 0, false});
  CHECK_THROWS_AS(decoder.feed("zz\r\n", [](auto) {}), BadMessage);
}

// Whole dispatchers
// ------------------------------------------------------------------------------------------

TEST_CASE("a query reaches the worker as it was, and the next one uses the same server link") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  std::string keyed = query_text("aa01", "refund-payout");
  client.write(keyed.insert(keyed.find("X-Budget"), "Idempotency-Key: 5C0f\r\n"));
  Peer link = worker.accept();
  for (const std::string id : {"aa01", "aa02"}) {
    const std::string came = link.message();
    CHECK(starts(came, "POST /api?user=7f HTTP/1.1\r\n"));
    CHECK(has(came, "X-Call-Id: " + id + "\r\n"));
    CHECK(has(came, "X-Budget: 5000m\r\n"));
    CHECK(has(came, "Idempotency-Key: 5C0f\r\n") == (id == "aa01"));
    CHECK(came.ends_with("\r\n\r\npay"));
    link.write(done(id, "ok " + id));
    const std::string answer = client.message();
    CHECK(starts(answer, "HTTP/1.1 200 "));
    CHECK(answer.ends_with("\r\n\r\nok " + id));
    if (id == "aa01") client.write(query_text("aa02", "receipt-check"));
  }
}

TEST_CASE("a chunked query with its body in pieces is passed on whole") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  client.write("POST /api HTTP/1.1\r\nX-Call-Id: cc\r\nX-Call-Class: receipt-check\r\nX-Budget: 90000u\r\n");
  client.write("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  client.write("2\r\nde\r\n0\r\n\r\n");
  Peer link = worker.accept();
  const std::string came = link.message();
  CHECK(has(came, "X-Budget: 90m\r\n"));
  CHECK_FALSE(has(came, "Transfer-Encoding"));
  CHECK(came.ends_with("Content-Length: 5\r\n\r\nabcde"));
}

// Guards PROTOCOL's table: which outcome each answer of a worker is, told by what the dispatcher does next.
TEST_CASE("a payout fails after what may have run, and is refused after what never did") {
  struct Case {
    const char* what;
    std::string answer;
    const char* status;
  };
  const std::string id = "bb01";
  const Case cases[] = {
      {"failed", chunked({event(id, "failed")}), "502"},
      {"500", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "502"},
      {"503 without the mark", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "502"},
      {"lost", chunked({event(id, "started"), event(id, "lost")}), "502"},
      {"cut short", chunked({event(id, "started")}), "502"},
      {"whole, but without a last line", chunked({event(id, "started")}) + "0\r\n\r\n", "502"},
      {"no answer", "", "502"},
      {"not HTTP", "hello\r\n\r\n", "502"},
      {"not JSON", chunked({"{"}), "502"},
      {"another query's result", chunked({event("bb02", "done", R"(,"result":"x")")}), "502"},
      {"a result that is no text", chunked({event(id, "done", R"(,"result":7)")}), "502"},
      {"returned", chunked({event(id, "returned")}), "503"},
      {"503 turned away", "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", "503"},
      {"503 with a word", "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 5\r\n\r\nfull\n", "503"},
      {"504 turned away", "HTTP/1.1 504 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", "503"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.what);
    Port worker;
    Served served(Hosts{host_json("w", worker.dial())});
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    {
      Peer link = worker.accept();
      link.message();
      if (*one.answer.data()) link.write(one.answer);
    }
    const std::string answer = client.message();
    CHECK(starts(answer, std::string("HTTP/1.1 ") + one.status));
    CHECK(has(answer, "Retry-After: 0.") == (std::string(one.status) == "503"));
  }
}

TEST_CASE("a query whose worker refuses the link goes to the other one") {
  Port live;
  // Bound, and nobody listens: a port that was given back could be dealt out again, to the dispatcher itself.
  const Address anywhere("127.0.0.1:0");
  const Socket dead = Socket::make(anywhere);
  REQUIRE(::bind(dead.fd(), reinterpret_cast<const sockaddr*>(&anywhere.storage), anywhere.length) == 0);
  const std::string dial = "127.0.0.1:" + std::to_string(dead.port());
  Served served(Hosts{host_json("dead", dial), host_json("live", live.dial())});
  for (const std::string id : {"dd01", "dd02", "dd03"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = live.accept();
    link.message();
    link.write(done(id, "ok"));
    CHECK(starts(client.message(), "HTTP/1.1 200 "));
  }
}

// Guards: a request written to a link that the worker had closed would end as a reset, and a payout fail.
TEST_CASE("a server link that the worker closed while it was idle is not used again") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  for (const std::string id : {"ee01", "ee02"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = worker.accept();
    link.message();
    link.write(done(id, "ok"));
    CHECK(starts(client.message(), "HTTP/1.1 200 "));
  }
}

// Guards: a payout that is done must not look failed because of what its worker wrote behind the result.
TEST_CASE("a result counts though the body goes wrong behind it, and that link is not used again") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  for (const std::string id : {"ab01", "ab02"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = worker.accept();
    link.message();
    link.write(chunked({event(id, "done", R"(,"result":"ok")")}) + "zz\r\n");
    CHECK(starts(client.message(), "HTTP/1.1 200 "));
    CHECK(link.closed());
  }
}

TEST_CASE("bad input is told so with a 4xx, and its link closed") {
  Served served(Hosts{});
  const std::string big(70'000, 'x');
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\r\n\r\n", "400"},
      {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
      {"PUT /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "404"},
      {"DELETE /health/ready HTTP/1.1\r\n\r\n", "405"},
      {query_text("ff", "no-such-class"), "400"},
      {query_text("", "refund-payout"), "400"},
      {query_text("ff", "refund-payout", big), "413"},
      {"POST /api HTTP/1.1\r\nX-Call-Id: ff\r\nX-Call-Class: refund-payout\r\nX-Budget: soon\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nX-A: " + big + "\r\n\r\n", "431"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + big + "\r\n0\r\n\r\n", "413"},
  };
  for (const auto& [text, status] : cases) {
    CAPTURE(text.substr(0, 60));
    Peer client = served.client();
    client.write(text);
    const std::string answer = client.message();
    CHECK(starts(answer, std::string("HTTP/1.1 ") + status));
    CHECK(has(answer, "Connection: close\r\n"));
    client.socket.shut(SHUT_WR);
    CHECK(client.closed());
  }
}

// Guards: passed on, each of these could be one query to us and another to the worker.
TEST_CASE("a head whose fields could be read in two ways, or whose figures are none, is refused") {
  Served served(Hosts{});
  const char* const fields[] = {
      "X-Call-Id: gg\r\n",        "x-call-class: receipt-check\r\n",
      "X-Budget: 1m\r\n",         "Connection: close, X-Call-Id\r\n",
      "Connection: x-budget\r\n", "Host: a\r\nHost: b\r\n",
      "X-Call-Cost: nan\r\n",     "X-Call-Cost: 1e3\r\n",
      "X-Call-Cost: -1\r\n",      "X-Call-Info: slots=inf\r\n",
      "X-Call-Info: slots=0\r\n", "X-Call-Cost: 99999999999999999999\r\n",
      "X-Name: caf\xc3\xa9\r\n",  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"};
  const auto ask = [&](const std::string& more, const std::string& budget = "5000m", const char* id = "gg") {
    return served.ask("POST /api HTTP/1.1\r\nX-Call-Id: " + std::string(id) +
                      "\r\nX-Call-Class: receipt-check\r\nX-Budget: " + budget + "\r\n" + more + "\r\n");
  };
  CHECK(starts(ask("X-Call-Cost: 1500.5\r\nX-Call-Info: key=a,slots=2\r\n"), "HTTP/1.1 503 "));
  for (const char* more : fields) {
    CAPTURE(more);
    CHECK(starts(ask(more), "HTTP/1.1 400 "));
  }
  for (const char* budget : {"nanm", "infm", "-5m", "1e5m", "m", "99999999999m", "0x5m", "5s", ""}) {
    CAPTURE(budget);
    CHECK(starts(ask("", budget), "HTTP/1.1 400 "));
  }
  CHECK(starts(ask("", "5000m", "g g"), "HTTP/1.1 400 "));
}

TEST_CASE("what Connection names goes no further, and the largest body arrives whole") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  std::string body;
  while (body.size() < kMaxBodyBytes) body += std::to_string(body.size()) + ',';
  body.resize(kMaxBodyBytes);
  Peer client = served.client();
  client.write(
      "POST /api HTTP/1.1\r\nX-Call-Id: aa\r\nX-Call-Class: receipt-check\r\nX-Budget: 500m\r\n"
      "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::string came = worker.accept().message();
  CHECK_FALSE(has(came, "X-Hop"));
  CHECK(has(came, "X-Kept: 1\r\n"));
  CHECK(came.ends_with("\r\n\r\n" + body));
}

// Guards: tried at one worker after the other, a bad query would have them all left alone for a while.
TEST_CASE("a query that a worker finds wrong goes to no other, and the worker stays in use") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("ac01", "receipt-check"));
  Peer link = worker.accept();
  link.message();
  link.write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts(client.message(), "HTTP/1.1 400 "));
  Peer next = served.client();
  next.write(query_text("ac02", "receipt-check"));
  link.message();
  link.write(done("ac02", "ok"));
  CHECK(starts(next.message(), "HTTP/1.1 200 "));
}

// Client links by themselves, the loop's side of them played by the test
// ----------------------------------------------------------------------

struct Front {
  explicit Front(std::size_t most, double first_ms = 2'000) {
    clock.set(kNow);
    side.first_ms = first_ms;
    http.ready = true;
    Socket listener = Socket::listen_at(Address("127.0.0.1:0"));
    port = listener.port();
    links.emplace(std::move(listener), most, side);
    links->start();
  }
  // So many links stand so; what a thread does behind an answer has been done then.
  void await(ConnectionState state, std::size_t count) {
    const core::Clock real;
    for (const double end = real.now() + 10'000; links->count(state) != count;) {
      REQUIRE(real.now() < end);
      std::this_thread::yield();
    }
  }
  // A link stands so, and moved last at this time.
  void await_moved(ConnectionState state, double at) {
    const core::Clock real;
    for (const double end = real.now() + 10'000; links->last_activity(state) != kNow + at;) {
      REQUIRE(real.now() < end);
      std::this_thread::yield();
    }
  }
  Peer served() {
    Peer peer = Peer::to(port);
    ask(peer);
    return peer;
  }
  // One whose query was answered.
  Peer worked(const std::string& id) {
    Peer peer = Peer::to(port);
    peer.write(query_text(id, "refund-payout"));
    next<core::QueryArrived>().asker->answer({core::AnswerKind::served, "ok"});
    CHECK(starts(peer.message(), "HTTP/1.1 200 "));
    return peer;
  }
  static void ask(Peer& peer) {
    peer.write("GET /health/ready HTTP/1.1\r\n\r\n");
    CHECK(starts(peer.message(), "HTTP/1.1 200 "));
  }
  template <class Kind>
  Kind next() {
    for (int tries = 0; come.empty() && tries < 100; ++tries) inbox.wait(100), come = inbox.take();
    REQUIRE_FALSE(come.empty());
    const core::Message message = std::move(come.front());
    come.pop_front();
    return std::get<Kind>(message);
  }

  core::Clock clock;
  BufferPool pool{16};  // before whatever may hold a buffer
  core::Inbox inbox;
  std::deque<core::Message> come;
  park::Park park{clock};
  front::http::Front http{inbox};
  ClientSide side{clock, pool, park, http};
  int port = 0;
  std::optional<ClientLinks> links;
};

TEST_CASE("at the edge the link that never completed a query gives way, then the one that stood idle") {
  Front front(2);
  Peer first = front.worked("a"), half = Peer::to(front.port);
  half.write("POST /api HTTP/1.1\r\n");
  front.await(ConnectionState::reading, 1);
  front.clock.set(kNow + 500);
  Peer third = front.worked("b");
  CHECK(half.closed());
  front.await(ConnectionState::idle, 2);
  Front::ask(first);
  front.await(ConnectionState::idle, 2);
  Peer fourth = front.worked("c");
  CHECK(third.closed());
  Front::ask(first);
}

// Guards what clients that send nothing good are owed, an error or a close 3 s from connecting, and that they
// hold no place for longer. One that drips would renew any limit that counts from its last byte.
TEST_CASE("a link's first query must have come whole by a limit that counts from accept") {
  Front front(8, 20);
  front.side.read_gap_ms = 0;
  Peer served = front.served(), silent = Peer::to(front.port), dripping = Peer::to(front.port);
  dripping.write("P");
  front.await(ConnectionState::reading, 1);
  front.await(ConnectionState::fresh, 1);
  front.clock.set(kNow + 19);
  dripping.write("OST /api");
  front.clock.set(kNow + 20);
  CHECK(starts(dripping.message(), "HTTP/1.1 408 "));
  CHECK(silent.closed());
  Front::ask(served);
}

// Guards good queries that come in pieces for longer than a silent link may stay; and that this has an end.
TEST_CASE("a first query that goes on coming has time for it, one that stops halfway has not") {
  Front front(8, 2'000);
  Peer slow = Peer::to(front.port), stopped = Peer::to(front.port);
  const std::string text = query_text("slow", "refund-payout");
  const auto read = [&](double at) {  // its bytes have been read with the clock there
    front.clock.set(kNow + at);
    front.await_moved(ConnectionState::reading, at);
  };
  stopped.write("POST /api");
  front.await(ConnectionState::reading, 1);
  for (int i = 0; i < 5; ++i) {
    const std::size_t size = text.size() / 6;
    front.clock.set(kNow + 900 * i);
    slow.write(text.substr(static_cast<std::size_t>(i) * size, size));
    read(900 * i);
  }
  CHECK(starts(stopped.message(), "HTTP/1.1 408 "));
  slow.write(text.substr(text.size() / 6 * 5));
  CHECK(front.next<core::QueryArrived>().query.id == "slow");
  Peer endless = Peer::to(front.port);
  const double from = front.clock.now() - kNow;
  for (double at = 0; at < 10'000; at += 900) {
    front.clock.set(kNow + from + at);
    endless.write("x");
    read(from + at);
  }
  front.clock.set(kNow + from + 10'000);
  CHECK(starts(endless.message(), "HTTP/1.1 408 "));
}

// Guards slow queries at the edge: thousands that ask for health and stay, or say half a word, go first.
TEST_CASE(
    "at the edge links that asked and stayed go before silent ones, and a query that is coming in stays") {
  Front front(3);
  Peer asked = front.served(), silent = Peer::to(front.port), coming = Peer::to(front.port);
  front.await(ConnectionState::fresh, 2);
  front.await(ConnectionState::idle_no_query, 1);
  front.clock.set(kNow + 500);
  coming.write("POST /api");
  front.await(ConnectionState::reading, 1);
  Peer first = Peer::to(front.port);
  CHECK(asked.closed());
  Peer second = Peer::to(front.port);
  CHECK(silent.closed());
  Peer third = front.served();
  Peer fourth = front.served();
  front.await(ConnectionState::reading, 1);
  const std::string text = query_text("q", "refund-payout");
  coming.write(text.substr(9));
  CHECK(front.next<core::QueryArrived>().query.id == "q");
}

// Guards memory: hundreds of links that say nothing must cost no buffer.
TEST_CASE("a link without a query holds no buffer") {
  Front front(8);
  Peer silent = Peer::to(front.port), served = front.served(), after = front.served();
  front.await(ConnectionState::idle_no_query, 2);
  CHECK(front.links->open() == 3);
  CHECK(front.pool.out() == 0);
}

TEST_CASE("a client that closes while its query is at work is told to the loop, and whose it was") {
  Front front(8);
  std::optional<Peer> client = Peer::to(front.port);
  client->write(query_text("q", "refund-payout"));
  const auto arrived = front.next<core::QueryArrived>();
  client.reset();
  const auto gone = front.next<core::ClientGone>();
  CHECK(gone.query == "q");
  CHECK(gone.asker == arrived.asker);
}

TEST_CASE("links and buffers stay within the descriptors and the memory that are allowed") {
  for (const std::size_t allowed : {256, 384, 1024, 100'000})
    for (const std::size_t memory_mb : {32, 48, 192}) {
      CAPTURE(allowed);
      CAPTURE(memory_mb);
      const Budget budget(allowed, memory_mb);
      CHECK(budget.client_links + budget.server_links + 30 < allowed);
      CHECK(budget.client_links >= std::min<std::size_t>(allowed, 1024) / 3);
      const std::size_t buffers = budget.client_buffers + budget.worker_buffers;
      CHECK(buffers * kBufferBytes + (budget.client_links + budget.server_links) * 20'000 + 6'000'000 <
            memory_mb * 1'000'000);
      CHECK(budget.client_buffers >= budget.client_links);
    }
}

// Server links and the host group by themselves
// -----------------------------------------------------------------

struct Bench {
  static constexpr double kSilence = 50;
  explicit Bench(const char* health, std::size_t most = 8, double settle_ms = 1, park::Crew::Start start = {})
      : crew({}, std::move(start)),
        hosts(discovery.dial(),
              core::read_host_list(
                  {{"seq", 1}, {"whole", true}, {"hosts", {host_json("w", worker.dial(), health)}}}),
              standing(), inbox, pool, park, crew, HostGroup::Way::asked, kSilence),
        servers({most, 5'000, 60'000, settle_ms}, clock, inbox, hosts, pool, park, crew) {
    next();  // the remembered list
  }
  core::Clock& standing() {
    clock.set(kNow);
    return clock;
  }
  // The next message; while none comes, the clock goes on by `ms` at a time.
  core::Message next(double ms = 0) {
    for (int tries = 0; come.empty(); ++tries) {
      inbox.wait(100);
      for (core::Message& message : inbox.take())
        if (std::holds_alternative<core::ExecutionSent>(message))
          sent += 1;
        else
          come.push_back(std::move(message));
      clock.set(clock.now() + ms);
      REQUIRE_MESSAGE(tries < 100, "no message came");
    }
    core::Message message = std::move(come.front());
    come.pop_front();
    return message;
  }
  void start(const std::string& id, double lasts = 60'000, double not_after = core::Execution::kAlways) {
    core::Execution execution;
    execution.key = {id, 0};
    execution.worker = "w";
    execution.parcel = {nullptr, "POST", "/api", "X-Call-Id: 1\r\n", {"pay"}};
    execution.deadline = clock.now() + lasts;
    execution.not_after = not_after;
    servers.start(std::move(execution));
  }
  // The first bytes of one have come here; with a long settling the last one waits until we speak.
  Peer begun() {
    Peer link = worker.accept();
    REQUIRE(link.read_some());
    CHECK_FALSE(link.come.ends_with("pay"));
    return link;
  }
  static void speak(Peer& link) { link.write("HTTP/1.1 100 Continue\r\n\r\n"); }
  // Whatever comes there until its end, the last byte does not.
  static void check_never_ran(Peer& link) {
    while (link.read_some()) {
    }
    CHECK_FALSE(link.come.ends_with("pay"));
  }
  Status ending() { return std::get<core::ExecutionEnded>(next()).status; }
  // A link whose execution has ended with its result, but for the end of the body.
  Peer link_without_tail() {
    start("q");
    Peer link = worker.accept();
    link.message();
    const std::string answer = done("q", "ok");
    link.write(answer.substr(0, answer.size() - 5));
    CHECK(std::holds_alternative<core::ExecutionStarted>(next()));
    CHECK(ending() == Status::ok);
    return link;
  }
  // A link that has served one execution and is kept.
  Peer kept_link() {
    start("q");
    Peer link = worker.accept();
    link.message();
    link.write(done("q", "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(next()));
    CHECK(ending() == Status::ok);
    return link;
  }

  Port worker, discovery;
  core::Clock clock;
  core::Inbox inbox;
  BufferPool pool{16};
  std::deque<core::Message> come;
  int sent = 0;  // executions, to their last byte
  park::Park park{clock};
  park::Crew crew;
  HostGroup hosts;
  ServerLinks servers;
};

// Guards the one limit for two processes: the first must make room when the next one starts.
TEST_CASE("a bound that shrinks takes links and buffers away that are not in use") {
  Front front(8);
  Peer first = front.worked("a"), second = front.worked("b"), busy = Peer::to(front.port);
  busy.write(query_text("c", "refund-payout"));
  const auto arrived = front.next<core::QueryArrived>();
  front.await(ConnectionState::idle, 2);
  front.links->set_most(1);
  CHECK(first.closed());
  CHECK(second.closed());
  arrived.asker->answer({core::AnswerKind::served, "ok"});
  CHECK(starts(busy.message(), "HTTP/1.1 200 "));

  BufferPool pool(2);
  std::optional<Buffer> one = pool.take(0, front.clock), two = pool.take(0, front.clock);
  pool.set_most(1);
  one.reset();
  CHECK_FALSE(pool.take(0, front.clock));
  two.reset();
  CHECK(pool.take(0, front.clock));

  Bench bench("Ready");
  Peer link = bench.kept_link();
  bench.servers.set_most(0);
  CHECK(link.closed());
}

// Guards the rule on drains: a connect can outlive the notice.
TEST_CASE("a worker that drains by the time the link is up gets no byte") {
  Bench bench("Terminating");
  bench.start("q");
  CHECK(bench.ending() == Status::moot);  // and once only: no fresh link would change it
  CHECK(bench.worker.accept().closed());
}

// Guards an operator's word: a connect, or a turn in a queue, can outlive it, and probes go around the
// module.
TEST_CASE("a worker that an operator takes out gets no byte of what was on its way, until the call back") {
  Bench bench("Ready");
  bench.servers.exclude("w", true);
  bench.start("q");
  CHECK(bench.ending() == Status::moot);
  CHECK(bench.worker.accept().closed());
  bench.servers.probe("w");
  CHECK(std::get<core::ProbeEnded>(bench.next()).status == Status::moot);
  CHECK(bench.worker.accept().closed());
  bench.servers.exclude("w", false);
  bench.start("r");
  Peer link = bench.worker.accept();
  CHECK(link.message().ends_with("pay"));
  link.write(done("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
  CHECK(bench.sent == 1);  // what was written whole, and no probe
}

// Guards a deduplicated class: the connect can outlive the window in which a repeat is known for one.
TEST_CASE(
    "a repeat whose window has ended by the time the link is up gets no byte, and is no news of the worker") {
  Bench bench("Ready");
  for (const double not_after : {kNow - 1, kNow + 60'000}) {
    bench.start("q", 60'000, not_after);
    Peer link = bench.worker.accept();
    if (not_after > kNow) {
      CHECK(link.message().ends_with("pay"));
    } else {
      CHECK(bench.ending() == Status::moot);
      CHECK(link.closed());
    }
  }
}

TEST_CASE("a probe over a link that is kept brings the worker's report, and the link serves on") {
  Bench bench("Ready");
  Peer link = bench.kept_link();
  bench.servers.probe("w");
  CHECK(starts(link.message(), "GET /stats HTTP/1.1"));
  link.write("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nx0=2,waiting=0");
  const auto probed = std::get<core::ProbeEnded>(bench.next());
  CHECK(probed.status == Status::ok);
  CHECK(probed.report == "x0=2,waiting=0");
  bench.start("r");
  CHECK(link.message().ends_with("pay"));
}

TEST_CASE("a cancelled execution ends as cancelled and its link is closed") {
  Bench bench("Ready");
  bench.start("q");
  Peer link = bench.worker.accept();
  link.message();
  bench.servers.cancel({"q", 0});
  CHECK(bench.ending() == Status::cancelled);
  CHECK(link.closed());
}

TEST_CASE("with all server links busy a further execution is not sent") {
  Bench bench("Ready", 1);
  bench.start("q");
  Peer link = bench.worker.accept();
  link.message();
  bench.start("r");
  CHECK(bench.ending() == Status::moot);
  link.write(done("q", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
}

// Guards what a safe query can still gain: one that waits for the rest of a line waits until its deadline.
TEST_CASE(
    "an answer that falls quiet in the midst of a line or a head is over, one between two lines is not") {
  const std::string started = chunked({event("q", "started")});
  for (const std::string& part :
       {std::string("HTTP/1.1 200"), started + "2", started + "20\r\n{\"id\":\"q\""}) {
    Bench bench("Ready");
    bench.start("q");
    Peer link = bench.worker.accept();
    link.message();
    link.write(part);
    core::Message next = bench.next(100);
    if (std::holds_alternative<core::ExecutionStarted>(next)) next = bench.next(100);
    CHECK(std::get<core::ExecutionEnded>(next).status == Status::reset);
    CHECK(bench.clock.now() < kNow + 10'000);
  }
  Bench bench("Ready");
  bench.start("q");
  Peer link = bench.worker.accept();
  link.message();
  link.write(started);
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  bench.clock.set(kNow + 5'000);
  link.write(done("q", "ok").substr(started.find("\r\n\r\n") + 4));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
}

// Guards payouts: what breaks before its last byte never ran and can go elsewhere; and a kept link that was
// stale says nothing of its worker.
TEST_CASE("a link that breaks while a query comes has not run it, and is replaced once") {
  Bench bench("Ready", 8, 10'000);
  const auto begun = [&] { return bench.begun(); };
  const auto go_on = [&](Peer& link, const std::string& id) {
    Bench::speak(link);  // the last byte need not wait any longer
    CHECK(link.message().ends_with("\r\n\r\npay"));
    link.write(done(id, "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
    CHECK(bench.ending() == Status::ok);
  };
  bench.start("q");
  begun();
  begun();
  CHECK(bench.ending() == Status::connect_failed);
  bench.start("r");
  std::optional<Peer> kept = begun();
  go_on(*kept, "r");
  bench.start("s");
  REQUIRE(kept->read_some());
  kept.reset();
  Peer fresh = begun();
  go_on(fresh, "s");
}

// Guards payouts behind the back of a client that has gone: what waits for a thread or for its last byte
// would run for nobody. What has begun goes on, and its link is kept.
TEST_CASE("what nobody waits for any more gets no last byte, and that is no news of its worker") {
  Bench bench("Ready", 8, 10'000);
  bench.start("q");
  Peer link = bench.begun();
  bench.servers.withdraw({"other", 0});
  bench.servers.withdraw({"q", 0});
  CHECK(bench.ending() == Status::moot);
  Bench::check_never_ran(link);
  bench.start("r");
  Peer begins = bench.begun();
  Bench::speak(begins);
  CHECK(begins.message().ends_with("pay"));
  bench.servers.withdraw({"r", 0});
  begins.write(done("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
  bench.start("s");
  CHECK(begins.read_some());

  std::promise<void> gate;
  const std::shared_future<void> open = gate.get_future().share();
  Bench waits("Ready", 8, 1, [&](const std::string& name, std::function<void()> body) {
    return park::Thread(name, [open, body = std::move(body)] {
      open.wait();
      body();
    });
  });
  waits.start("q");
  waits.servers.withdraw({"q", 0});
  gate.set_value();
  CHECK(waits.ending() == Status::moot);
  pollfd comes{waits.worker.socket.fd(), POLLIN, 0};
  CHECK(::poll(&comes, 1, 0) == 0);  // not even a connect
}

// Guards the same from end to end: the client's link, the loop, the link to the worker.
TEST_CASE("a query whose client leaves before its last byte is out never runs") {
  struct Alone : core::Kin {
    void tell(const core::Word&) override {}
    bool alone() const override { return true; }
  } kin;
  Bench bench("Ready", 8, 10'000);
  Front front(8);
  const core::Config config =
      core::read_config(config_json({host_json("w", bench.worker.dial())}, bench.discovery.dial()));
  core::DecisionLoop loop(config.settings, config.class_names, 1, bench.clock, bench.inbox, bench.servers,
                          bench.hosts, kin);
  const auto pass_on = [&](core::Message message) {
    bench.inbox.put(std::move(message));
    loop.step();
  };
  pass_on(core::ListTold{{ListKind::remembered, {{.worker = "w"}}, core::to_micros(kNow)}});
  for (const bool half : {true, false}) {
    CAPTURE(half);
    const std::string id = half ? "half" : "whole";
    std::optional<Peer> client = Peer::to(front.port);
    client->write(query_text(id, "refund-payout"));
    pass_on(front.next<core::QueryArrived>());
    Peer link = bench.begun();
    half ? client->socket.shut(SHUT_WR) : client.reset();
    pass_on(front.next<core::ClientGone>());
    Bench::check_never_ran(link);
    const auto ended = std::get<core::ExecutionEnded>(bench.next());
    CHECK(ended.status == Status::moot);
    pass_on(ended);
  }
}

// Guards the window and the deadline in the moment that counts, that of the last byte: the settling took
// them.
TEST_CASE("an execution that may not begin any more when its last byte is due never begins") {
  Bench bench("Ready", 8, 10'000);
  for (const auto& [lasts, window] : {std::pair{20'000.0, core::Execution::kAlways}, {60'000.0, 20'000.0}}) {
    bench.clock.set(kNow);
    bench.start("q", lasts, window < core::Execution::kAlways ? kNow + window : window);
    Peer link = bench.begun();
    bench.clock.set(kNow + 20'001);
    Bench::speak(link);
    CHECK(bench.ending() == Status::moot);
    Bench::check_never_ran(link);
  }
}

// STANDING: an attempt tells its worker at most what is left to the client, with 0.15 s of slack. That counts
// when it begins, with its last byte.
TEST_CASE("an attempt that has told its worker more time than is left at its last byte never begins") {
  constexpr double kLastsMs = 60'000, kPassedMs = 20'000;
  Bench bench("Ready", 8, 10'000);
  bench.start("q", kLastsMs);
  Peer link = bench.begun();
  bench.clock.set(kNow + kPassedMs);
  Bench::speak(link);
  CHECK(bench.ending() == Status::moot);
  Bench::check_never_ran(link);
}

// Guards a payout on a kept link against a worker that answers the one before it twice, some ms late.
TEST_CASE("what comes on a kept link before its query is whole is not taken for its answer") {
  Bench bench("Ready", 8, 10'000);
  bench.start("q");
  Peer kept = bench.begun();
  Bench::speak(kept);
  CHECK(kept.message().ends_with("pay"));
  kept.write(done("q", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
  bench.start("r");
  REQUIRE(kept.read_some());
  kept.write(done("q", "ok"));
  Peer fresh = bench.begun();
  Bench::check_never_ran(kept);
  Bench::speak(fresh);
  CHECK(fresh.message().ends_with("pay"));
  fresh.write(done("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
}

// Parked links -------------------------------------------------------------------------------------------

// Guards payouts: what a worker says or does on a link that stands idle must not meet the next query there.
TEST_CASE("an idle server link that the worker closes, or speaks on, is given up before it is asked for") {
  Bench bench("Ready");
  std::optional<Peer> closes = bench.kept_link();
  closes.reset();
  // Noticed by itself: its place is free, though no execution came by.
  const core::Clock real;
  for (const double end = real.now() + 10'000; bench.park.guests() > 1;) REQUIRE(real.now() < end);
  Peer speaks = bench.kept_link();
  speaks.write("HTTP/1.1 408 Idle\r\nContent-Length: 0\r\n\r\n");
  CHECK(speaks.closed());
  bench.start("r");
  CHECK(bench.worker.accept().message().ends_with("pay"));
}

// Load reports come with what ends an execution: in its last line, or in the head that turns it away.
TEST_CASE("a worker's load report is told with the ending that it came with") {
  Bench bench("Ready");
  bench.start("q");
  Peer link = bench.worker.accept();
  link.message();
  link.write(chunked({event("q", "done",
                            R"(,"load":{"x0":1.5,"active":3,"deep":{"x0":9},"word":"x"},"result":"ok")")}) +
             "0\r\n\r\n");
  const auto ended = std::get<core::ExecutionEnded>(bench.next());
  CHECK(ended.result == "ok");
  CHECK(ended.report == "x0=1.5,active=3");
  bench.start("r");
  link.message();
  link.write("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nX-Load-Report: x0=0,rps=9\r\nContent-Length: 0\r\n\r\n");
  const auto full = std::get<core::ExecutionEnded>(bench.next());
  CHECK(full.status == Status::full);
  CHECK(full.report == "x0=0,rps=9");
}

// Guards the client's time: the end of a body may lag behind its result.
TEST_CASE("an answer whose tail is still to come is told at once, and its link serves on once it has come") {
  Bench bench("Ready");
  Peer link = bench.link_without_tail();
  bench.start("r");  // meanwhile it is no link for another
  Peer second = bench.worker.accept();
  CHECK(second.message().ends_with("pay"));
  link.write("0\r\n\r\n");
  second.write(done("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
  CHECK(bench.ending() == Status::ok);
  // Both are kept: of two at once neither needs a third link.
  bench.start("s");
  bench.start("t");
  CHECK(link.message().ends_with("pay"));
  CHECK(second.message().ends_with("pay"));
}

TEST_CASE("an answer whose tail does not come ends its link, and counts all the same") {
  Bench bench("Ready");
  Peer link = bench.link_without_tail();
  bench.clock.set(kNow + 300);
  CHECK(link.closed());
}

// Guards the one ending of each execution, in the moment when a link's idle time ends.
TEST_CASE("a link that is taken as its idle time ends carries its execution, or another does") {
  Bench bench("Ready");
  Peer link = bench.kept_link();
  double now = kNow;
  for (int round = 0; round < 50; ++round) {
    const std::string id = "r" + std::to_string(round);
    bench.clock.set(now += 60'000);
    if (round % 2 == 0) std::this_thread::yield();
    bench.start(id);
    // Over the kept link, or else it is closed and a fresh one has come.
    link.come.clear();
    if (!link.read_some()) link = bench.worker.accept();
    while (!link.come.ends_with("pay")) REQUIRE(link.read_some());
    link.come.clear();
    link.write(done(id, "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(bench.next()));
    CHECK(bench.ending() == Status::ok);
  }
}

// Guards the rule on drains and an operator's word where the link is open already.
TEST_CASE("a parked link gets no byte once its worker drains, or is out by hand") {
  Bench bench("Ready");
  Peer link = bench.kept_link();
  bench.servers.exclude("w", true);
  bench.start("r");
  CHECK(bench.ending() == Status::moot);
  CHECK(link.closed());
  bench.servers.exclude("w", false);
  Peer again = bench.kept_link();
  bench.hosts.watch();
  Peer watch = bench.discovery.accept();
  watch.message();
  const nlohmann::json host = host_json("w", bench.worker.dial(), "Terminating");
  watch.write(chunked({nlohmann::json{{"seq", 2}, {"whole", false}, {"hosts", {host}}}.dump()}));
  CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::changes);
  bench.start("s");
  CHECK(bench.ending() == Status::moot);
  CHECK(again.closed());
}

// Guards answers of any size to clients that read slowly: the rest goes out as there is room.
TEST_CASE("an answer that its client does not take at once goes out whole, and the link serves on") {
  Front front(8);
  const Address address("127.0.0.1:" + std::to_string(front.port));
  Peer client(Socket::make(address));
  const int small = 2'048;
  ::setsockopt(client.socket.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  REQUIRE(client.socket.connect(address, 5'000));
  client.write(query_text("q", "refund-payout"));
  const std::string body(8'000'000, 'r');
  front.next<core::QueryArrived>().asker->answer({core::AnswerKind::served, body});
  front.await(ConnectionState::busy, 1);
  CHECK(front.links->count(ConnectionState::idle) == 0);  // it is still on its way
  CHECK(client.message().ends_with("\r\n\r\n" + body));
  front.await(ConnectionState::idle, 1);
  client.write(query_text("r", "refund-payout"));
  std::optional<Peer> leaves(std::move(client));
  front.next<core::QueryArrived>().asker->answer({core::AnswerKind::served, body});
  leaves.reset();  // in the midst of it
  front.await(ConnectionState::busy, 0);
  CHECK(front.links->open() == 0);
}

// Guards answers on their way against bytes that come in the moment of a close: closed over them, the link is
// reset, and what the client has not read yet goes with it.
TEST_CASE("an answer is read to its end whatever its client sends while the link is being closed") {
  Front front(8);
  const Address address("127.0.0.1:" + std::to_string(front.port));
  const std::string body(200'000, 'r');
  // Ended by the answer itself, or as a link that stands idle, while most of the answer is on its way.
  for (const bool by_answer : {true, false}) {
    CAPTURE(by_answer);
    std::optional<Peer> client(Socket::make(address));
    const int small = 2'048;
    ::setsockopt(client->socket.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    REQUIRE(client->socket.connect(address, 5'000));
    std::string query = query_text(by_answer ? "a" : "b", "refund-payout");
    if (by_answer) query.insert(query.find("X-Budget"), "Connection: close\r\n");
    client->write(query);
    front.next<core::QueryArrived>().asker->answer({core::AnswerKind::served, body});
    while (front.links->count(ConnectionState::busy) > 0) REQUIRE(client->read_some());
    if (!by_answer) front.links->stop_accepting();
    front.await(ConnectionState::lingering, 1);
    client->write(query_text("c", "refund-payout"));
    CHECK(client->message().ends_with(body));
    CHECK(client->closed());
    CHECK(front.links->open() == 1);
    client.reset();
    front.await(ConnectionState::lingering, 0);
    CHECK(front.links->open() == 0);
    CHECK(front.inbox.take().empty());  // the last query was passed over, and its client is free to repeat it
  }
}

// Guards new clients and descriptors against those that do not close behind their answer.
TEST_CASE("a link that is only to be closed gives way at the edge, and ends by itself after a bound") {
  Front front(2);
  Peer first = Peer::to(front.port), second = Peer::to(front.port);
  for (Peer* one : {&first, &second}) {
    one->write("GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(one->message().ends_with("ready\n"));
  }
  front.await(ConnectionState::lingering, 2);
  Peer third = front.served();
  CHECK(front.links->count(ConnectionState::lingering) == 1);
  front.clock.set(kNow + 500);
  front.await(ConnectionState::lingering, 0);
  CHECK(front.links->count(ConnectionState::idle_no_query) == 1);
}

// Guards all others against one that sends as fast as it is read: there is one thread for all of them.
TEST_CASE("a link that floods is read a turn at a time, and told so when its time is over") {
  core::Clock clock;
  BufferPool pool(4);
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  Socket here{Fd(ends[0])}, there{Fd(ends[1])};
  const int much = 1'000'000;
  ::setsockopt(there.fd(), SOL_SOCKET, SO_SNDBUF, &much, sizeof much);
  const std::string lines = "HTTP/1.1 200 OK\r\n\r\n" + std::string(12 * kBufferBytes, '\n');
  REQUIRE(there.send_some({lines}) == lines.size());
  Intake intake(here, clock, pool);
  Io why = Io::done;
  intake.use(intake.head(Intake::kNoWait, why).value());
  LineReader reader(intake, {Framing::Kind::to_end, 0, true});
  std::string line;
  std::size_t read = 0;
  while (reader.next(line, Intake::kNoWait) == LineReader::Got::line) read += 1;
  CHECK(intake.starved());
  CHECK(read < 9 * kBufferBytes);
  CHECK(reader.next(line, Intake::kNoWait) == LineReader::Got::late);  // its turn is over, whoever asks again
  CHECK_FALSE(reader.discard_all(Intake::kNoWait));
  CHECK(intake.starved());
  intake.begin_turn();
  while (reader.next(line, Intake::kNoWait) == LineReader::Got::line) read += 1;
  CHECK_FALSE(intake.starved());
  CHECK(read == 12 * kBufferBytes);

  Front front(16);
  std::atomic<bool> over{false};
  std::vector<std::thread> flood;
  std::atomic<int> told{0};
  for (int i = 0; i < 6; ++i)
    flood.emplace_back([&] {
      Peer peer = Peer::to(front.port);
      peer.write("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
      std::string trailers;
      while (trailers.size() < 200'000) trailers += "x: y\r\n";
      while (!over && ::send(peer.socket.fd(), trailers.data(), trailers.size(), MSG_NOSIGNAL) > 0) {
      }
      told += 1;
    });
  front.await(ConnectionState::reading, 6);
  for (int i = 0; i < 20; ++i) Front::ask(*std::make_unique<Peer>(Peer::to(front.port)));
  front.clock.set(kNow + 10'000);
  front.await(ConnectionState::reading, 0);
  front.clock.set(kNow + 11'000);
  front.await(ConnectionState::lingering, 0);
  over = true;
  for (std::thread& one : flood) one.join();
  CHECK(told == 6);
}

// Guards new clients at the edge: nobody looks for a place again by the clock.
TEST_CASE("new links wait where all have a query at work, and the first that falls idle gives way") {
  Front front(1);
  Peer first = Peer::to(front.port), second = Peer::to(front.port);
  first.write(query_text("a", "refund-payout"));
  auto asker = front.next<core::QueryArrived>().asker;
  second.write("GET /health/live HTTP/1.1\r\n\r\n");
  std::exchange(asker, nullptr)->answer({core::AnswerKind::served, "one"});
  CHECK(first.message().ends_with("one"));
  CHECK(second.message().ends_with("ready\n"));
  CHECK(first.closed());
  Peer third = Peer::to(front.port);
  third.write("GET /health/live HTTP/1.1\r\n\r\n");
  CHECK(third.message().ends_with("ready\n"));
}

// Guards a planned end, and a front that goes, against links that are being accepted and read meanwhile.
TEST_CASE("all links end at once, whatever comes in at that moment") {
  for (int round = 0; round < 40; ++round) {
    std::optional<Front> front(std::in_place, 16);
    std::vector<Peer> peers;
    for (int i = 0; i < 12; ++i) {
      peers.push_back(Peer::to(front->port));
      peers.back().write("GET /health/live HTTP/1.1\r\n\r\n" + query_text("q" + std::to_string(i), "x"));
    }
    front->links.reset();
    CHECK(front->park.guests() == 0);
    for (Peer& peer : peers) peer.socket.shut();
  }
}

// Guards clients that send their next query before they have read the last answer.
TEST_CASE("a query that comes behind one at work is taken once that is answered") {
  Front front(8);
  Peer client = Peer::to(front.port);
  client.write(query_text("a", "refund-payout"));
  const auto first = front.next<core::QueryArrived>();
  client.write(query_text("b", "refund-payout") + "GET /health/live HTTP/1.1\r\n\r\n");
  first.asker->answer({core::AnswerKind::served, "one"});
  CHECK(client.message().ends_with("one"));
  const auto second = front.next<core::QueryArrived>();
  CHECK(second.query.id == "b");
  second.asker->answer({core::AnswerKind::served, "two"});
  CHECK(client.message().ends_with("two"));
  CHECK(client.message().ends_with("ready\n"));
}

// Guards: a failed watch must reach the module, or drains go unheard. One that falls silent is opened anew
// without it: tests/lists_test.cpp.
TEST_CASE("a watch that cannot be read, is refused or ends has failed") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fine = chunked({R"({"seq":2,"whole":false,"hosts":[]})", ""});
  struct Case {
    std::string answer;
    bool open, stays;
  };
  const Case cases[] = {{chunked({"}"}), false, true},
                        {chunked({"nonsense"}), false, true},
                        {chunked({R"([{"seq":2}])"}), false, true},
                        {chunked({R"({"seq":2,"whole":true,"hosts":[{"host":"w"}]})"}), false, true},
                        {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", false, true},
                        {"", false, false},
                        {fine, true, false},
                        {fine + "0\r\n\r\n", true, true}};
  for (const Case& one : cases) {
    Bench bench("Ready");
    bench.hosts.watch();
    std::optional<Peer> link = bench.discovery.accept();
    CHECK(starts(link->message(), "GET /registry/instances?follow=1&since=1 HTTP/1.1\r\n"));
    if (!one.answer.empty()) link->write(one.answer);
    if (one.open) CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::changes);
    if (!one.stays) link.reset();
    CHECK(std::get<core::ListTold>(bench.next(Bench::kSilence)).update.kind == ListKind::failed);
    // Asked again, it goes on from the newest list it had.
    bench.hosts.watch();
    CHECK(has(bench.discovery.accept().message(), one.open ? "since=2 " : "since=1 "));
  }
}

// Guards: through the module's backoff, or after a failure told, drains would go unheard for seconds.
TEST_CASE("at a new address of discovery the watch is open at once, and no failure is told") {
  Bench bench("Ready");
  bench.hosts.watch();
  Peer old = bench.discovery.accept();
  old.message();
  Port second, third;
  bench.hosts.move(second.dial());
  CHECK(old.closed());
  Peer link = second.accept();
  CHECK(has(link.message(), "since=1 "));
  CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::interrupted);
  CHECK_THROWS_AS(bench.hosts.move("nowhere"), std::invalid_argument);
  bench.hosts.move(second.dial());  // nothing new: the watch stays
  link.write(chunked({R"({"seq":2,"whole":false,"hosts":[]})"}));
  CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::changes);
  // Also where the last watch has failed and the module is still waiting.
  link.socket.shut();
  CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::failed);
  bench.hosts.move(third.dial());
  CHECK(has(third.accept().message(), "since=2 "));
  CHECK(std::get<core::ListTold>(bench.next()).update.kind == ListKind::interrupted);
}

// Guards what SIGTERM must not lose: queries at work, links that still come, and what clients send on the
// links that they have while the time for it lasts.
TEST_CASE("at a planned end all that is taken is answered, and open links serve on for as long as they can") {
  Port worker, discovery;
  core::Clock clock;
  clock.set(kNow);
  Node node(core::read_config(config_json(Hosts{host_json("w", worker.dial())}, discovery.dial())), clock);
  const Peer watch = confirm_list(discovery, node);
  Peer early = Peer::to(node.port()), idle = Peer::to(node.port());
  early.write(query_text("a1", "refund-payout"));
  Peer first = worker.accept();
  first.message();
  std::atomic<bool> ended{false};
  std::thread end([&] {
    node.finish();
    ended = true;
  });
  const std::string ask = "GET /health/ready HTTP/1.1\r\n\r\n";
  do idle.write(ask);
  while (starts(idle.message(), "HTTP/1.1 200 "));
  clock.set(kNow + 2'500);
  Peer late = Peer::to(node.port());
  std::optional<Peer> second;
  for (const std::string id : {"a2", "a3"}) {
    late.write(query_text(id, "refund-payout"));
    if (!second) second = worker.accept();
    second->message();
    second->write(done(id, "two"));
    const std::string answer = late.message();
    CHECK(answer.ends_with("\r\n\r\ntwo"));
    CHECK_FALSE(has(answer, "Connection: close"));
  }
  clock.set(kNow + 2'600);
  CHECK(idle.closed());
  CHECK(late.closed());
  first.write(done("a1", "one"));
  CHECK(early.message().ends_with("\r\n\r\none"));
  CHECK(early.closed());
  while (!ended) clock.set(clock.now() + 1);
  end.join();
}

// Guards clients of a deployment whose deadlines are all short: told the same for longer than they last, each
// of their queries would be refused from SIGTERM on.
TEST_CASE("at a planned end what can still be answered in time is taken, however short the deadlines") {
  Port worker, discovery;
  core::Clock clock;
  clock.set(kNow);
  nlohmann::json config = config_json(Hosts{host_json("w", worker.dial())}, discovery.dial());
  for (nlohmann::json& kind : config["settings"]["Categories"]) kind["DeadlineUs"] = 300'000;
  Node node(core::read_config(config), clock);
  const Peer watch = confirm_list(discovery, node);
  std::atomic<bool> ended{false};
  std::thread end([&] {
    node.finish();
    ended = true;
  });
  Peer client = Peer::to(node.port());
  const std::string ask = "GET /health/ready HTTP/1.1\r\n\r\n";
  do client.write(ask);
  while (starts(client.message(), "HTTP/1.1 200 "));
  clock.set(kNow + 290);
  std::string query = query_text("a1", "refund-payout");
  client.write(query.replace(query.find("5000m"), 5, "300m"));
  Peer link = worker.accept();
  link.message();
  clock.set(kNow + 560);
  link.write(done("a1", "one"));
  CHECK(client.message().ends_with("\r\n\r\none"));
  while (!ended) clock.set(clock.now() + 1);
  end.join();
}

}  // namespace
}  // namespace woadtide::net
