// Durable jobs end to end, in one process: a node with its store, a stand-in worker and discovery, over
// loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "cli/jobs_commands.hpp"
#include "config/operator_file.hpp"
#include "jobs/installation.hpp"
#include "lab/discovery.hpp"
#include "lab/fault_vfs.hpp"
#include "lab/history.hpp"
#include "lab/worker.hpp"
#include "log/structured.hpp"
#include "node_harness.hpp"

namespace woadtide {
namespace {

using lab::Begun;
using lab::Plan;

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

struct Folder {
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "woadtide-jobs-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    path = name;
    lab::install_fault_vfs();
    lab::set_fault(lab::Fault::none, 0);
  }
  ~Folder() {
    lab::set_fault(lab::Fault::none, 0);
    std::filesystem::remove_all(path);
  }
  std::string path;
};

struct Bench {
  Folder folder;
  lab::Discovery discovery;
  std::unique_ptr<lab::Worker> worker;
  config::JobsPart part;
  core::Clock clock;

  explicit Bench(
      lab::Worker::Planner planner = [](const Begun&) { return Plan{}; }, bool answers = false) {
    worker = std::make_unique<lab::Worker>(0, folder.path + "/ledger", answers, std::move(planner));
    discovery.set("w", worker->dial());
    part.enabled = true;
    part.listen = part.operators = "127.0.0.1:0";
    part.folder = folder.path + "/store";
    part.lease_ms = 400;
    part.ask_every_ms = 20;
    if (answers) part.answering = {"lab"};
  }
};

// A dispatcher of a bench; its end is a planned one as far as the store goes.
struct Dispatcher {
  explicit Dispatcher(Bench& bench, bool wait = true) {
    config = core::read_config(config_json({}, bench.discovery.dial()));
    config.known = core::read_host_list(nlohmann::json::parse(bench.discovery.list()));
    node.emplace(config, bench.clock, [&](const Parts& parts) {
      auto made = std::make_unique<jobs::Installation>(bench.part, parts);
      installation = made.get();
      return made;
    });
    if (wait) serve();
  }
  void serve() {
    for (int i = 0; i < 500 && installation->port() == 0; ++i) ::usleep(10'000);
    REQUIRE(installation->port() != 0);
    await_ready(*node);
  }
  std::string ask(const std::string& text) {
    Peer peer = Peer::to(installation->port());
    peer.write(text);
    return peer.message();
  }
  static std::string put_text(const std::string& key, const std::string& kind, const std::string& body,
                              int budget_ms) {
    return "PUT /jobs/" + key + "?user=7 HTTP/1.1\r\nX-Call-Class: " + kind +
           "\r\nX-Budget: " + std::to_string(budget_ms) +
           "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string put(const std::string& key, const std::string& kind = "refund-payout",
                  const std::string& body = "pay", int budget_ms = 3'000) {
    return ask(put_text(key, kind, body, budget_ms));
  }
  std::string get(const std::string& key, int wait_ms = 3'000) {
    return ask("GET /jobs/" + key + "?wait=" + std::to_string(wait_ms) + " HTTP/1.1\r\n\r\n");
  }
  std::string call(const std::string& method, const std::string& path, const std::string& body = "") {
    Peer peer = Peer::to(installation->operators_port());
    peer.write(method + ' ' + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
    return peer.message();
  }
  core::Config config;
  jobs::Installation* installation = nullptr;
  std::optional<Node> node;
};

TEST_CASE("a job is taken, runs with its lease, and its result is told by key as often as it is asked for") {
  std::string seen_key, seen_body, seen_lease;
  std::uint64_t seen_epoch = 0;
  Bench bench([&](const Begun& begun) {
    seen_key = begun.key;
    seen_epoch = begun.epoch;
    seen_body = begun.body;
    seen_lease = begun.lease;
    return Plan{20};
  });
  Dispatcher dispatcher(bench);
  CHECK(has(dispatcher.put("k1"), "HTTP/1.1 202 "));
  const std::string end = dispatcher.get("k1");
  CHECK(has(end, "HTTP/1.1 200 "));
  CHECK(has(end, "X-Job-State: finished\r\n"));
  CHECK(end.ends_with("done k1"));
  CHECK(dispatcher.get("k1") == end);
  CHECK(dispatcher.put("k1") == end);
  CHECK(has(dispatcher.put("k1", "refund-payout", "other"), "HTTP/1.1 409 "));
  CHECK(has(dispatcher.get("k2", 0), "HTTP/1.1 404 "));
  CHECK(seen_key == "k1");
  CHECK(seen_epoch == 1);
  CHECK(seen_body == "pay");
  CHECK(seen_lease == "400m");
  CHECK(bench.worker->executions() == 1);
}

TEST_CASE("what is no job is told so, and the link stays for the next call") {
  Bench bench;
  Dispatcher dispatcher(bench);
  CHECK(has(dispatcher.put("k", "no-such-class"), "HTTP/1.1 400 "));
  CHECK(has(dispatcher.ask("PUT /jobs/a%20b HTTP/1.1\r\nX-Call-Class: refund-payout\r\nX-Budget: 5m\r\n\r\n"),
            " 400 "));
  CHECK(has(dispatcher.ask("PUT /jobs/k HTTP/1.1\r\nX-Call-Class: refund-payout\r\n\r\n"), " 400 "));
  CHECK(has(dispatcher.ask("POST /jobs/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), " 405 "));
  CHECK(
      has(dispatcher.ask("GET /jobs HTTP/1.1\r\n\r\n"), " 404 "));  // the operators' call, at the wrong door
  CHECK(has(dispatcher.ask("PUT /jobs/k HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"), " 413 "));
  Peer peer = Peer::to(dispatcher.installation->port());
  for (int i = 0; i < 3; ++i) {
    peer.write("GET /jobs/none HTTP/1.1\r\n\r\n");
    CHECK(has(peer.message(), " 404 "));
  }
}

TEST_CASE("a full fleet refuses at once, without a record; what was taken is handed in again, or withdrawn") {
  std::atomic<bool> full = true;
  Bench bench([&](const Begun&) { return Plan{5, 0, full ? Plan::End::refuse : Plan::End::done}; });
  Dispatcher dispatcher(bench);
  // Its worker turned it away only after it had its lease.
  CHECK(has(dispatcher.put("k"), " 202 "));
  CHECK(has(dispatcher.put("gone"), " 202 "));
  CHECK(has(dispatcher.get("k", 100), "X-Job-State: taken\r\n"));
  CHECK(has(dispatcher.ask("DELETE /jobs/gone HTTP/1.1\r\n\r\n"), " 200 "));
  CHECK(has(dispatcher.get("gone"), "X-Job-State: refused\r\n"));
  full = false;
  CHECK(has(dispatcher.get("k"), " 200 "));
  CHECK(has(dispatcher.put("gone"), " 202 "));
  CHECK(has(dispatcher.get("gone"), " 200 "));
  bench.discovery.set("w", bench.worker->dial(), "Terminating");
  for (int i = 0; i < 200 && !has(dispatcher.put("x" + std::to_string(i)), " 503 "); ++i) ::usleep(10'000);
  const double asked = bench.clock.now();
  CHECK(has(dispatcher.put("drained"), " 503 "));
  CHECK(bench.clock.now() - asked < 500);
  CHECK(has(dispatcher.get("drained", 0), " 404 "));
  CHECK(bench.worker->executions() >= 2);
}

TEST_CASE("a job that ends while nobody runs here: recovery by class") {
  Bench bench([](const Begun&) { return Plan{300}; });
  {
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.put("once"), " 202 "));
    CHECK(has(dispatcher.put("safe", "receipt-check"), " 202 "));
    // Both are taken before they are sent: on a busy machine this process could end in between.
    while (bench.worker->executions() < 2) ::usleep(1'000);
  }
  Dispatcher next(bench);
  const std::string doubt = next.get("once");
  CHECK(has(doubt, " 502 "));
  CHECK(has(doubt, "X-Job-State: in-doubt\r\n"));
  const std::string safe = next.get("safe");
  CHECK(has(safe, " 200 "));
  CHECK(safe.ends_with("done safe"));
  CHECK(bench.worker->executions() == 3);  // the payout once, the safe one again
  SUBCASE("a person settles the one in doubt, and it stays so") {
    CHECK(has(next.call("GET", "/jobs"), "\"once\""));
    CHECK(has(next.call("POST", "/jobs/safe/settle?as=failed&who=ann", "no"), " 409 "));
    CHECK(has(next.call("POST", "/jobs/once/settle?as=failed&who=ann", ""), " 400 "));
    CHECK(has(next.call("POST", "/jobs/once/settle?as=finished&who=ann", "it is in the books"), " 200 "));
    CHECK(has(next.get("once"), "X-Job-State: finished\r\n"));
    CHECK(has(next.call("GET", "/jobs/once/record"), "settled by ann: it is in the books"));
    CHECK(has(next.call("POST", "/jobs/once/settle?as=failed&who=bob", "no"), " 409 "));
  }
}

TEST_CASE("a worker that answers is asked after a crash, and its word is the answer") {
  Bench bench([](const Begun&) { return Plan{200}; }, true);
  {
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.put("k", "refund-payout", "pay", 5'000), " 202 "));
    await([&] { return bench.worker->executions() == 1; });  // 202 comes before it is sent
  }
  Dispatcher next(bench);
  const std::string end = next.get("k");
  CHECK(has(end, " 200 "));
  CHECK(end.ends_with("done k"));
  CHECK(bench.worker->executions() == 1);
}

TEST_CASE(
    "heartbeats keep a lease; a stall that is longer than it makes a payout doubtful, a plain worker's for "
    "good") {
  const auto end_of = [](double run_ms, double heartbeat_ms, bool answers) {
    Bench bench([=](const Begun&) { return Plan{run_ms, heartbeat_ms}; }, answers);
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.put("k"), " 202 "));
    const std::string end = dispatcher.get("k");
    CHECK(bench.worker->executions() == 1);
    return end;
  };
  CHECK(has(end_of(900, 100, false), " 200 "));   // over two leases, with heartbeats
  CHECK(has(end_of(300, 0, false), " 200 "));     // a stall shorter than the lease
  CHECK(has(end_of(900, 0, false), "in-doubt"));  // a longer one
  CHECK(has(end_of(900, 0, true), " 200 "));      // asked, it still runs and then has finished
}

TEST_CASE("a worker that breaks off: a safe job goes on, a payout is in doubt") {
  int count = 0;
  Bench bench([&](const Begun&) { return Plan{10, 0, ++count == 1 ? Plan::End::cut : Plan::End::done}; });
  Dispatcher dispatcher(bench);
  SUBCASE("safe") {
    dispatcher.put("k", "receipt-check");
    CHECK(has(dispatcher.get("k"), " 200 "));
  }
  SUBCASE("payout") {
    dispatcher.put("k");
    CHECK(has(dispatcher.get("k"), "in-doubt"));
    CHECK(bench.worker->executions() == 1);
  }
}

TEST_CASE("a job that has begun cannot be withdrawn; its client may go and come back") {
  Bench bench([](const Begun&) { return Plan{200}; });
  Dispatcher dispatcher(bench);
  {
    Peer peer = Peer::to(dispatcher.installation->port());
    peer.write(Dispatcher::put_text("k", "refund-payout", "pay", 3'000));  // and gone
  }
  std::string end;
  for (int i = 0; i < 100 && !has(end = dispatcher.get("k"), " 200 "); ++i) ::usleep(5'000);
  CHECK(has(end, " 200 "));
  CHECK(has(dispatcher.ask("DELETE /jobs/k HTTP/1.1\r\n\r\n"), " 409 "));
  CHECK(has(dispatcher.ask("DELETE /jobs/none HTTP/1.1\r\n\r\n"), " 404 "));
}

TEST_CASE("an evacuation refuses new jobs at once, and tells what was taken") {
  Bench bench([](const Begun&) { return Plan{200}; });
  Dispatcher dispatcher(bench);
  CHECK(has(dispatcher.put("k"), " 202 "));
  const auto call = [&](const std::string& line) {
    Peer link = Peer::to(dispatcher.node->management_port());
    link.write(line);
    while (link.read_some()) {
    }
    return link.come;
  };
  CHECK(call("evacuate\n") == "done\n");
  CHECK(has(dispatcher.ask("GET /health/ready HTTP/1.1\r\n\r\n"), " 503 "));
  CHECK(has(dispatcher.put("late"), " 503 "));
  CHECK(has(dispatcher.put("k"), " 202 "));
  CHECK(has(dispatcher.get("k"), " 200 "));
  CHECK(call("activate\n") == "done\n");
  CHECK(has(dispatcher.put("late"), " 202 "));
}

TEST_CASE("a drain told while a job is leased: it ends there, and nothing new goes there") {
  Bench bench([](const Begun&) { return Plan{400, 50}; });
  bench.part.lease_ms = 3'000;  // the lease is not what this is about, and a busy machine is late
  Dispatcher dispatcher(bench);
  CHECK(has(dispatcher.put("k"), " 202 "));
  bench.discovery.set("w", bench.worker->dial(), "Terminating");
  ::usleep(300'000);
  CHECK(has(dispatcher.put("late"), " 503 "));
  CHECK(has(dispatcher.get("k"), " 200 "));
  CHECK(bench.worker->executions() == 1);
}

TEST_CASE("a payout in time has its end told before its client gives up, whatever the worker does") {
  Bench bench([](const Begun&) { return Plan{2'000, 50}; });
  Dispatcher dispatcher(bench);
  const double begun = bench.clock.now();
  dispatcher.put("k", "refund-payout", "pay", 600);
  const std::string end = dispatcher.get("k");
  CHECK(has(end, "in-doubt"));
  CHECK(bench.clock.now() - begun < 600);
}

TEST_CASE("the second process waits for the store, and has every job once the first lets go") {
  Bench bench([](const Begun&) { return Plan{5}; });
  std::optional<Dispatcher> first;
  first.emplace(bench);
  CHECK(has(first->put("k"), " 202 "));
  CHECK(has(first->get("k"), " 200 "));
  Dispatcher second(bench, false);
  ::usleep(300'000);
  CHECK(second.installation->port() == 0);
  // Plain HTTP goes on meanwhile.
  Peer plain = Peer::to(second.node->port());
  plain.write(query_text("q1", "receipt-check"));
  CHECK(has(plain.message(), " 200 "));
  first.reset();
  second.serve();
  CHECK(second.get("k").ends_with("done k"));
}

TEST_CASE("the store is full: new jobs are refused with a word, old ones go on") {
  Bench bench([](const Begun&) { return Plan{5, 0, Plan::End::done, std::string(60'000, 'r')}; });
  bench.part.most_mb = 1;
  bench.part.lease_ms = 3'000;  // of a worker that a busy machine holds up, a payout would be in doubt
  Dispatcher dispatcher(bench);
  std::string put;
  int taken = 0;
  for (; taken < 100; ++taken) {
    put = dispatcher.put("k" + std::to_string(taken));
    if (!has(put, " 202 ")) break;
    CHECK(has(dispatcher.get("k" + std::to_string(taken)), " 200 "));
    ::usleep(20'000);
  }
  // Only closed jobs were packed away: with results that do not shrink below the bound it would end sooner.
  if (taken < 100) CHECK(has(put, "the store is full"));
  CHECK(std::filesystem::file_size(bench.part.folder + "/jobs.db") < 3'000'000);
}

TEST_CASE("a store that fails at any write: nothing runs twice, plain HTTP goes on, jobs are served again") {
  for (const auto fault : {lab::Fault::fail, lab::Fault::full}) {
    for (int nth = 1; nth < 12; ++nth) {
      CAPTURE(nth);
      Bench bench([](const Begun&) { return Plan{30}; }, true);
      Dispatcher dispatcher(bench);
      dispatcher.put("warm");
      dispatcher.get("warm");  // the worker's ledger is known
      ::usleep(20'000);
      lab::set_fault(fault, nth);
      std::string end;
      const double give_up = bench.clock.now() + 6'000;
      for (bool put = false; bench.clock.now() < give_up;) {
        if (!put) put = !has(dispatcher.put("k", "refund-payout", "pay", 5'000), " 503 ");
        end = dispatcher.get("k", 1'000);
        if (has(end, " 404 ") || has(end, " 503 ")) put = false;
        if (has(end, " 200 ") || has(end, " 502 ")) break;
        ::usleep(50'000);
      }
      lab::set_fault(lab::Fault::none, 0);
      CHECK(has(end, " 200 "));
      CHECK(bench.worker->executions() == 2);
      Peer plain = Peer::to(dispatcher.node->port());
      plain.write(query_text("q1", "receipt-check"));
      CHECK(has(plain.message(), " 200 "));
    }
  }
}

TEST_CASE("a plain worker's result outlives a store that fails while it comes") {
  for (int nth = 1; nth < 6; ++nth) {
    CAPTURE(nth);
    Bench bench([](const Begun&) { return Plan{150}; });
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.put("k"), " 202 "));
    ::usleep(50'000);
    lab::set_fault(lab::Fault::fail, nth);
    std::string end;
    for (int i = 0; i < 100 && !has(end, " 200 ") && !has(end, " 502 "); ++i) {
      end = dispatcher.get("k", 1'000);
      ::usleep(20'000);
    }
    CHECK(has(end, " 200 "));
    CHECK(bench.worker->executions() == 1);
  }
}

// Without the store's newest stamp as the present, a job of yesterday's future would have all of a day to go
// out again.
TEST_CASE("the clock set back or forward between two starts: a job has no more time than it had") {
  Bench bench([](const Begun&) { return Plan{200}; });
  bench.clock.set(kNow);
  {
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.put("safe", "receipt-check"), " 202 "));
  }
  bench.discovery.set("w", bench.worker->dial(), "Terminating");
  const auto end_of = [](Dispatcher& dispatcher) {
    std::string end;
    for (int i = 0; i < 100 && !has(end, " 503 "); ++i) {
      end = dispatcher.get("safe", 0);
      ::usleep(10'000);
    }
    return end;
  };
  SUBCASE("back") {
    bench.clock.set(kNow - 86'400'000);
    Dispatcher dispatcher(bench);
    CHECK(has(dispatcher.get("safe", 0), "X-Job-State: taken\r\n"));
    bench.clock.set(kNow - 86'400'000 + 3'100);
    CHECK(has(end_of(dispatcher), "X-Job-State: refused\r\n"));
  }
  SUBCASE("forward") {
    bench.clock.set(kNow + 3'600'000);
    Dispatcher dispatcher(bench);
    CHECK(has(end_of(dispatcher), "X-Job-State: refused\r\n"));
  }
  CHECK(bench.worker->executions() == 1);
}

TEST_CASE("a file that is no store: jobs are not served, plain HTTP is, the file stays as it was") {
  Bench bench;
  std::filesystem::create_directories(bench.part.folder);
  const std::string path = bench.part.folder + "/jobs.db", text(5'000, 'x');
  std::ofstream(path) << text;
  Dispatcher dispatcher(bench, false);
  await_ready(*dispatcher.node);
  Peer plain = Peer::to(dispatcher.node->port());
  plain.write(query_text("q1", "receipt-check"));
  CHECK(has(plain.message(), " 200 "));
  ::usleep(400'000);
  CHECK(dispatcher.installation->port() == 0);
  std::ifstream file(path);
  CHECK(std::string(std::istreambuf_iterator<char>(file), {}) == text);
}

// Runs `work` with one standard stream in a file, and returns what came there.
std::string said_on(int stream, const std::string& folder, const std::function<void()>& work) {
  const std::string path = folder + "/said";
  std::cout.flush();
  const net::Fd kept(::dup(stream)), file(::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC, 0600));
  ::dup2(file.get(), stream);
  work();
  std::cout.flush();
  ::dup2(kept.get(), stream);
  std::ifstream read(path);
  return {std::istreambuf_iterator<char>(read), {}};
}

TEST_CASE(
    "the commands list, show and settle jobs of a running process, and check the store of one that ended") {
  Bench bench([](const Begun&) { return Plan{10, 0, Plan::End::cut}; });
  std::optional<Dispatcher> dispatcher;
  dispatcher.emplace(bench);
  CHECK(has(dispatcher->put("k"), " 202 "));
  CHECK(has(dispatcher->get("k"), "in-doubt"));
  config::JobsPart part = bench.part;
  part.operators = "127.0.0.1:" + std::to_string(dispatcher->installation->operators_port());
  const auto run = [&](const cli::Words& words) {
    int code = -1;
    const std::string said = said_on(1, bench.folder.path, [&] { code = cli::jobs_command(words, part); });
    return std::to_string(code) + ' ' + said;
  };
  const cli::Words list{{"list"}, "in-doubt", {}, {}, {}};
  const cli::Words settle{{"settle", "k"}, {}, "failed", "ann", "not in the books"};
  CHECK(run(list).starts_with("0 in-doubt\tk\trefund-payout\tepoch 1"));
  CHECK(run(settle) == "0 settled\n");
  CHECK(run(settle).starts_with("1 "));
  CHECK(run(list) == "0 ");
  CHECK(has(run({{"show", "k"}, {}, {}, {}, {}}), "settled by ann: not in the books"));
  CHECK_THROWS_AS(cli::jobs_command({{"settle", "k"}, {}, {}, {}, {}}, part), std::runtime_error);
  CHECK_THROWS_AS(cli::jobs_command({{"show", "a b"}, {}, {}, {}, {}}, part), std::runtime_error);
  CHECK_THROWS_AS(cli::store_command({{"check"}, {}, {}, {}, {}}, part), store::Failed);  // it is held
  dispatcher.reset();
  CHECK(has(said_on(1, bench.folder.path,
                    [&] {
                      cli::store_command({{"check"}, {}, {}, {}, {}}, part);
                    }),
            "good, 1 jobs"));
}

TEST_CASE("the log as JSON lines and as text; where nobody reads it, whoever logs goes on") {
  Folder folder;
  const std::string json = said_on(2, folder.path, [] {
    log::Structured log(true, 64);
    core::log_line("jobs: \"k\" is in doubt: a reason");
  });
  const auto line = nlohmann::json::parse(json);
  CHECK(line.at("part") == "jobs");
  CHECK(line.at("text") == "\"k\" is in doubt: a reason");
  CHECK(line.at("time").get<std::string>().ends_with("Z"));
  const std::string text = said_on(2, folder.path, [] {
    log::Structured log(false, 64);
    core::log_line("jobs: served");
  });
  CHECK(text.ends_with("Z jobs: served\n"));
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  const net::Fd reader(ends[0]), kept(::dup(2));
  net::Fd writer(ends[1]);
  ::dup2(writer.get(), 2);
  std::optional<log::Structured> log;
  log.emplace(true, 64);
  const core::Clock clock;
  const double begun = clock.now();
  for (int i = 0; i < 5'000; ++i) core::log_line("test: " + std::string(100, 'x'));
  const double took = clock.now() - begun;
  ::dup2(kept.get(), 2);
  std::string come;
  std::thread drain([&] {
    std::vector<char> some(65'536);
    for (ssize_t got = 0; (got = ::read(reader.get(), some.data(), some.size())) > 0;)
      come.append(some.data(), static_cast<std::size_t>(got));
  });
  log.reset();
  writer = net::Fd();
  drain.join();
  CHECK(took < 2'000);
  CHECK(std::count(come.begin(), come.end(), '\n') < 5'000);  // the oldest were dropped
}

TEST_CASE("the checker finds each planted fault") {
  using lab::Entry;
  using lab::Seen;
  const std::vector<Seen> good = {{"k", "asked", true, 0, "", ""}, {"k", "told", true, 200, "finished", "r"}};
  const std::vector<Entry> books = {{"k", "begun", 1, true, ""}, {"k", "finished", 1, true, "r"}};
  CHECK(lab::judge(good, books).good());
  std::vector<Entry> twice = books;
  twice.push_back({"k", "begun", 2, true, ""});
  CHECK(lab::judge(good, twice).twice == 1);
  std::vector<Seen> seen = good;
  seen.push_back({"k", "told", true, 502, "in-doubt", ""});
  CHECK(lab::judge(seen, books).changed == 1);
  CHECK(lab::judge(good, {}).contradictions == 1);
  CHECK(lab::judge({good[0], {"k", "told", true, 503, "refused", ""}}, books).contradictions == 1);
  CHECK(lab::judge({good[0], {"k", "told", true, 502, "failed", ""}}, books).contradictions == 1);
  CHECK(lab::judge({good[0], {"k", "gave-up", true, 0, "", ""}}, books).unanswered == 1);
}

TEST_CASE("the operator's file: a wrong key is named with file, line and what was expected") {
  Folder folder;
  const auto said = [&](const std::string& text) {
    const std::string path = folder.path + "/operator.toml";
    std::ofstream(path) << text;
    try {
      config::load_operator_file(path);
      return std::string("good");
    } catch (const std::runtime_error& wrong) {
      return std::string(wrong.what()).substr(folder.path.size());
    }
  };
  CHECK(said("") == "good");
  CHECK(said("[jobs]\nenabled = true\nfolder = \"x\"\n") == "good");
  CHECK(said("[jobs]\nenabled = true\n").starts_with("/operator.toml:1: jobs.folder: wanted"));
  CHECK(said("[jobs]\n\nlinks = 0\n").starts_with("/operator.toml:3: jobs.links: "));
  CHECK(said("[jobs]\nlinks = \"many\"\n").starts_with("/operator.toml:2: jobs.links: "));
  CHECK(said("[jobs]\nlisten = \"nowhere\"\n").starts_with("/operator.toml:2: jobs.listen: "));
  CHECK(said("[jobs]\nfolder = \"x\"\nlinkz = 3\n") == "/operator.toml:3: jobs.linkz: no such key");
  CHECK(said("[job]\n") == "/operator.toml:1: job: no such key");
  CHECK(said("[log]\nformat = \"xml\"\n").starts_with("/operator.toml:2: log.format: "));
  CHECK(said("[jobs\n").starts_with("/operator.toml:1: "));
}

}  // namespace
}  // namespace woadtide
