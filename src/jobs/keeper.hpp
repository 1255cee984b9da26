// Durable jobs at work: one thread that owns the lease core and the store. It hands jobs in to the decision
// loop as any front does, and stands between the loop and the links to workers: an execution of a job goes on
// only once its lease is on the disk. It must not know HTTP or sockets. Nothing is told outside before the
// commit that it rests on has been synced; all that came during one sync shares the next.
//
// Times of the store are the Keeper's own: the Clock's, moved forward where the store holds a newer stamp, so
// that a clock that was set back between two starts gives no job more time than it had.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/inbox.hpp"
#include "core/query.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace woadtide::jobs {

struct Settings {
  store::Options store;
  lease::Settings lease;
  double keep_ms = 7 * 86'400'000.0;  // finished jobs are dropped after this
  double early_ms = 250;  // a job ends this long before its client gives up: time to ask a new process
  std::size_t most_open = 10'000;   // jobs that have no final state
  std::size_t most_group = 4'096;   // messages that share one commit at most
  std::set<std::string> answering;  // kinds of workers that can be asked about jobs; "*": all
};

// A job as its client hands it in.
struct Order {
  std::string key;
  core::Query query;  // class, slots, cost, deadline on the Clock; no id, no parcel
  std::string target, fields, body;
};

// Where a job stands, for its client.
struct Reply {
  int status = 503;        // 200 its result, 202 open, 4xx, 502 failed or in doubt, 503 refused
  std::string state = {};  // name_of the state; empty where there is no job
  std::string body = {};
  double retry_after_ms = 0;
};

// What a worker says of a job.
struct Word {
  std::string key;
  std::uint64_t epoch = 0;
  lease::Says says = lease::Says::unreachable;
  std::string ledger, result, worker;
};
// Asks workers. The word comes to Keeper::hear() at some time, always. Must not block.
class Asker {
 public:
  virtual ~Asker() = default;
  // An empty key asks for the ledger's id alone.
  virtual void ask(const std::string& worker, const std::string& key, std::uint64_t epoch) = 0;
  virtual std::string kind_of(const std::string& worker) const = 0;
};

class Keeper : public core::Executor, public core::Witness {
 public:
  // `settings` and `class_names` as the loop has them.
  Keeper(Settings settings, const woadtide::Settings& classes, std::vector<std::string> class_names,
         core::Clock& clock, core::Inbox& inbox, core::Executor& next, Asker& asker);
  ~Keeper() override;
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // The Keeper's thread: opens the store as soon as nobody else holds it, and serves until stop().
  void run();
  // Ends run(): what has come is committed, then the store is closed.
  void stop();
  // Whether the store is open, and jobs are taken.
  bool serves() const { return serves_; }
  bool takes() const { return serves_ && taking_; }
  // While it takes none, PUT is refused; all that was taken goes on, and is told.
  void set_taking(bool taking) { taking_ = taking; }
  // Executions that are out.
  std::size_t out() const { return out_count_; }

  // For fronts. Each blocks until the answer is there and may be told.
  Reply put(Order order);
  Reply get(const std::string& key, double wait_ms);
  Reply withdraw(const std::string& key);
  Reply list(const std::string& state);  // a JSON object a line; empty: of all that are open or in doubt
  Reply show(const std::string& key);
  Reply settle(const std::string& key, bool as_finished, const std::string& who, const std::string& why);

  void hear(Word word);

  void start(core::Execution execution) override;
  void cancel(const core::ExecutionKey& key) override;
  // A job's execution goes by its lease, whoever has gone.
  void withdraw(const core::ExecutionKey& key) override {
    if (!is_job(key)) next_.withdraw(key);
  }
  void probe(const std::string& worker) override { next_.probe(worker); }
  void exclude(const std::string& worker, bool excluded) override { next_.exclude(worker, excluded); }
  void heard(const core::ExecutionKey& key) override;
  void ended(const core::ExecutionKey& key, woadtide::Status status, const std::string& result,
             bool told) override;

 private:
  class QueryAsker;
  struct Call {
    enum class Kind { put, get, withdraw, list, show, settle } kind = Kind::get;
    std::string key = {};
    Order order = {};
    double wait_until = 0;
    std::string state = {};  // list
    bool as_finished = false;
    std::string who = {}, why = {};
    std::promise<Reply> reply = {};
  };
  struct StartAsked {
    core::Execution execution;
    bool seen = false;  // handled: a job's `chosen` has it
  };
  struct CancelAsked {
    core::ExecutionKey key;
  };
  struct HeardOf {
    core::ExecutionKey key;
  };
  struct EndedOf {
    core::ExecutionKey key;
    woadtide::Status status;
    std::string result;
    bool told;
  };
  struct SettledOf {
    std::string query;
    core::Answer answer;
  };
  using Message = std::variant<Call, StartAsked, CancelAsked, HeardOf, EndedOf, SettledOf, Word>;

  // What a job is beside its lease.
  struct Face {
    std::string class_name, digest, target, fields;
    double slots = 1;
    std::optional<double> cost_ms;
    double retry_after_ms = 0;
  };
  struct Content;  // what workers get
  struct Live {
    Face face;
    std::shared_ptr<const Content> content;  // of a recovered one only once it goes out
    std::string query;                       // in the loop now; empty: none
    std::shared_ptr<QueryAsker> query_asker;
    std::optional<core::Execution> chosen;  // until its lease is written
    std::optional<core::ExecutionKey> out;  // under the newest lease
    std::uint64_t out_epoch = 0;
    std::optional<std::string> result;  // to be written
    bool body_written = false, acknowledged = false;
    bool paced = false;  // goes through the backlog
    std::list<std::promise<Reply>> putters;
  };
  struct Waiter {
    std::string key;
    double until;
    std::promise<Reply> reply;
  };

  bool is_job(const core::ExecutionKey& key) const { return key.query.find(nonce_) != std::string::npos; }
  Reply call(Call call);
  void put_message(Message message);
  std::deque<Message> take_messages(double wait_ms);

  bool is_stopping() const;
  void wait_apart(double ms);
  void open_store();
  void recover();
  void serve();
  void life_over();
  void step();
  void put_back(std::deque<Message> messages);
  void handle(Call& call);
  void handle(StartAsked& message);
  void handle(CancelAsked& message);
  void handle(HeardOf& message);
  void handle(EndedOf& message);
  void handle(SettledOf& message);
  void handle(Word& message);
  void handle_put(Call& call);
  void feed(const lease::Event& event);
  void commit(bool all);
  void carry_out(const lease::Effect& effect);
  void act(const lease::Dispatch& effect);
  void act(const lease::Start& effect);
  void act(const lease::Unsend& effect);
  void act(const lease::Retract& effect);
  void act(const lease::Write&) {}
  void act(const lease::Ask& effect);
  void act(const lease::Tell& effect);
  void hand_in(const std::string& key);
  void next_of_backlog();
  void unsend(Live& live);
  void retract(Live& live);
  void answer_waiters(const std::string& key, const Reply& reply);
  void time_out_waiters();
  void tidy();
  void report();

  store::Record record_of(const std::string& key);
  std::string meta_of(const lease::Job& job, const Face& face) const;
  static std::pair<lease::Job, Face> read_meta(const store::Record& record);
  Reply reply_of(const lease::Job& job, const Face& face, const std::optional<std::string>& result);
  Reply stored_reply(const store::Record& record);
  std::optional<lease::Repeat> repeat_of(const std::string& class_name) const;
  bool answers(const std::string& worker) const;
  Live* live_of(const core::ExecutionKey& key);
  double now() const { return clock_.now() + ahead_ms_; }

  Settings settings_;
  std::map<std::string, lease::Repeat> repeats_;  // by class
  core::Clock& clock_;
  core::Inbox& inbox_;
  core::Executor& next_;
  Asker& asker_;
  const std::string nonce_;  // parts our queries' ids from all others

  mutable std::mutex mutex_;
  std::condition_variable came_;
  std::deque<Message> messages_;
  bool stopping_ = false;
  std::atomic<bool> serves_{false}, taking_{true};
  std::atomic<std::size_t> out_count_{0};

  // Of the Keeper's thread:
  std::optional<store::Store> store_;
  lease::Table table_;
  std::map<std::string, Live> live_;            // by key
  std::map<std::string, std::string> keys_;     // by query
  std::map<std::string, std::string> ledgers_;  // by worker, as it said last
  std::deque<Message> come_;                    // taken, still to be handled
  std::deque<Message>
      group_;  // handled, until their commit: news of executions must outlive a store that fails
  std::vector<lease::Effect> effects_;
  std::set<std::string> dirty_;
  bool hurry_ = false;
  std::vector<std::pair<std::promise<Reply>, Reply>> replies_;  // to go after the commit
  std::list<Waiter> waiters_;
  std::multimap<double, std::string> backlog_;  // jobs that wait for their turn, by time
  std::size_t handed_in_ = 0;                   // of those, in the loop now
  std::uint64_t counter_ = 0;
  double ahead_ms_ = 0;  // the store's time less the clock's
  double tidy_at_ = 0, report_at_ = 0, lazy_since_ = 0;
  std::uint64_t bytes_used_ = 0;
  struct Counts {
    std::uint64_t taken = 0, refused = 0, finished = 0, failed = 0, in_doubt = 0, commits = 0, records = 0;
  } counts_;
};

}  // namespace woadtide::jobs
