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

bool starts_with(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }
bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Parsers
// ----------------------------------------------------------------------------------------------------

TEST_CASE("ambiguous or malformed request heads are rejected") {
  const auto status = [](const std::string& fields, const std::string& line = "POST /api HTTP/1.1") {
    try {
      const std::string raw = line + "\r\n" + fields + "\r\n";
      request_framing(parse_request_head(std::string_view(raw).substr(0, head_length(raw))));
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

TEST_CASE("a chunked body decodes the same in one piece and byte by byte") {
  const std::string raw = "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nrest";
  const auto decode = [&raw](std::size_t step) {
    BodyDecoder decoder(Framing{Framing::Kind::chunked, 0, false});
    std::string body;
    std::size_t used = 0;
    while (!decoder.complete())
      used += decoder.decode(std::string_view(raw).substr(used, step), [&](auto piece) { body += piece; });
    return body + '|' + raw.substr(used);
  };
  CHECK(decode(raw.size()) == "abc0123456789|rest");
  CHECK(decode(1) == decode(raw.size()));
  BodyDecoder decoder(Framing{Framing::Kind::chunked, 0, false});
  CHECK_THROWS_AS(decoder.decode("zz\r\n", [](auto) {}), BadMessage);
}

// Complete dispatchers
// ---------------------------------------------------------------------------------------

TEST_CASE("a query reaches the worker unchanged, and the next one uses the same server link") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  std::string keyed = query_text("aa01", "refund-payout");
  client.write(keyed.insert(keyed.find("X-Budget"), "Idempotency-Key: 5C0f\r\n"));
  Peer link = worker.accept();
  for (const std::string id : {"aa01", "aa02"}) {
    const std::string request = link.read_message();
    CHECK(starts_with(request, "POST /api?user=7f HTTP/1.1\r\n"));
    CHECK(contains(request, "X-Call-Id: " + id + "\r\n"));
    CHECK(contains(request, "X-Budget: 5000m\r\n"));
    CHECK(contains(request, "Idempotency-Key: 5C0f\r\n") == (id == "aa01"));
    CHECK(request.ends_with("\r\n\r\npay"));
    link.write(done_response(id, "ok " + id));
    const std::string answer = client.read_message();
    CHECK(starts_with(answer, "HTTP/1.1 200 "));
    CHECK(answer.ends_with("\r\n\r\nok " + id));
    if (id == "aa01") client.write(query_text("aa02", "receipt-check"));
  }
}

TEST_CASE("a chunked query whose body arrives in pieces is forwarded complete") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  client.write("POST /api HTTP/1.1\r\nX-Call-Id: cc\r\nX-Call-Class: receipt-check\r\nX-Budget: 90000u\r\n");
  client.write("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  client.write("2\r\nde\r\n0\r\n\r\n");
  Peer link = worker.accept();
  const std::string request = link.read_message();
  CHECK(contains(request, "X-Budget: 90m\r\n"));
  CHECK_FALSE(contains(request, "Transfer-Encoding"));
  CHECK(request.ends_with("Content-Length: 5\r\n\r\nabcde"));
}

// The protocol's table of outcomes: how each answer of a worker is classified, seen by what the dispatcher
// does next.
TEST_CASE("a payout fails if it may have run, and is refused if it never ran") {
  struct Case {
    const char* description;
    std::string answer;
    const char* status;
  };
  const std::string id = "bb01";
  const Case cases[] = {
      {"failed", chunked_response({event_line(id, "failed")}), "502"},
      {"500", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "502"},
      {"503 without X-Rejected", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "502"},
      {"lost", chunked_response({event_line(id, "started"), event_line(id, "lost")}), "502"},
      {"cut short", chunked_response({event_line(id, "started")}), "502"},
      {"complete, but without a final state", chunked_response({event_line(id, "started")}) + "0\r\n\r\n",
       "502"},
      {"no answer", "", "502"},
      {"not HTTP", "hello\r\n\r\n", "502"},
      {"not JSON", chunked_response({"{"}), "502"},
      {"another query's result", chunked_response({event_line("bb02", "done", R"(,"result":"x")")}), "502"},
      {"a result that is not a string", chunked_response({event_line(id, "done", R"(,"result":7)")}), "502"},
      {"returned", chunked_response({event_line(id, "returned")}), "503"},
      {"503 with X-Rejected", "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", "503"},
      {"503 with X-Rejected and a body",
       "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 5\r\n\r\nfull\n", "503"},
      {"504 with X-Rejected", "HTTP/1.1 504 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", "503"},
  };
  for (const Case& test_case : cases) {
    CAPTURE(test_case.description);
    ListeningPort worker;
    TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    {
      Peer link = worker.accept();
      link.read_message();
      if (*test_case.answer.data()) link.write(test_case.answer);
    }
    const std::string answer = client.read_message();
    CHECK(starts_with(answer, std::string("HTTP/1.1 ") + test_case.status));
    CHECK(contains(answer, "Retry-After: 0.") == (std::string(test_case.status) == "503"));
  }
}

TEST_CASE("a query whose worker refuses the connection goes to the other worker") {
  ListeningPort live;
  // Bound, but not listening: a port that was closed could be assigned again, to the dispatcher itself.
  const Address anywhere("127.0.0.1:0");
  const Socket dead = Socket::create(anywhere);
  REQUIRE(::bind(dead.fd(), reinterpret_cast<const sockaddr*>(&anywhere.storage), anywhere.length) == 0);
  const std::string dial = "127.0.0.1:" + std::to_string(dead.port());
  TestDispatcher served(EndpointEntries{endpoint_json("dead", dial), endpoint_json("live", live.dial())});
  for (const std::string id : {"dd01", "dd02", "dd03"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = live.accept();
    link.read_message();
    link.write(done_response(id, "ok"));
    CHECK(starts_with(client.read_message(), "HTTP/1.1 200 "));
  }
}

// A request written to a link that the worker has closed would end with a reset, and the payout would fail.
TEST_CASE("a server link that the worker closed while it was idle is not used again") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  for (const std::string id : {"ee01", "ee02"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = worker.accept();
    link.read_message();
    link.write(done_response(id, "ok"));
    CHECK(starts_with(client.read_message(), "HTTP/1.1 200 "));
  }
}

// A payout that is done must not be reported as failed because of what its worker wrote after the result.
TEST_CASE("a result counts even if the body is malformed after it, and the link is not used again") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  for (const std::string id : {"ab01", "ab02"}) {
    Peer client = served.client();
    client.write(query_text(id, "refund-payout"));
    Peer link = worker.accept();
    link.read_message();
    link.write(chunked_response({event_line(id, "done", R"(,"result":"ok")")}) + "zz\r\n");
    CHECK(starts_with(client.read_message(), "HTTP/1.1 200 "));
    CHECK(link.is_closed());
  }
}

TEST_CASE("invalid input is answered with a 4xx, and its link is closed") {
  TestDispatcher served(EndpointEntries{});
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
    const std::string answer = client.read_message();
    CHECK(starts_with(answer, std::string("HTTP/1.1 ") + status));
    CHECK(contains(answer, "Connection: close\r\n"));
    client.socket.shut_down(SHUT_WR);
    CHECK(client.is_closed());
  }
}

// If it were forwarded, each of these could be one query to us and another one to the worker.
TEST_CASE("a head with ambiguous fields or invalid numbers is rejected") {
  TestDispatcher served(EndpointEntries{});
  const char* const fields[] = {
      "X-Call-Id: gg\r\n",        "x-call-class: receipt-check\r\n",
      "X-Budget: 1m\r\n",         "Connection: close, X-Call-Id\r\n",
      "Connection: x-budget\r\n", "Host: a\r\nHost: b\r\n",
      "X-Call-Cost: nan\r\n",     "X-Call-Cost: 1e3\r\n",
      "X-Call-Cost: -1\r\n",      "X-Call-Info: slots=inf\r\n",
      "X-Call-Info: slots=0\r\n", "X-Call-Cost: 99999999999999999999\r\n",
      "X-Name: caf\xc3\xa9\r\n",  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"};
  const auto ask = [&](const std::string& extra, const std::string& budget = "5000m", const char* id = "gg") {
    return served.send_query("POST /api HTTP/1.1\r\nX-Call-Id: " + std::string(id) +
                             "\r\nX-Call-Class: receipt-check\r\nX-Budget: " + budget + "\r\n" + extra +
                             "\r\n");
  };
  CHECK(starts_with(ask("X-Call-Cost: 1500.5\r\nX-Call-Info: key=a,slots=2\r\n"), "HTTP/1.1 503 "));
  for (const char* extra : fields) {
    CAPTURE(extra);
    CHECK(starts_with(ask(extra), "HTTP/1.1 400 "));
  }
  for (const char* budget : {"nanm", "infm", "-5m", "1e5m", "m", "99999999999m", "0x5m", "5s", ""}) {
    CAPTURE(budget);
    CHECK(starts_with(ask("", budget), "HTTP/1.1 400 "));
  }
  CHECK(starts_with(ask("", "5000m", "g g"), "HTTP/1.1 400 "));
}

TEST_CASE("fields listed in Connection are not forwarded, and the largest body arrives complete") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  std::string body;
  while (body.size() < kMaxBodyBytes) body += std::to_string(body.size()) + ',';
  body.resize(kMaxBodyBytes);
  Peer client = served.client();
  client.write(
      "POST /api HTTP/1.1\r\nX-Call-Id: aa\r\nX-Call-Class: receipt-check\r\nX-Budget: 500m\r\n"
      "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::string request = worker.accept().read_message();
  CHECK_FALSE(contains(request, "X-Hop"));
  CHECK(contains(request, "X-Kept: 1\r\n"));
  CHECK(request.ends_with("\r\n\r\n" + body));
}

// If an invalid query were tried at one worker after the other, all of them would be ejected for a while.
TEST_CASE("a query that a worker rejects as invalid goes to no other worker, and the worker stays in use") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("ac01", "receipt-check"));
  Peer link = worker.accept();
  link.read_message();
  link.write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts_with(client.read_message(), "HTTP/1.1 400 "));
  Peer second_client = served.client();
  second_client.write(query_text("ac02", "receipt-check"));
  link.read_message();
  link.write(done_response("ac02", "ok"));
  CHECK(starts_with(second_client.read_message(), "HTTP/1.1 200 "));
}

// Client links alone; the test acts as the decision loop
// ----------------------------------------------------------------------

struct ClientLinksFixture {
  explicit ClientLinksFixture(std::size_t max_links, double read_timeout_ms = 2'000) {
    clock.set(kStartTimeMs);
    context.read_timeout_ms = read_timeout_ms;
    frontend.reports_ready = true;
    Socket listener = Socket::listen_at(Address("127.0.0.1:0"));
    port = listener.port();
    links.emplace(std::move(listener), max_links, context);
    links->start();
  }
  // Waits until `count` links are in this state. What a thread does after a response is finished then.
  void await_count(ConnectionState state, std::size_t count) {
    const core::Clock real;
    for (const double deadline = real.now() + 10'000; links->count(state) != count;) {
      REQUIRE(real.now() < deadline);
      std::this_thread::yield();
    }
  }
  // Waits until the newest link in this state had its last activity `at` ms after kStartTimeMs.
  void await_last_activity(ConnectionState state, double at) {
    const core::Clock real;
    for (const double deadline = real.now() + 10'000; links->last_activity(state) != kStartTimeMs + at;) {
      REQUIRE(real.now() < deadline);
      std::this_thread::yield();
    }
  }
  // A client whose health check was answered.
  Peer connect_and_check() {
    Peer peer = Peer::to(port);
    check_health(peer);
    return peer;
  }
  // A client whose query was answered.
  Peer connect_and_query(const std::string& id) {
    Peer peer = Peer::to(port);
    peer.write(query_text(id, "refund-payout"));
    next_message<core::QueryReceived>().reply_callback->on_answer({core::AnswerKind::served, "ok"});
    CHECK(starts_with(peer.read_message(), "HTTP/1.1 200 "));
    return peer;
  }
  static void check_health(Peer& peer) {
    peer.write("GET /health/ready HTTP/1.1\r\n\r\n");
    CHECK(starts_with(peer.read_message(), "HTTP/1.1 200 "));
  }
  // The next message to the decision loop, which must be of this kind.
  template <class Kind>
  Kind next_message() {
    for (int tries = 0; messages.empty() && tries < 100; ++tries)
      inbox.wait_for_message(100), messages = inbox.take_all();
    REQUIRE_FALSE(messages.empty());
    const core::Message message = std::move(messages.front());
    messages.pop_front();
    return std::get<Kind>(message);
  }

  core::Clock clock;
  BufferPool pool{16};  // declared before everything that may hold a buffer
  core::Inbox inbox;
  std::deque<core::Message> messages;  // taken from the inbox, not returned yet
  park::EventLoop event_loop{clock};
  front::http::HttpFrontend frontend{inbox};
  ClientLinkContext context{clock, pool, event_loop, frontend};
  int port = 0;
  std::optional<ClientLinks> links;
};

TEST_CASE("at the limit a link that never completed a query is evicted first, then the longest idle link") {
  ClientLinksFixture client_side(2);
  Peer first = client_side.connect_and_query("a"), half = Peer::to(client_side.port);
  half.write("POST /api HTTP/1.1\r\n");
  client_side.await_count(ConnectionState::reading, 1);
  client_side.clock.set(kStartTimeMs + 500);
  Peer third = client_side.connect_and_query("b");
  CHECK(half.is_closed());
  client_side.await_count(ConnectionState::idle, 2);
  ClientLinksFixture::check_health(first);
  client_side.await_count(ConnectionState::idle, 2);
  Peer fourth = client_side.connect_and_query("c");
  CHECK(third.is_closed());
  ClientLinksFixture::check_health(first);
}

// Clients that send nothing valid are owed an error or a close within 3 s of connecting, and must not hold a
// place for longer. A client that sends a byte now and then would renew any limit that counts from its last
// byte.
TEST_CASE("the first query of a link must be complete within a limit that counts from accept") {
  ClientLinksFixture client_side(8, 20);
  client_side.context.read_gap_ms = 0;
  Peer served = client_side.connect_and_check(), silent = Peer::to(client_side.port),
       trickling = Peer::to(client_side.port);
  trickling.write("P");
  client_side.await_count(ConnectionState::reading, 1);
  client_side.await_count(ConnectionState::fresh, 1);
  client_side.clock.set(kStartTimeMs + 19);
  trickling.write("OST /api");
  client_side.clock.set(kStartTimeMs + 20);
  CHECK(starts_with(trickling.read_message(), "HTTP/1.1 408 "));
  CHECK(silent.is_closed());
  ClientLinksFixture::check_health(served);
}

// Valid queries may arrive in pieces for longer than a silent link may stay open, but not without end.
TEST_CASE("a first query that keeps arriving gets more time, one that stops halfway does not") {
  ClientLinksFixture client_side(8, 2'000);
  Peer slow = Peer::to(client_side.port), stopped = Peer::to(client_side.port);
  const std::string text = query_text("slow", "refund-payout");
  const auto await_read = [&](double at) {  // returns when bytes have been read with the clock at `at`
    client_side.clock.set(kStartTimeMs + at);
    client_side.await_last_activity(ConnectionState::reading, at);
  };
  stopped.write("POST /api");
  client_side.await_count(ConnectionState::reading, 1);
  for (int i = 0; i < 5; ++i) {
    const std::size_t size = text.size() / 6;
    client_side.clock.set(kStartTimeMs + 900 * i);
    slow.write(text.substr(static_cast<std::size_t>(i) * size, size));
    await_read(900 * i);
  }
  CHECK(starts_with(stopped.read_message(), "HTTP/1.1 408 "));
  slow.write(text.substr(text.size() / 6 * 5));
  CHECK(client_side.next_message<core::QueryReceived>().query.id == "slow");
  Peer endless = Peer::to(client_side.port);
  const double start = client_side.clock.now() - kStartTimeMs;
  for (double at = 0; at < 10'000; at += 900) {
    client_side.clock.set(kStartTimeMs + start + at);
    endless.write("x");
    await_read(start + at);
  }
  client_side.clock.set(kStartTimeMs + start + 10'000);
  CHECK(starts_with(endless.read_message(), "HTTP/1.1 408 "));
}

// Slow queries at the limit of links: the many clients that checked health and stayed, or sent half a head,
// must be evicted before them.
TEST_CASE(
    "at the limit links without a query are evicted before silent ones, and an arriving query is kept") {
  ClientLinksFixture client_side(3);
  Peer checked = client_side.connect_and_check(), silent = Peer::to(client_side.port),
       arriving = Peer::to(client_side.port);
  client_side.await_count(ConnectionState::fresh, 2);
  client_side.await_count(ConnectionState::idle_no_query, 1);
  client_side.clock.set(kStartTimeMs + 500);
  arriving.write("POST /api");
  client_side.await_count(ConnectionState::reading, 1);
  Peer first = Peer::to(client_side.port);
  CHECK(checked.is_closed());
  Peer second = Peer::to(client_side.port);
  CHECK(silent.is_closed());
  Peer third = client_side.connect_and_check();
  Peer fourth = client_side.connect_and_check();
  client_side.await_count(ConnectionState::reading, 1);
  const std::string text = query_text("q", "refund-payout");
  arriving.write(text.substr(9));
  CHECK(client_side.next_message<core::QueryReceived>().query.id == "q");
}

// Memory: hundreds of silent links must not use a buffer.
TEST_CASE("a link without a query holds no buffer") {
  ClientLinksFixture client_side(8);
  Peer silent = Peer::to(client_side.port), served = client_side.connect_and_check(),
       after = client_side.connect_and_check();
  client_side.await_count(ConnectionState::idle_no_query, 2);
  CHECK(client_side.links->open_count() == 3);
  CHECK(client_side.pool.in_use() == 0);
}

TEST_CASE("the decision loop is notified which query's client has closed during processing") {
  ClientLinksFixture client_side(8);
  std::optional<Peer> client = Peer::to(client_side.port);
  client->write(query_text("q", "refund-payout"));
  const auto arrived = client_side.next_message<core::QueryReceived>();
  client.reset();
  const auto gone = client_side.next_message<core::ClientDisconnected>();
  CHECK(gone.query == "q");
  CHECK(gone.reply_callback == arrived.reply_callback);
}

TEST_CASE("links and buffers stay within the allowed descriptors and memory") {
  for (const std::size_t allowed : {256, 384, 1024, 100'000})
    for (const std::size_t memory_mb : {32, 48, 192}) {
      CAPTURE(allowed);
      CAPTURE(memory_mb);
      const ResourceBudget budget(allowed, memory_mb);
      CHECK(budget.client_links + budget.server_links + 30 < allowed);
      CHECK(budget.client_links >= std::min<std::size_t>(allowed, 1024) / 3);
      const std::size_t buffers = budget.client_buffers + budget.worker_buffers;
      CHECK(buffers * kBufferBytes + (budget.client_links + budget.server_links) * 20'000 + 6'000'000 <
            memory_mb * 1'000'000);
      CHECK(budget.client_buffers >= budget.client_links);
    }
}

// Server links and the service discovery client alone
// -----------------------------------------------------------------

struct ServerLinksFixture {
  static constexpr double kSilenceMs = 50;
  explicit ServerLinksFixture(const char* health, std::size_t max_links = 8, double settle_ms = 1,
                              park::ThreadPool::ThreadFactory start = {})
      : thread_pool({}, std::move(start)),
        endpoint_list(
            discovery.dial(),
            core::parse_endpoint_list(
                {{"seq", 1}, {"whole", true}, {"hosts", {endpoint_json("w", worker.dial(), health)}}}),
            stopped_clock(), inbox, pool, event_loop, thread_pool,
            EndpointListClient::DiscoveryMode::on_request, kSilenceMs),
        servers({max_links, 5'000, 60'000, settle_ms}, clock, inbox, endpoint_list, pool, event_loop,
                thread_pool) {
    next_message();  // the remembered endpoint list
  }
  core::Clock& stopped_clock() {
    clock.set(kStartTimeMs);
    return clock;
  }
  // The next message to the decision loop. While there is none, the clock advances in steps of `step_ms`.
  core::Message next_message(double step_ms = 0) {
    for (int tries = 0; messages.empty(); ++tries) {
      inbox.wait_for_message(100);
      for (core::Message& message : inbox.take_all())
        if (std::holds_alternative<core::ExecutionSent>(message))
          sent_executions += 1;
        else
          messages.push_back(std::move(message));
      clock.set(clock.now() + step_ms);
      REQUIRE_MESSAGE(tries < 100, "no message arrived");
    }
    core::Message message = std::move(messages.front());
    messages.pop_front();
    return message;
  }
  void start(const std::string& id, double time_left_ms = 60'000,
             double not_after = core::Execution::kNoTimeLimit) {
    core::Execution execution;
    execution.key = {id, 0};
    execution.worker = "w";
    execution.payload = {nullptr, "POST", "/api", "X-Call-Id: 1\r\n", {"pay"}};
    execution.deadline = clock.now() + time_left_ms;
    execution.not_after = not_after;
    servers.start(std::move(execution));
  }
  // Accepts a link on which the first bytes of a query arrive. With a long settling time the last byte is
  // held back until send_continue().
  Peer accept_partial_query() {
    Peer link = worker.accept();
    REQUIRE(link.read_some());
    CHECK_FALSE(link.received.ends_with("pay"));
    return link;
  }
  static void send_continue(Peer& link) { link.write("HTTP/1.1 100 Continue\r\n\r\n"); }
  // Reads the link to its end, and checks that the last byte of the query did not arrive.
  static void check_never_completed(Peer& link) {
    while (link.read_some()) {
    }
    CHECK_FALSE(link.received.ends_with("pay"));
  }
  // The status of the next message, which must be the end of an execution.
  Status next_status() { return std::get<core::ExecutionEnded>(next_message()).status; }
  // A link whose execution has ended with its result, while the end of the body is still missing.
  Peer link_with_unfinished_body() {
    start("q");
    Peer link = worker.accept();
    link.read_message();
    const std::string answer = done_response("q", "ok");
    link.write(answer.substr(0, answer.size() - 5));
    CHECK(std::holds_alternative<core::ExecutionStarted>(next_message()));
    CHECK(next_status() == Status::ok);
    return link;
  }
  // A link that has served one execution and is kept open.
  Peer kept_link() {
    start("q");
    Peer link = worker.accept();
    link.read_message();
    link.write(done_response("q", "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(next_message()));
    CHECK(next_status() == Status::ok);
    return link;
  }

  ListeningPort worker, discovery;
  core::Clock clock;
  core::Inbox inbox;
  BufferPool pool{16};
  std::deque<core::Message> messages;  // taken from the inbox, not returned yet
  int sent_executions = 0;             // executions that were sent up to their last byte
  park::EventLoop event_loop{clock};
  park::ThreadPool thread_pool;
  EndpointListClient endpoint_list;
  ServerLinks servers;
};

// Two processes share one limit: the first must make room when the next one starts.
TEST_CASE("lowering a limit closes links and frees buffers that are not in use") {
  ClientLinksFixture client_side(8);
  Peer first = client_side.connect_and_query("a"), second = client_side.connect_and_query("b"),
       busy = Peer::to(client_side.port);
  busy.write(query_text("c", "refund-payout"));
  const auto arrived = client_side.next_message<core::QueryReceived>();
  client_side.await_count(ConnectionState::idle, 2);
  client_side.links->set_max_links(1);
  CHECK(first.is_closed());
  CHECK(second.is_closed());
  arrived.reply_callback->on_answer({core::AnswerKind::served, "ok"});
  CHECK(starts_with(busy.read_message(), "HTTP/1.1 200 "));

  BufferPool pool(2);
  std::optional<Buffer> one = pool.take(0, client_side.clock), two = pool.take(0, client_side.clock);
  pool.set_max_buffers(1);
  one.reset();
  CHECK_FALSE(pool.take(0, client_side.clock));
  two.reset();
  CHECK(pool.take(0, client_side.clock));

  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.kept_link();
  worker_side.servers.set_max_links(0);
  CHECK(link.is_closed());
}

// The rule on drains: the notice can arrive while a connect is in progress.
TEST_CASE("a worker that drains by the time the link is connected gets no byte") {
  ServerLinksFixture worker_side("Terminating");
  worker_side.start("q");
  CHECK(worker_side.next_status() == Status::not_started);  // and only once: a new link would not change it
  CHECK(worker_side.worker.accept().is_closed());
}

// An operator's exclusion: it can arrive while a connect is in progress or an execution is queued, and probes
// do not pass through the module.
TEST_CASE(
    "a worker that an operator excludes gets no byte of pending executions until it is included again") {
  ServerLinksFixture worker_side("Ready");
  worker_side.servers.set_excluded("w", true);
  worker_side.start("q");
  CHECK(worker_side.next_status() == Status::not_started);
  CHECK(worker_side.worker.accept().is_closed());
  worker_side.servers.probe("w");
  CHECK(std::get<core::ProbeEnded>(worker_side.next_message()).status == Status::not_started);
  CHECK(worker_side.worker.accept().is_closed());
  worker_side.servers.set_excluded("w", false);
  worker_side.start("r");
  Peer link = worker_side.worker.accept();
  CHECK(link.read_message().ends_with("pay"));
  link.write(done_response("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
  CHECK(worker_side.sent_executions == 1);  // the complete query, and no probe
}

// A deduplicated class: the window in which a repeat is recognised can end while a connect is in progress.
TEST_CASE("a repeat whose window ends before the connect is not sent, nor held against the worker") {
  ServerLinksFixture worker_side("Ready");
  for (const double not_after : {kStartTimeMs - 1, kStartTimeMs + 60'000}) {
    worker_side.start("q", 60'000, not_after);
    Peer link = worker_side.worker.accept();
    if (not_after > kStartTimeMs) {
      CHECK(link.read_message().ends_with("pay"));
    } else {
      CHECK(worker_side.next_status() == Status::not_started);
      CHECK(link.is_closed());
    }
  }
}

TEST_CASE("a probe on a kept link returns the worker's report, and the link stays in use") {
  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.kept_link();
  worker_side.servers.probe("w");
  CHECK(starts_with(link.read_message(), "GET /stats HTTP/1.1"));
  link.write("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nx0=2,waiting=0");
  const auto probed = std::get<core::ProbeEnded>(worker_side.next_message());
  CHECK(probed.status == Status::ok);
  CHECK(probed.load_report == "x0=2,waiting=0");
  worker_side.start("r");
  CHECK(link.read_message().ends_with("pay"));
}

TEST_CASE("a cancelled execution ends as cancelled and its link is closed") {
  ServerLinksFixture worker_side("Ready");
  worker_side.start("q");
  Peer link = worker_side.worker.accept();
  link.read_message();
  worker_side.servers.cancel({"q", 0});
  CHECK(worker_side.next_status() == Status::cancelled);
  CHECK(link.is_closed());
}

TEST_CASE("an execution is not sent while all server links are busy") {
  ServerLinksFixture worker_side("Ready", 1);
  worker_side.start("q");
  Peer link = worker_side.worker.accept();
  link.read_message();
  worker_side.start("r");
  CHECK(worker_side.next_status() == Status::not_started);
  link.write(done_response("q", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
}

// Time for another attempt at a safe query: waiting for the rest of a line would take until its deadline.
TEST_CASE(
    "a response that stalls within a line or head times out, one that pauses between two lines does not") {
  const std::string started = chunked_response({event_line("q", "started")});
  for (const std::string& part :
       {std::string("HTTP/1.1 200"), started + "2", started + "20\r\n{\"id\":\"q\""}) {
    ServerLinksFixture worker_side("Ready");
    worker_side.start("q");
    Peer link = worker_side.worker.accept();
    link.read_message();
    link.write(part);
    core::Message message = worker_side.next_message(100);
    if (std::holds_alternative<core::ExecutionStarted>(message)) message = worker_side.next_message(100);
    CHECK(std::get<core::ExecutionEnded>(message).status == Status::reset);
    CHECK(worker_side.clock.now() < kStartTimeMs + 10'000);
  }
  ServerLinksFixture worker_side("Ready");
  worker_side.start("q");
  Peer link = worker_side.worker.accept();
  link.read_message();
  link.write(started);
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  worker_side.clock.set(kStartTimeMs + 5'000);
  link.write(done_response("q", "ok").substr(started.find("\r\n\r\n") + 4));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
}

// Payouts: a query whose link breaks before its last byte never ran and can go elsewhere; and a kept link
// that was stale says nothing about its worker.
TEST_CASE("a query whose link breaks before its last byte has not run, and its link is replaced once") {
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  const auto accept_partial = [&] { return worker_side.accept_partial_query(); };
  const auto complete_query = [&](Peer& link, const std::string& id) {
    ServerLinksFixture::send_continue(link);  // the last byte is no longer held back
    CHECK(link.read_message().ends_with("\r\n\r\npay"));
    link.write(done_response(id, "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
    CHECK(worker_side.next_status() == Status::ok);
  };
  worker_side.start("q");
  accept_partial();
  accept_partial();
  CHECK(worker_side.next_status() == Status::connect_failed);
  worker_side.start("r");
  std::optional<Peer> kept = accept_partial();
  complete_query(*kept, "r");
  worker_side.start("s");
  REQUIRE(kept->read_some());
  kept.reset();
  Peer new_link = accept_partial();
  complete_query(new_link, "s");
}

// Payouts of a client that has disconnected: a query that waits for a thread or for its last byte would run
// for nobody. One that has begun continues, and its link is kept.
TEST_CASE("a withdrawn execution never gets its last byte, and that is not held against the worker") {
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  worker_side.start("q");
  Peer link = worker_side.accept_partial_query();
  worker_side.servers.withdraw({"other", 0});
  worker_side.servers.withdraw({"q", 0});
  CHECK(worker_side.next_status() == Status::not_started);
  ServerLinksFixture::check_never_completed(link);
  worker_side.start("r");
  Peer running = worker_side.accept_partial_query();
  ServerLinksFixture::send_continue(running);
  CHECK(running.read_message().ends_with("pay"));
  worker_side.servers.withdraw({"r", 0});
  running.write(done_response("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
  worker_side.start("s");
  CHECK(running.read_some());

  std::promise<void> gate;
  const std::shared_future<void> open = gate.get_future().share();
  ServerLinksFixture gated("Ready", 8, 1, [&](const std::string& name, std::function<void()> body) {
    return park::Thread(name, [open, body = std::move(body)] {
      open.wait();
      body();
    });
  });
  gated.start("q");
  gated.servers.withdraw({"q", 0});
  gate.set_value();
  CHECK(gated.next_status() == Status::not_started);
  pollfd listener{gated.worker.socket.fd(), POLLIN, 0};
  CHECK(::poll(&listener, 1, 0) == 0);  // not even a connection attempt
}

// The same from end to end: client link, decision loop, server link.
TEST_CASE("a query whose client disconnects before its last byte is sent never runs") {
  struct NoSibling : core::SiblingProcess {
    void send(const core::SiblingMessage&) override {}
    bool has_no_sibling() const override { return true; }
  } no_sibling;
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  ClientLinksFixture client_side(8);
  const core::Config config = core::read_config(
      config_json({endpoint_json("w", worker_side.worker.dial())}, worker_side.discovery.dial()));
  core::DecisionLoop loop(config.settings, config.class_names, 1, worker_side.clock, worker_side.inbox,
                          worker_side.servers, worker_side.endpoint_list, no_sibling);
  const auto pass_on = [&](core::Message message) {
    worker_side.inbox.push(std::move(message));
    loop.step();
  };
  pass_on(core::ListUpdateReceived{{ListKind::remembered, {{.worker = "w"}}, core::to_micros(kStartTimeMs)}});
  for (const bool half_close : {true, false}) {
    CAPTURE(half_close);
    const std::string id = half_close ? "half" : "whole";
    std::optional<Peer> client = Peer::to(client_side.port);
    client->write(query_text(id, "refund-payout"));
    pass_on(client_side.next_message<core::QueryReceived>());
    Peer link = worker_side.accept_partial_query();
    half_close ? client->socket.shut_down(SHUT_WR) : client.reset();
    pass_on(client_side.next_message<core::ClientDisconnected>());
    ServerLinksFixture::check_never_completed(link);
    const auto ended = std::get<core::ExecutionEnded>(worker_side.next_message());
    CHECK(ended.status == Status::not_started);
    pass_on(ended);
  }
}

// Window and deadline are checked when it counts, at the last byte: the settling time may have used them up.
TEST_CASE("an execution that may no longer begin when its last byte is due never begins") {
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  for (const auto& [time_left_ms, window] :
       {std::pair{20'000.0, core::Execution::kNoTimeLimit}, {60'000.0, 20'000.0}}) {
    worker_side.clock.set(kStartTimeMs);
    worker_side.start("q", time_left_ms,
                      window < core::Execution::kNoTimeLimit ? kStartTimeMs + window : window);
    Peer link = worker_side.accept_partial_query();
    worker_side.clock.set(kStartTimeMs + 20'001);
    ServerLinksFixture::send_continue(link);
    CHECK(worker_side.next_status() == Status::not_started);
    ServerLinksFixture::check_never_completed(link);
  }
}

// Protocol rule: an attempt tells its worker at most the time that is left to the client, with 0.15 s of
// slack. That counts when the attempt begins, with its last byte.
TEST_CASE("an attempt whose X-Budget exceeds the time left at its last byte never begins") {
  constexpr double kTimeLeftMs = 60'000, kPassedMs = 20'000;
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  worker_side.start("q", kTimeLeftMs);
  Peer link = worker_side.accept_partial_query();
  worker_side.clock.set(kStartTimeMs + kPassedMs);
  ServerLinksFixture::send_continue(link);
  CHECK(worker_side.next_status() == Status::not_started);
  ServerLinksFixture::check_never_completed(link);
}

// A payout on a kept link whose worker answers the query before it twice, some ms late.
TEST_CASE("bytes that arrive on a kept link before the query is complete are not taken for its answer") {
  ServerLinksFixture worker_side("Ready", 8, 10'000);
  worker_side.start("q");
  Peer kept = worker_side.accept_partial_query();
  ServerLinksFixture::send_continue(kept);
  CHECK(kept.read_message().ends_with("pay"));
  kept.write(done_response("q", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
  worker_side.start("r");
  REQUIRE(kept.read_some());
  kept.write(done_response("q", "ok"));
  Peer new_link = worker_side.accept_partial_query();
  ServerLinksFixture::check_never_completed(kept);
  ServerLinksFixture::send_continue(new_link);
  CHECK(new_link.read_message().ends_with("pay"));
  new_link.write(done_response("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
}

// Idle links ---------------------------------------------------------------------------------------------

// Payouts: what a worker writes or does on an idle link must not affect the next query there.
TEST_CASE("an idle server link that the worker closes, or writes to, is dropped before it is needed") {
  ServerLinksFixture worker_side("Ready");
  std::optional<Peer> closes = worker_side.kept_link();
  closes.reset();
  // Detected without an execution: the link's place is free.
  const core::Clock real;
  for (const double deadline = real.now() + 10'000; worker_side.event_loop.registration_count() > 1;)
    REQUIRE(real.now() < deadline);
  Peer speaks = worker_side.kept_link();
  speaks.write("HTTP/1.1 408 Idle\r\nContent-Length: 0\r\n\r\n");
  CHECK(speaks.is_closed());
  worker_side.start("r");
  CHECK(worker_side.worker.accept().read_message().ends_with("pay"));
}

// Load reports arrive with the end of an execution: in its last line, or in the head of a rejection.
TEST_CASE("a worker's load report is passed on with the end of the execution that carried it") {
  ServerLinksFixture worker_side("Ready");
  worker_side.start("q");
  Peer link = worker_side.worker.accept();
  link.read_message();
  link.write(chunked_response({event_line(
                 "q", "done", R"(,"load":{"x0":1.5,"active":3,"deep":{"x0":9},"word":"x"},"result":"ok")")}) +
             "0\r\n\r\n");
  const auto ended = std::get<core::ExecutionEnded>(worker_side.next_message());
  CHECK(ended.result == "ok");
  CHECK(ended.load_report == "x0=1.5,active=3");
  worker_side.start("r");
  link.read_message();
  link.write("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nX-Load-Report: x0=0,rps=9\r\nContent-Length: 0\r\n\r\n");
  const auto full = std::get<core::ExecutionEnded>(worker_side.next_message());
  CHECK(full.status == Status::full);
  CHECK(full.load_report == "x0=0,rps=9");
}

// The client's time: the end of a body may arrive later than the result.
TEST_CASE("a result is reported before the end of its body, and the link is reused once the body has ended") {
  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.link_with_unfinished_body();
  worker_side.start("r");  // until then the link is not used by another execution
  Peer second = worker_side.worker.accept();
  CHECK(second.read_message().ends_with("pay"));
  link.write("0\r\n\r\n");
  second.write(done_response("r", "ok"));
  CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
  CHECK(worker_side.next_status() == Status::ok);
  // Both links are kept: two executions at the same time need no third link.
  worker_side.start("s");
  worker_side.start("t");
  CHECK(link.read_message().ends_with("pay"));
  CHECK(second.read_message().ends_with("pay"));
}

TEST_CASE("a response whose body does not end closes its link, but the result counts") {
  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.link_with_unfinished_body();
  worker_side.clock.set(kStartTimeMs + 300);
  CHECK(link.is_closed());
}

// Each execution must end exactly once, even when the idle time of its link ends at that moment.
TEST_CASE("an execution on a link whose idle time ends at that moment runs on it or on another link") {
  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.kept_link();
  double now = kStartTimeMs;
  for (int round = 0; round < 50; ++round) {
    const std::string id = "r" + std::to_string(round);
    worker_side.clock.set(now += 60'000);
    if (round % 2 == 0) std::this_thread::yield();
    worker_side.start(id);
    // Over the kept link, or that one is closed and a new one is connected.
    link.received.clear();
    if (!link.read_some()) link = worker_side.worker.accept();
    while (!link.received.ends_with("pay")) REQUIRE(link.read_some());
    link.received.clear();
    link.write(done_response(id, "ok"));
    CHECK(std::holds_alternative<core::ExecutionStarted>(worker_side.next_message()));
    CHECK(worker_side.next_status() == Status::ok);
  }
}

// The rules on drains and exclusions for links that are already open.
TEST_CASE("an idle link gets no byte once its worker drains or is excluded") {
  ServerLinksFixture worker_side("Ready");
  Peer link = worker_side.kept_link();
  worker_side.servers.set_excluded("w", true);
  worker_side.start("r");
  CHECK(worker_side.next_status() == Status::not_started);
  CHECK(link.is_closed());
  worker_side.servers.set_excluded("w", false);
  Peer again = worker_side.kept_link();
  worker_side.endpoint_list.start_watch();
  Peer watch = worker_side.discovery.accept();
  watch.read_message();
  const nlohmann::json host = endpoint_json("w", worker_side.worker.dial(), "Terminating");
  watch.write(chunked_response({nlohmann::json{{"seq", 2}, {"whole", false}, {"hosts", {host}}}.dump()}));
  CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::changes);
  worker_side.start("s");
  CHECK(worker_side.next_status() == Status::not_started);
  CHECK(again.is_closed());
}

// Responses of any size to clients that read slowly: the remainder is sent as the socket becomes writable.
TEST_CASE("a response that its client reads slowly is sent completely, and the link stays in use") {
  ClientLinksFixture client_side(8);
  const Address address("127.0.0.1:" + std::to_string(client_side.port));
  Peer client(Socket::create(address));
  const int receive_buffer_bytes = 2'048;
  ::setsockopt(client.socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  REQUIRE(client.socket.connect(address, 5'000));
  client.write(query_text("q", "refund-payout"));
  const std::string body(8'000'000, 'r');
  client_side.next_message<core::QueryReceived>().reply_callback->on_answer({core::AnswerKind::served, body});
  client_side.await_count(ConnectionState::busy, 1);
  CHECK(client_side.links->count(ConnectionState::idle) == 0);  // it is still being sent
  CHECK(client.read_message().ends_with("\r\n\r\n" + body));
  client_side.await_count(ConnectionState::idle, 1);
  client.write(query_text("r", "refund-payout"));
  std::optional<Peer> leaves(std::move(client));
  client_side.next_message<core::QueryReceived>().reply_callback->on_answer({core::AnswerKind::served, body});
  leaves.reset();  // while the response is being sent
  client_side.await_count(ConnectionState::busy, 0);
  CHECK(client_side.links->open_count() == 0);
}

// Bytes that arrive at the moment of a close: closing a socket with unread bytes resets the connection, and
// the part of the response that the client has not read is lost.
TEST_CASE("a response arrives completely whatever its client sends while the link is being closed") {
  ClientLinksFixture client_side(8);
  const Address address("127.0.0.1:" + std::to_string(client_side.port));
  const std::string body(200'000, 'r');
  // Closed by the response itself, or as an idle link, while most of the response is in transit.
  for (const bool by_answer : {true, false}) {
    CAPTURE(by_answer);
    std::optional<Peer> client(Socket::create(address));
    const int receive_buffer_bytes = 2'048;
    ::setsockopt(client->socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof receive_buffer_bytes);
    REQUIRE(client->socket.connect(address, 5'000));
    std::string query = query_text(by_answer ? "a" : "b", "refund-payout");
    if (by_answer) query.insert(query.find("X-Budget"), "Connection: close\r\n");
    client->write(query);
    client_side.next_message<core::QueryReceived>().reply_callback->on_answer(
        {core::AnswerKind::served, body});
    while (client_side.links->count(ConnectionState::busy) > 0) REQUIRE(client->read_some());
    if (!by_answer) client_side.links->stop_accepting();
    client_side.await_count(ConnectionState::lingering, 1);
    client->write(query_text("c", "refund-payout"));
    CHECK(client->read_message().ends_with(body));
    CHECK(client->is_closed());
    CHECK(client_side.links->open_count() == 1);
    client.reset();
    client_side.await_count(ConnectionState::lingering, 0);
    CHECK(client_side.links->open_count() == 0);
    CHECK(
        client_side.inbox.take_all().empty());  // the last query was discarded, and its client may repeat it
  }
}

// New clients and descriptors must not suffer from clients that do not close after their response.
TEST_CASE("a lingering link is evicted at the limit, and ends by itself after a bounded time") {
  ClientLinksFixture client_side(2);
  Peer first = Peer::to(client_side.port), second = Peer::to(client_side.port);
  for (Peer* peer : {&first, &second}) {
    peer->write("GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(peer->read_message().ends_with("ready\n"));
  }
  client_side.await_count(ConnectionState::lingering, 2);
  Peer third = client_side.connect_and_check();
  CHECK(client_side.links->count(ConnectionState::lingering) == 1);
  client_side.clock.set(kStartTimeMs + 500);
  client_side.await_count(ConnectionState::lingering, 0);
  CHECK(client_side.links->count(ConnectionState::idle_no_query) == 1);
}

// A client that sends as fast as it is read must not starve the others: one thread serves all of them.
TEST_CASE("a link that floods is read one turn at a time, and is rejected when its time is over") {
  core::Clock clock;
  BufferPool pool(4);
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  Socket here{Fd(ends[0])}, there{Fd(ends[1])};
  const int send_buffer_bytes = 1'000'000;
  ::setsockopt(there.fd(), SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
  const std::string lines = "HTTP/1.1 200 OK\r\n\r\n" + std::string(12 * kBufferBytes, '\n');
  REQUIRE(there.send_available({lines}) == lines.size());
  BufferedInput input(here, clock, pool);
  IoResult result = IoResult::done;
  input.consume(input.read_head(BufferedInput::kNoWait, result).value());
  LineReader reader(input, {Framing::Kind::until_close, 0, true});
  std::string line;
  std::size_t lines_read = 0;
  while (reader.next(line, BufferedInput::kNoWait) == LineReader::Result::line) lines_read += 1;
  CHECK(input.starved());
  CHECK(lines_read < 9 * kBufferBytes);
  CHECK(reader.next(line, BufferedInput::kNoWait) ==
        LineReader::Result::timed_out);  // the turn is over, even if called again
  CHECK_FALSE(reader.discard_all(BufferedInput::kNoWait));
  CHECK(input.starved());
  input.begin_turn();
  while (reader.next(line, BufferedInput::kNoWait) == LineReader::Result::line) lines_read += 1;
  CHECK_FALSE(input.starved());
  CHECK(lines_read == 12 * kBufferBytes);

  ClientLinksFixture client_side(16);
  std::atomic<bool> stopping{false};
  std::vector<std::thread> flood;
  std::atomic<int> closed_floods{0};
  for (int i = 0; i < 6; ++i)
    flood.emplace_back([&] {
      Peer peer = Peer::to(client_side.port);
      peer.write("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
      std::string trailers;
      while (trailers.size() < 200'000) trailers += "x: y\r\n";
      while (!stopping && ::send(peer.socket.fd(), trailers.data(), trailers.size(), MSG_NOSIGNAL) > 0) {
      }
      closed_floods += 1;
    });
  client_side.await_count(ConnectionState::reading, 6);
  for (int i = 0; i < 20; ++i)
    ClientLinksFixture::check_health(*std::make_unique<Peer>(Peer::to(client_side.port)));
  client_side.clock.set(kStartTimeMs + 10'000);
  client_side.await_count(ConnectionState::reading, 0);
  client_side.clock.set(kStartTimeMs + 11'000);
  client_side.await_count(ConnectionState::lingering, 0);
  stopping = true;
  for (std::thread& thread : flood) thread.join();
  CHECK(closed_floods == 6);
}

// New clients at the limit of links: no timer checks again for a free place.
TEST_CASE("new connections wait while all links are busy, and the first link to become idle is evicted") {
  ClientLinksFixture client_side(1);
  Peer first = Peer::to(client_side.port), second = Peer::to(client_side.port);
  first.write(query_text("a", "refund-payout"));
  auto asker = client_side.next_message<core::QueryReceived>().reply_callback;
  second.write("GET /health/live HTTP/1.1\r\n\r\n");
  std::exchange(asker, nullptr)->on_answer({core::AnswerKind::served, "one"});
  CHECK(first.read_message().ends_with("one"));
  CHECK(second.read_message().ends_with("ready\n"));
  CHECK(first.is_closed());
  Peer third = Peer::to(client_side.port);
  third.write("GET /health/live HTTP/1.1\r\n\r\n");
  CHECK(third.read_message().ends_with("ready\n"));
}

// A planned end, and the destruction of a frontend, while links are being accepted and read.
TEST_CASE("destroying the client links closes all of them at once, whatever arrives at that moment") {
  for (int round = 0; round < 40; ++round) {
    std::optional<ClientLinksFixture> client_side(std::in_place, 16);
    std::vector<Peer> peers;
    for (int i = 0; i < 12; ++i) {
      peers.push_back(Peer::to(client_side->port));
      peers.back().write("GET /health/live HTTP/1.1\r\n\r\n" + query_text("q" + std::to_string(i), "x"));
    }
    client_side->links.reset();
    CHECK(client_side->event_loop.registration_count() == 0);
    for (Peer& peer : peers) peer.socket.shut_down();
  }
}

// Clients that send their next query before they have read the last response.
TEST_CASE("a query behind one being processed is taken once that one is answered") {
  ClientLinksFixture client_side(8);
  Peer client = Peer::to(client_side.port);
  client.write(query_text("a", "refund-payout"));
  const auto first = client_side.next_message<core::QueryReceived>();
  client.write(query_text("b", "refund-payout") + "GET /health/live HTTP/1.1\r\n\r\n");
  first.reply_callback->on_answer({core::AnswerKind::served, "one"});
  CHECK(client.read_message().ends_with("one"));
  const auto second = client_side.next_message<core::QueryReceived>();
  CHECK(second.query.id == "b");
  second.reply_callback->on_answer({core::AnswerKind::served, "two"});
  CHECK(client.read_message().ends_with("two"));
  CHECK(client.read_message().ends_with("ready\n"));
}

// A failed watch must be reported to the module, or drains go unnoticed. A watch that falls silent is
// reopened without the module: tests/lists_test.cpp.
TEST_CASE("a watch that is malformed, refused or ended is reported as failed") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fine = chunked_response({R"({"seq":2,"whole":false,"hosts":[]})", ""});
  struct Case {
    std::string answer;
    bool opens, stays_open;
  };
  const Case cases[] = {{chunked_response({"}"}), false, true},
                        {chunked_response({"nonsense"}), false, true},
                        {chunked_response({R"([{"seq":2}])"}), false, true},
                        {chunked_response({R"({"seq":2,"whole":true,"hosts":[{"host":"w"}]})"}), false, true},
                        {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", false, true},
                        {"", false, false},
                        {fine, true, false},
                        {fine + "0\r\n\r\n", true, true}};
  for (const Case& test_case : cases) {
    ServerLinksFixture worker_side("Ready");
    worker_side.endpoint_list.start_watch();
    std::optional<Peer> link = worker_side.discovery.accept();
    CHECK(starts_with(link->read_message(), "GET /registry/instances?follow=1&since=1 HTTP/1.1\r\n"));
    if (!test_case.answer.empty()) link->write(test_case.answer);
    if (test_case.opens)
      CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::changes);
    if (!test_case.stays_open) link.reset();
    CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message(ServerLinksFixture::kSilenceMs))
              .update.kind == ListKind::failed);
    // A new watch continues from the newest list.
    worker_side.endpoint_list.start_watch();
    CHECK(contains(worker_side.discovery.accept().read_message(), test_case.opens ? "since=2 " : "since=1 "));
  }
}

// During the module's backoff, or after a reported failure, drains would go unnoticed for seconds.
TEST_CASE("at a new address of service discovery the watch is opened at once, and no failure is reported") {
  ServerLinksFixture worker_side("Ready");
  worker_side.endpoint_list.start_watch();
  Peer old = worker_side.discovery.accept();
  old.read_message();
  ListeningPort second, third;
  worker_side.endpoint_list.set_discovery_address(second.dial());
  CHECK(old.is_closed());
  Peer link = second.accept();
  CHECK(contains(link.read_message(), "since=1 "));
  CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::interrupted);
  CHECK_THROWS_AS(worker_side.endpoint_list.set_discovery_address("nowhere"), std::invalid_argument);
  worker_side.endpoint_list.set_discovery_address(second.dial());  // the same address: the watch stays open
  link.write(chunked_response({R"({"seq":2,"whole":false,"hosts":[]})"}));
  CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::changes);
  // Also if the last watch has failed and the module is still backing off.
  link.socket.shut_down();
  CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::failed);
  worker_side.endpoint_list.set_discovery_address(third.dial());
  CHECK(contains(third.accept().read_message(), "since=2 "));
  CHECK(std::get<core::ListUpdateReceived>(worker_side.next_message()).update.kind == ListKind::interrupted);
}

// SIGTERM must not lose queries that are being processed, links that are still connecting, and what clients
// send on their open links while there is time.
TEST_CASE(
    "at a planned end every accepted query is answered, and open links are served as long as possible") {
  ListeningPort worker, discovery;
  core::Clock clock;
  clock.set(kStartTimeMs);
  Node node(
      core::read_config(config_json(EndpointEntries{endpoint_json("w", worker.dial())}, discovery.dial())),
      clock);
  const Peer watch = confirm_list(discovery, node);
  Peer early = Peer::to(node.port()), idle = Peer::to(node.port());
  early.write(query_text("a1", "refund-payout"));
  Peer first = worker.accept();
  first.read_message();
  std::atomic<bool> ended{false};
  std::thread end([&] {
    node.shut_down();
    ended = true;
  });
  const std::string ask = "GET /health/ready HTTP/1.1\r\n\r\n";
  do idle.write(ask);
  while (starts_with(idle.read_message(), "HTTP/1.1 200 "));
  clock.set(kStartTimeMs + 2'500);
  Peer late = Peer::to(node.port());
  std::optional<Peer> second;
  for (const std::string id : {"a2", "a3"}) {
    late.write(query_text(id, "refund-payout"));
    if (!second) second = worker.accept();
    second->read_message();
    second->write(done_response(id, "two"));
    const std::string answer = late.read_message();
    CHECK(answer.ends_with("\r\n\r\ntwo"));
    CHECK_FALSE(contains(answer, "Connection: close"));
  }
  clock.set(kStartTimeMs + 2'600);
  CHECK(idle.is_closed());
  CHECK(late.is_closed());
  first.write(done_response("a1", "one"));
  CHECK(early.read_message().ends_with("\r\n\r\none"));
  CHECK(early.is_closed());
  while (!ended) clock.set(clock.now() + 1);
  end.join();
}

// Deployments whose deadlines are all short: if not-ready were announced for longer than the deadlines last,
// every query would be refused from SIGTERM on.
TEST_CASE(
    "at a planned end queries that can still be answered in time are accepted, however short the deadlines") {
  ListeningPort worker, discovery;
  core::Clock clock;
  clock.set(kStartTimeMs);
  nlohmann::json config = config_json(EndpointEntries{endpoint_json("w", worker.dial())}, discovery.dial());
  for (nlohmann::json& kind : config["settings"]["Categories"]) kind["DeadlineUs"] = 300'000;
  Node node(core::read_config(config), clock);
  const Peer watch = confirm_list(discovery, node);
  std::atomic<bool> ended{false};
  std::thread end([&] {
    node.shut_down();
    ended = true;
  });
  Peer client = Peer::to(node.port());
  const std::string ask = "GET /health/ready HTTP/1.1\r\n\r\n";
  do client.write(ask);
  while (starts_with(client.read_message(), "HTTP/1.1 200 "));
  clock.set(kStartTimeMs + 290);
  std::string query = query_text("a1", "refund-payout");
  client.write(query.replace(query.find("5000m"), 5, "300m"));
  Peer link = worker.accept();
  link.read_message();
  clock.set(kStartTimeMs + 560);
  link.write(done_response("a1", "one"));
  CHECK(client.read_message().ends_with("\r\n\r\none"));
  while (!ended) clock.set(clock.now() + 1);
  end.join();
}

}  // namespace
}  // namespace woadtide::net
