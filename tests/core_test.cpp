// Tests of the decision loop without sockets or threads: the test calls step() and sets the clock.
#include "core/load_report.hpp"
#include "node_harness.hpp"

namespace woadtide::core {
namespace {

// Records what the loop does with its interfaces.
struct RecordingEnvironment : Executor, EndpointSource, SiblingProcess {
  void start(Execution execution) override { started.push_back(std::move(execution)); }
  void cancel(const ExecutionKey& key) override { cancelled.push_back(key); }
  void withdraw(const ExecutionKey& key) override { withdrawn.push_back(key); }
  void probe(const std::string&) override {}
  void set_excluded(const std::string& worker, bool is_excluded) override { excluded[worker] = is_excluded; }
  std::string serialized_list() const override { return "{}"; }
  void merge_sibling_list(const std::string& text) override { sibling_lists.push_back(text); }
  bool has_no_sibling() const override { return is_alone; }
  std::vector<std::string> sibling_lists;
  bool is_alone = true;
  void start_watch() override { watches += 1; }
  void send(const SiblingMessage& message) override { sent.push_back(message); }
  std::vector<Execution> started;
  std::vector<ExecutionKey> cancelled, withdrawn;
  std::map<std::string, bool> excluded;
  std::vector<SiblingMessage> sent;  // to the sibling process
  int watches = 0;
};

struct RecordingCallback : ReplyCallback {
  void on_answer(Answer answer) override { answers.push_back(std::move(answer)); }
  std::vector<Answer> answers;
};

struct LoopFixture {
  using SettingsEdit = std::function<void(Settings& settings)>;
  explicit LoopFixture(int workers, const SettingsEdit& edit = {}) {
    EndpointEntries hosts;
    for (int i = 0; i < workers; ++i) hosts.push_back(endpoint_json("w" + std::to_string(i), "127.0.0.1:1"));
    Config config = read_config(config_json(hosts, "127.0.0.1:1"));
    if (edit) edit(config.settings);
    clock.set(kStartTimeMs);
    loop.emplace(config.settings, config.class_names, config.seed, clock, inbox, environment, environment,
                 environment);
    ListUpdateReceived update{{ListKind::remembered, {}, to_micros(kStartTimeMs)}};
    for (const Endpoint& host : config.known_endpoints.endpoints) update.update.entries.push_back(host.entry);
    deliver(update);
  }
  void deliver(Message message) {
    inbox.push(std::move(message));
    loop->step();
  }
  std::shared_ptr<RecordingCallback> submit(Query query) {
    auto callback = std::make_shared<RecordingCallback>();
    deliver(QueryReceived{std::move(query), callback});
    return callback;
  }
  std::shared_ptr<RecordingCallback> submit_new(const std::string& id, const std::string& kind,
                                                double budget_ms = 5'000) {
    Query query;
    query.id = id;
    query.class_name = kind;
    query.deadline = clock.now() + budget_ms;
    return submit(std::move(query));
  }
  void end(int index, Status status, const std::string& result = "") {
    deliver(ExecutionEnded{environment.started.at(static_cast<std::size_t>(index)).key, status, result});
  }
  void advance(double ms) {
    clock.set(clock.now() + ms);
    loop->step();
  }

  Clock clock;
  Inbox inbox;
  RecordingEnvironment environment;
  std::optional<DecisionLoop> loop;
};

TEST_CASE("a query is answered once, with the first result") {
  LoopFixture fixture(1);
  const auto callback = fixture.submit_new("q", "receipt-check");
  REQUIRE(fixture.environment.started.size() == 1);
  fixture.end(0, Status::ok, "paid");
  fixture.end(0, Status::ok, "again");
  REQUIRE(callback->answers.size() == 1);
  CHECK(callback->answers[0].kind == AnswerKind::served);
  CHECK(callback->answers[0].body == "paid");
}

TEST_CASE("at the deadline the execution is cancelled, the answer is sent, and a later result is dropped") {
  LoopFixture fixture(2);
  const auto callback = fixture.submit_new("q", "refund-payout", 3'000);
  fixture.advance(2'999);
  CHECK(callback->answers.empty());
  fixture.advance(1);
  REQUIRE(callback->answers.size() == 1);
  CHECK(callback->answers[0].kind == AnswerKind::timed_out);
  CHECK(fixture.environment.cancelled.size() == 1);
  fixture.end(0, Status::ok, "late");
  CHECK(callback->answers.size() == 1);
  CHECK(fixture.environment.started.size() == 1);
}

TEST_CASE("a payout that may have run is never retried; one that never ran is") {
  LoopFixture fixture(2);
  const auto maybe_run = fixture.submit_new("a", "refund-payout");
  fixture.end(0, Status::reset);
  REQUIRE(maybe_run->answers.size() == 1);
  CHECK(maybe_run->answers[0].kind == AnswerKind::failed);
  CHECK(fixture.environment.started.size() == 1);

  const auto never_run = fixture.submit_new("b", "refund-payout");
  fixture.end(1, Status::connect_failed);
  CHECK(never_run->answers.empty());
  REQUIRE(fixture.environment.started.size() == 3);
  CHECK(fixture.environment.started[1].worker != fixture.environment.started[2].worker);
}

TEST_CASE("after a client disconnects no answer is sent, and the outcome still reaches the module") {
  LoopFixture fixture(1);
  const auto callback = fixture.submit_new("q", "receipt-check");
  fixture.deliver(ClientDisconnected{"q", callback});
  CHECK(fixture.environment.withdrawn == std::vector<ExecutionKey>{{"q", 0}});
  fixture.end(0, Status::ok, "unheard");
  CHECK(callback->answers.empty());
  // If the module had not received the outcome, the slot at the only worker would still be occupied.
  for (int i = 0; i < 2; ++i) fixture.submit_new("next" + std::to_string(i), "receipt-check");
  CHECK(fixture.environment.started.size() == 3);
}

// Guards links and buffers: clients that ask for days of time and leave once held a link for each request.
TEST_CASE(
    "an execution whose client has left is given up at the deadline of its class, whatever its budget") {
  LoopFixture fixture(1);
  const std::size_t timers_before = fixture.loop->timer_count();
  const auto callback = fixture.submit_new("q", "receipt-check", 1e9);
  fixture.advance(1'000);
  fixture.deliver(ClientDisconnected{"q", callback});
  fixture.advance(6'999);
  CHECK(fixture.environment.cancelled.empty());
  fixture.advance(1);
  CHECK(fixture.environment.cancelled == std::vector<ExecutionKey>{{"q", 0}});
  CHECK(fixture.loop->timer_count() == timers_before);
  CHECK(callback->answers.empty());
}

TEST_CASE("a refusal is sent at once with the time after which to retry") {
  LoopFixture fixture(0);
  const auto callback = fixture.submit_new("q", "refund-payout");
  REQUIRE(callback->answers.size() == 1);
  CHECK(callback->answers[0].kind == AnswerKind::refused);
  CHECK(callback->answers[0].retry_after_ms > 0);
  CHECK(callback->answers[0].retry_after_ms <= 2'000);
}

// Guards the memory limit: each refused query once left a timer until its budget was over, so bad clients
// that repeat a refused query at full speed drove the process over `memory_mb` within seconds.
TEST_CASE("however many queries are refused within their budget, none of them leaves a timer") {
  LoopFixture fixture(0);
  const std::size_t timers_before = fixture.loop->timer_count();
  for (int i = 0; i < 1'000; ++i)
    CHECK(fixture.submit_new("q", "receipt-check", 8'000)->answers.at(0).kind == AnswerKind::refused);
  CHECK(fixture.loop->timer_count() == timers_before);
}

// Guards the memory limit in the same way for queries that are sent: the timers of their deadlines, of their
// clients' disconnects and of the module's checks whether a worker has started them.
TEST_CASE("a query that was sent leaves no timer once it and its executions have ended") {
  LoopFixture fixture(2, [](Settings& settings) { settings.tells_start = true; });
  const std::size_t timers_before = fixture.loop->timer_count();
  fixture.submit_new("served", "receipt-check");
  CHECK(fixture.loop->timer_count() == timers_before + 2);
  fixture.end(0, Status::ok, "x");
  CHECK(fixture.loop->timer_count() == timers_before);
  fixture.submit_new("started", "receipt-check");
  fixture.deliver(ExecutionStarted{fixture.environment.started.at(1).key});
  CHECK(fixture.loop->timer_count() == timers_before + 1);
  fixture.end(1, Status::ok, "x");
  const auto callback = fixture.submit_new("abandoned", "receipt-check");
  fixture.deliver(ClientDisconnected{"abandoned", callback});
  fixture.end(2, Status::not_started);
  fixture.submit_new("failed", "refund-payout");
  fixture.end(3, Status::reset);
  CHECK(fixture.loop->timer_count() == timers_before);
}

TEST_CASE("queries of an unknown class or with an id in progress are rejected") {
  LoopFixture fixture(1);
  CHECK(fixture.submit_new("q", "no-such").get()->answers.at(0).kind == AnswerKind::bad_query);
  fixture.submit_new("p", "refund-payout");
  CHECK(fixture.submit_new("p", "refund-payout")->answers.at(0).kind == AnswerKind::bad_query);
  CHECK(fixture.environment.started.size() == 1);
}

// Guards against a client that sends the id of another client's payout: it could run the payout a second
// time, or end it by disconnecting.
TEST_CASE("a repeated id does not affect the first client's query, and does not run again after its answer") {
  LoopFixture fixture(2);
  const auto owner = fixture.submit_new("p", "refund-payout");
  const auto other = fixture.submit_new("p", "refund-payout");
  fixture.deliver(ClientDisconnected{"p", other});
  CHECK(owner->answers.empty());
  fixture.end(0, Status::ok, "paid");
  REQUIRE(owner->answers.size() == 1);
  CHECK(owner->answers[0].kind == AnswerKind::served);
  CHECK(fixture.submit_new("p", "refund-payout")->answers.at(0).kind == AnswerKind::bad_query);
  CHECK(fixture.environment.started.size() == 1);
  // A query that never ran may be sent again.
  LoopFixture without_workers(0);
  without_workers.submit_new("r", "refund-payout");
  CHECK(without_workers.submit_new("r", "refund-payout")->answers.at(0).kind == AnswerKind::refused);
}

// Guards the order of the timers against NaN, and conversions from double against undefined behaviour.
TEST_CASE("a query with a number out of range never reaches the module") {
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  LoopFixture fixture(1);
  int next_id = 0;
  const auto is_rejected = [&](double wait_ms, double cost_ms, double slots) {
    Query query;
    query.id = std::to_string(next_id++);
    query.class_name = "receipt-check";
    query.deadline = fixture.clock.now() + wait_ms;
    query.cost_ms = cost_ms;
    query.slots = slots;
    const auto callback = fixture.submit(std::move(query));
    return !callback->answers.empty() && callback->answers[0].kind == AnswerKind::bad_query;
  };
  for (const double bad : {nan, inf, -inf}) {
    CHECK(is_rejected(bad, 1, 1));
    CHECK(is_rejected(5'000, bad, 1));
    CHECK(is_rejected(5'000, 1, bad));
  }
  CHECK(is_rejected(5'000, -1, 1));
  CHECK(is_rejected(5'000, 1, 0));
  CHECK_FALSE(is_rejected(5'000, 1e300, 1));
  CHECK(fixture.environment.started.size() == 1);
  CHECK(to_micros(nan).count() == 0);
  CHECK(to_micros(1e300) == to_micros(1e301));
}

TEST_CASE("the module requests a new watch after one has failed") {
  LoopFixture fixture(1);
  CHECK(fixture.environment.watches == 1);
  fixture.deliver(ListUpdateReceived{{ListKind::failed, {}}});
  CHECK(fixture.environment.watches == 1);
  fixture.advance(700);
  CHECK(fixture.environment.watches == 2);
}

// Guards the metrics that operators read: counters since the start of the process, and gauges of the moment.
TEST_CASE("telemetry has counters by class since the start, and the queries that are open now") {
  LoopFixture fixture(3);
  fixture.deliver(ListUpdateReceived{{ListKind::changes, {}}});  // the watch is open: the list remains valid
  fixture.submit_new("s", "receipt-check");
  fixture.submit_new("f", "refund-payout");
  const auto sent = [&](int i) {
    fixture.deliver(ExecutionSent{fixture.environment.started.at(static_cast<std::size_t>(i)).key});
  };
  sent(0);
  sent(1);
  fixture.end(0, Status::ok, "x");
  // The log's counts start again; the payout has timed out, but its worker still executes it.
  fixture.advance(10'000);
  const auto disconnected = fixture.submit_new("l", "receipt-check");
  fixture.submit_new("o", "receipt-check");
  fixture.deliver(
      ClientDisconnected{"l", disconnected});  // no longer outstanding, though its execution is pending
  for (int i = 0; i < 3; ++i) {
    OperatorCommand exclusion{OperatorCommand::Kind::exclude, "w" + std::to_string(i), {}};
    fixture.deliver(std::move(exclusion));
  }
  fixture.submit_new("r", "refund-payout");
  OperatorCommand call{OperatorCommand::Kind::telemetry, {}, {}};
  auto answer = call.reply.get_future();
  fixture.deliver(std::move(call));
  CHECK(answer.get() ==
        "app.succeeded.receipt-check:1|c\napp.declined.receipt-check:0|c\napp.aborted.receipt-check:0|c\n"
        "app.forwards.receipt-check:1|c\napp.succeeded.refund-payout:0|c\napp.declined.refund-payout:1|c\n"
        "app.aborted.refund-payout:1|c\napp.forwards.refund-payout:1|c\napp.outstanding:1|g\n"
        "app.discovered:3|g\napp.ejected:3|g\nend\n");
}

// Guards exclusions across a hot restart, whichever process received the command, and ids that are in
// progress at the other process.
TEST_CASE(
    "an operator's command takes effect and is sent on, and a new sibling process gets the whole state") {
  LoopFixture fixture(2);
  const auto call = [&](OperatorCommand::Kind kind, const std::string& worker) {
    OperatorCommand command{kind, worker, {}};
    auto answer = command.reply.get_future();
    fixture.deliver(std::move(command));
    return answer.get();
  };
  CHECK(call(OperatorCommand::Kind::exclude, "nobody").starts_with("error"));
  CHECK(call(OperatorCommand::Kind::include, "nobody").starts_with("error"));
  CHECK(fixture.environment.sent.empty());
  CHECK(call(OperatorCommand::Kind::exclude, "w0").starts_with("done"));
  CHECK(fixture.environment.excluded.at("w0"));
  fixture.deliver(SiblingMessageReceived{{SiblingMessage::Kind::exclude, "w1"}});
  CHECK(fixture.submit_new("q", "refund-payout")->answers.at(0).kind == AnswerKind::refused);
  CHECK(call(OperatorCommand::Kind::include, "w1").starts_with("done"));
  fixture.submit_new("r", "refund-payout");
  REQUIRE(fixture.environment.started.size() == 1);
  CHECK(fixture.environment.started[0].worker == "w1");
  fixture.deliver(SiblingMessageReceived{{SiblingMessage::Kind::query, "s"}});
  CHECK(fixture.submit_new("s", "refund-payout")->answers.at(0).kind == AnswerKind::bad_query);
  fixture.environment.sent.clear();
  fixture.deliver(SiblingJoined{});
  std::string sent;
  for (const SiblingMessage& message : fixture.environment.sent)
    sent += std::to_string(static_cast<int>(message.kind)) + ' ' + message.content + ';';
  CHECK(sent == "6 {};0 w0;2 r;2 s;3 ;");  // the list first: a drain in it binds this dispatcher
  // Changes of the list are sent too, where there is a sibling process; a list that it sends is passed on.
  fixture.environment.sent.clear();
  fixture.deliver(ListUpdateReceived{{woadtide::ListKind::changes, {}}});
  CHECK(fixture.environment.sent.empty());
  fixture.environment.is_alone = false;
  fixture.deliver(ListUpdateReceived{{woadtide::ListKind::remembered, {}}});
  CHECK(fixture.environment.sent.empty());
  fixture.deliver(ListUpdateReceived{{woadtide::ListKind::changes, {}}});
  REQUIRE(fixture.environment.sent.size() == 1);
  CHECK(fixture.environment.sent[0].kind == SiblingMessage::Kind::list);
  fixture.deliver(SiblingMessageReceived{{SiblingMessage::Kind::list, "text"}});
  CHECK(fixture.environment.sibling_lists == std::vector<std::string>{"text"});
}

// Guards payouts against a second run in a hot restart: each refused query was once sent to the sibling too,
// and a flood of them displaced there the ids of queries that may have run.
TEST_CASE("a sibling process gets the id of a query once, when it is sent to a worker, and no refused one") {
  LoopFixture fixture(2);
  fixture.submit_new("p", "refund-payout");
  fixture.end(0, Status::connect_failed);
  REQUIRE(fixture.environment.started.size() == 2);
  std::vector<std::string> ids;
  for (const SiblingMessage& message : fixture.environment.sent) ids.push_back(message.content);
  CHECK(ids == std::vector<std::string>{"p"});
  LoopFixture without_workers(0);
  without_workers.submit_new("r", "refund-payout");
  CHECK(without_workers.environment.sent.empty());
}

// Guards memory against exclusions of workers that are replaced for as long as the process runs.
TEST_CASE("so many workers may be excluded, and a further one is refused with an error") {
  LoopFixture fixture(1);
  set_log_sink([](std::string_view) {});
  for (int i = 0; i < 10'000; ++i)
    fixture.deliver(SiblingMessageReceived{{SiblingMessage::Kind::exclude, "gone" + std::to_string(i)}});
  const auto exclude = [&](const std::string& worker) {
    OperatorCommand command{OperatorCommand::Kind::exclude, worker, {}};
    auto answer = command.reply.get_future();
    fixture.deliver(std::move(command));
    return answer.get();
  };
  CHECK(exclude("w0") == "error too many workers are excluded\n");
  CHECK(exclude("gone7") == "done\n");
  fixture.deliver(SiblingMessageReceived{{SiblingMessage::Kind::include, "gone0"}});
  CHECK(exclude("w0") == "done\n");
  set_log_sink(nullptr);
}

TEST_CASE("open queries are answered when the process exits") {
  LoopFixture fixture(1);
  const auto callback = fixture.submit_new("q", "receipt-check");
  fixture.deliver(FailOpenQueries{});
  REQUIRE(callback->answers.size() == 1);
  CHECK(callback->answers[0].kind == AnswerKind::failed);
}

TEST_CASE("an invalid config is reported in one line") {
  const auto error_for = [](const char* path, const nlohmann::json& value) {
    nlohmann::json object = config_json({}, "127.0.0.1:1");
    object[nlohmann::json::json_pointer(path)] = value;
    try {
      read_config(object);
    } catch (const std::runtime_error& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  CHECK(error_for("/name", "n1") == "");
  CHECK(error_for("/seed", "x").find("seed") != std::string::npos);
  CHECK(error_for("/listen", 5) != "");
  CHECK(error_for("/settings/Balancers", 0).find("dispatchers") != std::string::npos);
  CHECK(error_for("/settings/Categories", 7).find("Categories") != std::string::npos);
  CHECK(error_for("/known/hosts", {{{"host", "w"}}}).find("endpoint list") != std::string::npos);
}

TEST_CASE("a worker's load report is used whole or not at all") {
  const auto read = [](std::string_view text) {
    return parse_load_report(text, "free slots", "free memory");
  };
  const auto good = read("x0=3.871,rps=0.990,avg_ms=393.594,waiting=2");
  REQUIRE(good);
  CHECK(good->free_slots == 3.871);
  CHECK(good->queue == 2);
  CHECK_FALSE(good->utilization);
  CHECK_FALSE(parse_load_report("x0=1", "share done", "")->free_slots);
  for (const char* bad : {"x0", "x0=", "x0=1,,rps=2", "x0=nan", "x0=-1", "x0=1e300", "x0=2 ", "{\"x0\":1}"})
    CHECK_FALSE_MESSAGE(read(bad), bad);
}

}  // namespace
}  // namespace woadtide::core
