// Durable jobs end to end in one process: a node with its store, a simulated worker and a simulated discovery
// service, connected over loopback.
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

using lab::ExecutionPlan;
using lab::ExecutionRequest;

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct TempFolder {
  TempFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "woadtide-jobs-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    path = name;
    lab::install_fault_vfs();
    lab::set_fault(lab::StoreFault::none, 0);
  }
  ~TempFolder() {
    lab::set_fault(lab::StoreFault::none, 0);
    std::filesystem::remove_all(path);
  }
  std::string path;
};

// A worker, a discovery service and a folder for the store.
struct TestCluster {
  TempFolder folder;
  lab::TestDiscovery discovery;
  std::unique_ptr<lab::TestWorker> worker;
  config::JobsSettings jobs_config;
  core::Clock clock;

  explicit TestCluster(
      lab::TestWorker::Planner planner = [](const ExecutionRequest&) { return ExecutionPlan{}; },
      bool answers_inquiries = false) {
    worker =
        std::make_unique<lab::TestWorker>(0, folder.path + "/ledger", answers_inquiries, std::move(planner));
    discovery.set_worker("w", worker->address());
    jobs_config.enabled = true;
    jobs_config.listen = jobs_config.operators = "127.0.0.1:0";
    jobs_config.folder = folder.path + "/store";
    jobs_config.lease_ms = 400;
    jobs_config.ask_every_ms = 20;
    if (answers_inquiries) jobs_config.answering_kinds = {"lab"};
  }
};

// A dispatcher in a test cluster. Its destructor closes the store in the regular way.
struct Dispatcher {
  explicit Dispatcher(TestCluster& cluster, bool wait_until_serving = true) {
    config = core::read_config(config_json({}, cluster.discovery.address()));
    config.known_endpoints =
        core::parse_endpoint_list(nlohmann::json::parse(cluster.discovery.serialized_list()));
    node.emplace(config, cluster.clock, [&](const ExtensionContext& parts) {
      auto created = std::make_unique<jobs::JobsExtension>(cluster.jobs_config, parts);
      jobs_extension = created.get();
      return created;
    });
    if (wait_until_serving) wait_until_served();
  }
  void wait_until_served() {
    for (int i = 0; i < 500 && jobs_extension->port() == 0; ++i) ::usleep(10'000);
    REQUIRE(jobs_extension->port() != 0);
    await_ready(*node);
  }
  std::string send_request(const std::string& text) {
    Peer peer = Peer::to(jobs_extension->port());
    peer.write(text);
    return peer.read_message();
  }
  static std::string put_request(const std::string& key, const std::string& class_name,
                                 const std::string& body, int budget_ms) {
    return "PUT /jobs/" + key + "?user=7 HTTP/1.1\r\nX-Call-Class: " + class_name +
           "\r\nX-Budget: " + std::to_string(budget_ms) +
           "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string put(const std::string& key, const std::string& class_name = "refund-payout",
                  const std::string& body = "pay", int budget_ms = 3'000) {
    return send_request(put_request(key, class_name, body, budget_ms));
  }
  std::string get(const std::string& key, int wait_ms = 3'000) {
    return send_request("GET /jobs/" + key + "?wait=" + std::to_string(wait_ms) + " HTTP/1.1\r\n\r\n");
  }
  std::string call_operator(const std::string& method, const std::string& path,
                            const std::string& body = "") {
    Peer peer = Peer::to(jobs_extension->operator_port());
    peer.write(method + ' ' + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
    return peer.read_message();
  }
  core::Config config;
  jobs::JobsExtension* jobs_extension = nullptr;
  std::optional<Node> node;
};

TEST_CASE("a job is accepted, runs under its lease, and its result can be requested by key repeatedly") {
  std::string seen_key, seen_body, seen_lease;
  std::uint64_t seen_epoch = 0;
  TestCluster cluster([&](const ExecutionRequest& begun) {
    seen_key = begun.key;
    seen_epoch = begun.epoch;
    seen_body = begun.body;
    seen_lease = begun.lease;
    return ExecutionPlan{20};
  });
  Dispatcher dispatcher(cluster);
  CHECK(contains(dispatcher.put("k1"), "HTTP/1.1 202 "));
  const std::string reply = dispatcher.get("k1");
  CHECK(contains(reply, "HTTP/1.1 200 "));
  CHECK(contains(reply, "X-Job-State: finished\r\n"));
  CHECK(reply.ends_with("done k1"));
  CHECK(dispatcher.get("k1") == reply);
  CHECK(dispatcher.put("k1") == reply);
  CHECK(contains(dispatcher.put("k1", "refund-payout", "other"), "HTTP/1.1 409 "));
  CHECK(contains(dispatcher.get("k2", 0), "HTTP/1.1 404 "));
  CHECK(seen_key == "k1");
  CHECK(seen_epoch == 1);
  CHECK(seen_body == "pay");
  CHECK(seen_lease == "400m");
  CHECK(cluster.worker->execution_count() == 1);
}

TEST_CASE("invalid requests are rejected, and the link stays open for the next request") {
  TestCluster cluster;
  Dispatcher dispatcher(cluster);
  CHECK(contains(dispatcher.put("k", "no-such-class"), "HTTP/1.1 400 "));
  CHECK(contains(dispatcher.send_request(
                     "PUT /jobs/a%20b HTTP/1.1\r\nX-Call-Class: refund-payout\r\nX-Budget: 5m\r\n\r\n"),
                 " 400 "));
  CHECK(contains(dispatcher.send_request("PUT /jobs/k HTTP/1.1\r\nX-Call-Class: refund-payout\r\n\r\n"),
                 " 400 "));
  CHECK(contains(dispatcher.send_request("POST /jobs/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), " 405 "));
  // An operators' call at the clients' listener.
  CHECK(contains(dispatcher.send_request("GET /jobs HTTP/1.1\r\n\r\n"), " 404 "));
  CHECK(contains(dispatcher.send_request("PUT /jobs/k HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"), " 413 "));
  Peer peer = Peer::to(dispatcher.jobs_extension->port());
  for (int i = 0; i < 3; ++i) {
    peer.write("GET /jobs/none HTTP/1.1\r\n\r\n");
    CHECK(contains(peer.read_message(), " 404 "));
  }
}

TEST_CASE(
    "overload refuses new jobs at once without a record; accepted jobs are submitted again or can be "
    "withdrawn") {
  std::atomic<bool> full = true;
  TestCluster cluster([&](const ExecutionRequest&) {
    return ExecutionPlan{5, 0, full ? ExecutionPlan::Outcome::refuse : ExecutionPlan::Outcome::done};
  });
  Dispatcher dispatcher(cluster);
  // The worker refuses the job only after it has its lease.
  CHECK(contains(dispatcher.put("k"), " 202 "));
  CHECK(contains(dispatcher.put("gone"), " 202 "));
  CHECK(contains(dispatcher.get("k", 100), "X-Job-State: taken\r\n"));
  CHECK(contains(dispatcher.send_request("DELETE /jobs/gone HTTP/1.1\r\n\r\n"), " 200 "));
  CHECK(contains(dispatcher.get("gone"), "X-Job-State: refused\r\n"));
  full = false;
  CHECK(contains(dispatcher.get("k"), " 200 "));
  CHECK(contains(dispatcher.put("gone"), " 202 "));
  CHECK(contains(dispatcher.get("gone"), " 200 "));
  cluster.discovery.set_worker("w", cluster.worker->address(), "Terminating");
  for (int i = 0; i < 200 && !contains(dispatcher.put("x" + std::to_string(i)), " 503 "); ++i)
    ::usleep(10'000);
  const double asked_ms = cluster.clock.now();
  CHECK(contains(dispatcher.put("drained"), " 503 "));
  CHECK(cluster.clock.now() - asked_ms < 500);
  CHECK(contains(dispatcher.get("drained", 0), " 404 "));
  CHECK(cluster.worker->execution_count() >= 2);
}

TEST_CASE("a job that ends while no dispatcher runs is recovered according to its class") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{300}; });
  {
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.put("once"), " 202 "));
    CHECK(contains(dispatcher.put("safe", "receipt-check"), " 202 "));
    // A job is accepted before it is sent: on a busy machine this process could end in between.
    while (cluster.worker->execution_count() < 2) ::usleep(1'000);
  }
  Dispatcher next(cluster);
  const std::string payout_reply = next.get("once");
  CHECK(contains(payout_reply, " 502 "));
  CHECK(contains(payout_reply, "X-Job-State: in-doubt\r\n"));
  const std::string safe_reply = next.get("safe");
  CHECK(contains(safe_reply, " 200 "));
  CHECK(safe_reply.ends_with("done safe"));
  CHECK(cluster.worker->execution_count() == 3);  // the payout once, the idempotent job twice
  SUBCASE("an operator settles the job in doubt, and the decision is final") {
    CHECK(contains(next.call_operator("GET", "/jobs"), "\"once\""));
    CHECK(contains(next.call_operator("POST", "/jobs/safe/settle?as=failed&who=ann", "no"), " 409 "));
    CHECK(contains(next.call_operator("POST", "/jobs/once/settle?as=failed&who=ann", ""), " 400 "));
    CHECK(contains(next.call_operator("POST", "/jobs/once/settle?as=finished&who=ann", "it is in the books"),
                   " 200 "));
    CHECK(contains(next.get("once"), "X-Job-State: finished\r\n"));
    CHECK(contains(next.call_operator("GET", "/jobs/once/record"), "settled by ann: it is in the books"));
    CHECK(contains(next.call_operator("POST", "/jobs/once/settle?as=failed&who=bob", "no"), " 409 "));
  }
}

TEST_CASE("after a crash a worker that answers inquiries is asked, and its answer decides") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{200}; }, true);
  {
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.put("k", "refund-payout", "pay", 5'000), " 202 "));
    wait_until([&] { return cluster.worker->execution_count() == 1; });  // the 202 is sent before the job
  }
  Dispatcher next(cluster);
  const std::string reply = next.get("k");
  CHECK(contains(reply, " 200 "));
  CHECK(reply.ends_with("done k"));
  CHECK(cluster.worker->execution_count() == 1);
}

TEST_CASE(
    "heartbeats extend a lease; a stall beyond it puts a payout in doubt, for good if the worker answers no "
    "inquiries") {
  const auto final_reply = [](double run_ms, double heartbeat_ms, bool answers) {
    TestCluster cluster(
        [=](const ExecutionRequest&) {
          return ExecutionPlan{run_ms, heartbeat_ms};
        },
        answers);
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.put("k"), " 202 "));
    const std::string reply = dispatcher.get("k");
    CHECK(cluster.worker->execution_count() == 1);
    return reply;
  };
  CHECK(contains(final_reply(900, 100, false), " 200 "));   // longer than two leases, with heartbeats
  CHECK(contains(final_reply(300, 0, false), " 200 "));     // a stall shorter than the lease
  CHECK(contains(final_reply(900, 0, false), "in-doubt"));  // a longer stall
  // The worker answers that it is running, then that it has finished.
  CHECK(contains(final_reply(900, 0, true), " 200 "));
}

TEST_CASE("when a worker closes the connection, an idempotent job is run again and a payout is in doubt") {
  int count = 0;
  TestCluster cluster([&](const ExecutionRequest&) {
    return ExecutionPlan{10, 0, ++count == 1 ? ExecutionPlan::Outcome::cut : ExecutionPlan::Outcome::done};
  });
  Dispatcher dispatcher(cluster);
  SUBCASE("safe") {
    dispatcher.put("k", "receipt-check");
    CHECK(contains(dispatcher.get("k"), " 200 "));
  }
  SUBCASE("payout") {
    dispatcher.put("k");
    CHECK(contains(dispatcher.get("k"), "in-doubt"));
    CHECK(cluster.worker->execution_count() == 1);
  }
}

TEST_CASE("a started job cannot be withdrawn; its client may disconnect and return") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{200}; });
  Dispatcher dispatcher(cluster);
  {
    Peer peer = Peer::to(dispatcher.jobs_extension->port());
    peer.write(Dispatcher::put_request("k", "refund-payout", "pay", 3'000));  // and disconnects
  }
  std::string reply;
  for (int i = 0; i < 100 && !contains(reply = dispatcher.get("k"), " 200 "); ++i) ::usleep(5'000);
  CHECK(contains(reply, " 200 "));
  CHECK(contains(dispatcher.send_request("DELETE /jobs/k HTTP/1.1\r\n\r\n"), " 409 "));
  CHECK(contains(dispatcher.send_request("DELETE /jobs/none HTTP/1.1\r\n\r\n"), " 404 "));
}

TEST_CASE("an evacuated dispatcher refuses new jobs at once, and still reports accepted ones") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{200}; });
  Dispatcher dispatcher(cluster);
  CHECK(contains(dispatcher.put("k"), " 202 "));
  const auto run_command = [&](const std::string& line) {
    Peer link = Peer::to(dispatcher.node->management_port());
    link.write(line);
    while (link.read_some()) {
    }
    return link.received;
  };
  CHECK(run_command("evacuate\n") == "done\n");
  CHECK(contains(dispatcher.send_request("GET /health/ready HTTP/1.1\r\n\r\n"), " 503 "));
  CHECK(contains(dispatcher.put("late"), " 503 "));
  CHECK(contains(dispatcher.put("k"), " 202 "));
  CHECK(contains(dispatcher.get("k"), " 200 "));
  CHECK(run_command("activate\n") == "done\n");
  CHECK(contains(dispatcher.put("late"), " 202 "));
}

TEST_CASE("when a worker drains, a leased job ends there, and no new job is sent to it") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{400, 50}; });
  // Long enough not to expire on a busy machine: the lease is not tested here.
  cluster.jobs_config.lease_ms = 3'000;
  Dispatcher dispatcher(cluster);
  CHECK(contains(dispatcher.put("k"), " 202 "));
  cluster.discovery.set_worker("w", cluster.worker->address(), "Terminating");
  ::usleep(300'000);
  CHECK(contains(dispatcher.put("late"), " 503 "));
  CHECK(contains(dispatcher.get("k"), " 200 "));
  CHECK(cluster.worker->execution_count() == 1);
}

TEST_CASE("the final state of a payout is reported before its client gives up, whatever the worker does") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{2'000, 50}; });
  Dispatcher dispatcher(cluster);
  const double started_ms = cluster.clock.now();
  dispatcher.put("k", "refund-payout", "pay", 600);
  const std::string reply = dispatcher.get("k");
  CHECK(contains(reply, "in-doubt"));
  CHECK(cluster.clock.now() - started_ms < 600);
}

TEST_CASE("a second process waits for the store, and has all jobs once the first releases it") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{5}; });
  std::optional<Dispatcher> first;
  first.emplace(cluster);
  CHECK(contains(first->put("k"), " 202 "));
  CHECK(contains(first->get("k"), " 200 "));
  Dispatcher second(cluster, false);
  ::usleep(300'000);
  CHECK(second.jobs_extension->port() == 0);
  // Meanwhile plain HTTP is served.
  Peer plain = Peer::to(second.node->port());
  plain.write(query_text("q1", "receipt-check"));
  CHECK(contains(plain.read_message(), " 200 "));
  first.reset();
  second.wait_until_served();
  CHECK(second.get("k").ends_with("done k"));
}

TEST_CASE("a full store refuses new jobs with a reason, and earlier jobs go on") {
  TestCluster cluster([](const ExecutionRequest&) {
    return ExecutionPlan{5, 0, ExecutionPlan::Outcome::done, std::string(60'000, 'r')};
  });
  cluster.jobs_config.most_mb = 1;
  // With a short lease, a worker delayed by a busy machine would put a payout in doubt.
  cluster.jobs_config.lease_ms = 3'000;
  Dispatcher dispatcher(cluster);
  std::string put_reply;
  int accepted = 0;
  for (; accepted < 100; ++accepted) {
    put_reply = dispatcher.put("k" + std::to_string(accepted));
    if (!contains(put_reply, " 202 ")) break;
    CHECK(contains(dispatcher.get("k" + std::to_string(accepted)), " 200 "));
    ::usleep(20'000);
  }
  // All 100 fit if compression shrinks the results of closed jobs in time; results that do not shrink below
  // the limit would fill the store sooner.
  if (accepted < 100) CHECK(contains(put_reply, "the store is full"));
  CHECK(std::filesystem::file_size(cluster.jobs_config.folder + "/jobs.db") < 3'000'000);
}

TEST_CASE(
    "after a store failure at any write no job runs twice, plain HTTP goes on, and jobs are served again") {
  for (const auto fault : {lab::StoreFault::fail, lab::StoreFault::full}) {
    for (int nth = 1; nth < 12; ++nth) {
      CAPTURE(nth);
      TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{30}; }, true);
      Dispatcher dispatcher(cluster);
      dispatcher.put("warm");
      dispatcher.get("warm");  // makes the worker's ledger known
      ::usleep(20'000);
      lab::set_fault(fault, nth);
      std::string reply;
      const double give_up_ms = cluster.clock.now() + 6'000;
      for (bool accepted = false; cluster.clock.now() < give_up_ms;) {
        if (!accepted) accepted = !contains(dispatcher.put("k", "refund-payout", "pay", 5'000), " 503 ");
        reply = dispatcher.get("k", 1'000);
        if (contains(reply, " 404 ") || contains(reply, " 503 ")) accepted = false;
        if (contains(reply, " 200 ") || contains(reply, " 502 ")) break;
        ::usleep(50'000);
      }
      lab::set_fault(lab::StoreFault::none, 0);
      CHECK(contains(reply, " 200 "));
      CHECK(cluster.worker->execution_count() == 2);
      Peer plain = Peer::to(dispatcher.node->port());
      plain.write(query_text("q1", "receipt-check"));
      CHECK(contains(plain.read_message(), " 200 "));
    }
  }
}

TEST_CASE("the result of a worker that answers no inquiries survives a store failure on its arrival") {
  for (int nth = 1; nth < 6; ++nth) {
    CAPTURE(nth);
    TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{150}; });
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.put("k"), " 202 "));
    ::usleep(50'000);
    lab::set_fault(lab::StoreFault::fail, nth);
    std::string reply;
    for (int i = 0; i < 100 && !contains(reply, " 200 ") && !contains(reply, " 502 "); ++i) {
      reply = dispatcher.get("k", 1'000);
      ::usleep(20'000);
    }
    CHECK(contains(reply, " 200 "));
    CHECK(cluster.worker->execution_count() == 1);
  }
}

// If the newest timestamp in the store were not taken as the current time, a clock set back by a day would
// give a job a whole day to be run again.
TEST_CASE("a job has no more time than it had when the clock is set back or forward between two starts") {
  TestCluster cluster([](const ExecutionRequest&) { return ExecutionPlan{200}; });
  cluster.clock.set(kStartTimeMs);
  {
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.put("safe", "receipt-check"), " 202 "));
  }
  cluster.discovery.set_worker("w", cluster.worker->address(), "Terminating");
  const auto final_reply = [](Dispatcher& dispatcher) {
    std::string reply;
    for (int i = 0; i < 100 && !contains(reply, " 503 "); ++i) {
      reply = dispatcher.get("safe", 0);
      ::usleep(10'000);
    }
    return reply;
  };
  SUBCASE("back") {
    cluster.clock.set(kStartTimeMs - 86'400'000);
    Dispatcher dispatcher(cluster);
    CHECK(contains(dispatcher.get("safe", 0), "X-Job-State: taken\r\n"));
    cluster.clock.set(kStartTimeMs - 86'400'000 + 3'100);
    CHECK(contains(final_reply(dispatcher), "X-Job-State: refused\r\n"));
  }
  SUBCASE("forward") {
    cluster.clock.set(kStartTimeMs + 3'600'000);
    Dispatcher dispatcher(cluster);
    CHECK(contains(final_reply(dispatcher), "X-Job-State: refused\r\n"));
  }
  CHECK(cluster.worker->execution_count() == 1);
}

TEST_CASE("a file that is not a store is left unchanged; jobs are not served, plain HTTP is") {
  TestCluster cluster;
  std::filesystem::create_directories(cluster.jobs_config.folder);
  const std::string path = cluster.jobs_config.folder + "/jobs.db", text(5'000, 'x');
  std::ofstream(path) << text;
  Dispatcher dispatcher(cluster, false);
  await_ready(*dispatcher.node);
  Peer plain = Peer::to(dispatcher.node->port());
  plain.write(query_text("q1", "receipt-check"));
  CHECK(contains(plain.read_message(), " 200 "));
  ::usleep(400'000);
  CHECK(dispatcher.jobs_extension->port() == 0);
  std::ifstream file(path);
  CHECK(std::string(std::istreambuf_iterator<char>(file), {}) == text);
}

// Runs `work` with a standard stream redirected to a file, and returns what was written to it.
std::string capture_stream(int stream, const std::string& folder, const std::function<void()>& work) {
  const std::string path = folder + "/captured";
  std::cout.flush();
  const net::Fd saved_stream(::dup(stream)), file(::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC, 0600));
  ::dup2(file.get(), stream);
  work();
  std::cout.flush();
  ::dup2(saved_stream.get(), stream);
  std::ifstream read(path);
  return {std::istreambuf_iterator<char>(read), {}};
}

TEST_CASE(
    "the commands list, show and settle jobs of a running process, and check the store of a stopped one") {
  TestCluster cluster([](const ExecutionRequest&) {
    return ExecutionPlan{10, 0, ExecutionPlan::Outcome::cut};
  });
  std::optional<Dispatcher> dispatcher;
  dispatcher.emplace(cluster);
  CHECK(contains(dispatcher->put("k"), " 202 "));
  CHECK(contains(dispatcher->get("k"), "in-doubt"));
  config::JobsSettings jobs_config = cluster.jobs_config;
  jobs_config.operators = "127.0.0.1:" + std::to_string(dispatcher->jobs_extension->operator_port());
  const auto run = [&](const cli::JobArguments& words) {
    int code = -1;
    const std::string output =
        capture_stream(1, cluster.folder.path, [&] { code = cli::jobs_command(words, jobs_config); });
    return std::to_string(code) + ' ' + output;
  };
  const cli::JobArguments list{{"list"}, "in-doubt", {}, {}, {}};
  const cli::JobArguments settle{{"settle", "k"}, {}, "failed", "ann", "not in the books"};
  CHECK(run(list).starts_with("0 in-doubt\tk\trefund-payout\tepoch 1"));
  CHECK(run(settle) == "0 settled\n");
  CHECK(run(settle).starts_with("1 "));
  CHECK(run(list) == "0 ");
  CHECK(contains(run({{"show", "k"}, {}, {}, {}, {}}), "settled by ann: not in the books"));
  CHECK_THROWS_AS(cli::jobs_command({{"settle", "k"}, {}, {}, {}, {}}, jobs_config), std::runtime_error);
  CHECK_THROWS_AS(cli::jobs_command({{"show", "a b"}, {}, {}, {}, {}}, jobs_config), std::runtime_error);
  CHECK_THROWS_AS(cli::store_command({{"check"}, {}, {}, {}, {}}, jobs_config),
                  store::StoreError);  // it is locked
  dispatcher.reset();
  CHECK(contains(capture_stream(1, cluster.folder.path,
                                [&] {
                                  cli::store_command({{"check"}, {}, {}, {}, {}}, jobs_config);
                                }),
                 "good, 1 jobs"));
}

TEST_CASE("the log is written as JSON lines or text, and logging does not block when nobody reads it") {
  TempFolder folder;
  const std::string json = capture_stream(2, folder.path, [] {
    log::AsyncLog log(true, 64);
    core::log_line("jobs: \"k\" is in doubt: a reason");
  });
  const auto line = nlohmann::json::parse(json);
  CHECK(line.at("part") == "jobs");
  CHECK(line.at("text") == "\"k\" is in doubt: a reason");
  CHECK(line.at("time").get<std::string>().ends_with("Z"));
  const std::string text = capture_stream(2, folder.path, [] {
    log::AsyncLog log(false, 64);
    core::log_line("jobs: served");
  });
  CHECK(text.ends_with("Z jobs: served\n"));
  int pipe_fds[2];
  REQUIRE(::pipe(pipe_fds) == 0);
  const net::Fd reader(pipe_fds[0]), saved_stream(::dup(2));
  net::Fd writer(pipe_fds[1]);
  ::dup2(writer.get(), 2);
  std::optional<log::AsyncLog> log;
  log.emplace(true, 64);
  const core::Clock clock;
  const double started_ms = clock.now();
  for (int i = 0; i < 5'000; ++i) core::log_line("test: " + std::string(100, 'x'));
  const double elapsed_ms = clock.now() - started_ms;
  ::dup2(saved_stream.get(), 2);
  std::string received;
  std::thread reader_thread([&] {
    std::vector<char> buffer(65'536);
    for (ssize_t size = 0; (size = ::read(reader.get(), buffer.data(), buffer.size())) > 0;)
      received.append(buffer.data(), static_cast<std::size_t>(size));
  });
  log.reset();
  writer = net::Fd();
  reader_thread.join();
  CHECK(elapsed_ms < 2'000);
  CHECK(std::count(received.begin(), received.end(), '\n') < 5'000);  // the oldest were dropped
}

TEST_CASE("the history checker finds each planted fault") {
  using lab::ClientObservation;
  using lab::LedgerEntry;
  const std::vector<ClientObservation> good = {{"k", "asked", true, 0, "", ""},
                                               {"k", "told", true, 200, "finished", "r"}};
  const std::vector<LedgerEntry> ledger = {{"k", "begun", 1, true, ""}, {"k", "finished", 1, true, "r"}};
  CHECK(lab::check_history(good, ledger).good());
  std::vector<LedgerEntry> twice = ledger;
  twice.push_back({"k", "begun", 2, true, ""});
  CHECK(lab::check_history(good, twice).duplicate_payouts == 1);
  std::vector<ClientObservation> seen = good;
  seen.push_back({"k", "told", true, 502, "in-doubt", ""});
  CHECK(lab::check_history(seen, ledger).changed_answers == 1);
  CHECK(lab::check_history(good, {}).contradictions == 1);
  CHECK(lab::check_history({good[0], {"k", "told", true, 503, "refused", ""}}, ledger).contradictions == 1);
  CHECK(lab::check_history({good[0], {"k", "told", true, 502, "failed", ""}}, ledger).contradictions == 1);
  CHECK(lab::check_history({good[0], {"k", "gave-up", true, 0, "", ""}}, ledger).unanswered == 1);
}

TEST_CASE("an invalid key of the operator's file is reported with file, line and the expected value") {
  TempFolder folder;
  const auto load_result = [&](const std::string& text) {
    const std::string path = folder.path + "/operator.toml";
    std::ofstream(path) << text;
    try {
      config::load_operator_file(path);
      return std::string("good");
    } catch (const std::runtime_error& error) {
      return std::string(error.what()).substr(folder.path.size());
    }
  };
  CHECK(load_result("") == "good");
  CHECK(load_result("[jobs]\nenabled = true\nfolder = \"x\"\n") == "good");
  CHECK(load_result("[jobs]\nenabled = true\n").starts_with("/operator.toml:1: jobs.folder: wanted"));
  CHECK(load_result("[jobs]\n\nlinks = 0\n").starts_with("/operator.toml:3: jobs.links: "));
  CHECK(load_result("[jobs]\nlinks = \"many\"\n").starts_with("/operator.toml:2: jobs.links: "));
  CHECK(load_result("[jobs]\nlisten = \"nowhere\"\n").starts_with("/operator.toml:2: jobs.listen: "));
  CHECK(load_result("[jobs]\nfolder = \"x\"\nlinkz = 3\n") == "/operator.toml:3: jobs.linkz: no such key");
  CHECK(load_result("[job]\n") == "/operator.toml:1: job: no such key");
  CHECK(load_result("[log]\nformat = \"xml\"\n").starts_with("/operator.toml:2: log.format: "));
  CHECK(load_result("[jobs\n").starts_with("/operator.toml:1: "));
}

}  // namespace
}  // namespace woadtide
