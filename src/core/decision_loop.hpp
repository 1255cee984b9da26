// Owns the decision module and all that it knows of queries and timers. One thread runs it; everything else
// reaches it through the Inbox. It knows no protocol, and decides nothing that the module decides.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/clock.hpp"
#include "core/figures.hpp"
#include "core/inbox.hpp"
#include "core/query.hpp"
#include "woadtide/balance.hpp"

namespace woadtide::core {

class DecisionLoop {
 public:
  DecisionLoop(woadtide::Settings settings, std::vector<std::string> class_names, std::uint64_t seed,
               Clock& clock, Inbox& inbox, Executor& executor, HostSource& hosts, Kin& kin,
               Witness* witness = nullptr);

  // Handles all that has come and all that is due. Returns how many ms from now the next timer is due.
  double step();

 private:
  struct Running {
    double sent = 0;
    bool out = true;  // its ending is still to come
  };
  struct Open {                    // a query that is not over: not settled, or with executions out
    std::shared_ptr<Asker> asker;  // empty once settled
    Parcel parcel;
    std::size_t class_index = 0;
    double deadline = 0;
    double taken = 0, wanted_by = 0;  // wanted_by: served later it counts as late
    std::vector<Running> executions;
    bool may_have_run = false;
  };
  struct Timer {
    std::string name;  // the module's token, or a query's id
    int attempt = kToken;
  };
  static constexpr int kToken = -2, kWholeQuery = -1;  // Timer::attempt, where it is no attempt
  struct Counts {
    std::array<int, 5> answers{};  // by AnswerKind
    int queries = 0, executions = 0, failures = 0, gone = 0;
  };
  struct Totals {  // of a class, since the start
    std::uint64_t forwards = 0;
    ClassFigures figures;
  };
  using Queries = std::map<std::string, Open>;
  // Ids of queries that are over and may have run, the newest of them.
  class Spent {
   public:
    bool contains(const std::string& id) const { return ids_.contains(id); }
    void add(const std::string& id);
    const std::deque<std::string>& all() const { return oldest_first_; }

   private:
    static constexpr std::size_t kMost = 8192;  // minutes of the busiest traffic, some 1 MB
    std::unordered_set<std::string> ids_;
    std::deque<std::string> oldest_first_;
  };

  void take(QueryArrived& message);
  void take(ClientGone& message);
  void take(ExecutionSent& message);
  void take(ExecutionStarted& message);
  void take(ExecutionProgress& message);
  void take(ExecutionEnded& message);
  void take(ProbeEnded& message);
  void take(ListTold& message);
  void take(KinJoined& message);
  void take(KinSaid& message);
  void take(Sharers& message);
  void take(OperatorCall& message);
  void take(FinishAll& message);

  void act(const woadtide::Send& action);
  void act(const woadtide::Refuse& action);
  void act(const woadtide::Fail& action);
  void act(const woadtide::Cancel& action);
  void act(const woadtide::Probe& action);
  void act(const woadtide::Watch& action);
  void act(const woadtide::SetTimer& action);
  void act(const woadtide::Log& action);

  void exclude(const std::string& worker, bool excluded);
  const char* wrong_with(const Query& query, bool class_known) const;
  void feed(const woadtide::Event& event);
  void settle(Queries::value_type& query, Answer answer);
  std::shared_ptr<Asker> let_go(Queries::value_type& query);
  bool is_out(const ExecutionKey& key) const;
  void end(const ExecutionKey& key, woadtide::Status status, const std::string& report);
  void time_out(const ExecutionKey& key);
  void on_deadline(const std::string& id);
  void drop_if_over(const std::string& id);
  void guarded(const std::function<void()>& work);
  void fire_due();
  void report_counts();
  std::string telemetry() const;
  std::string figures() const;

  std::vector<std::string> class_names_;
  std::vector<woadtide::ClassSettings> classes_;
  std::string report_x0_, report_x1_;
  woadtide::Dispatcher dispatcher_;
  Clock& clock_;
  Inbox& inbox_;
  Executor& executor_;
  HostSource& hosts_;
  Kin& kin_;
  Witness* const witness_;  // may be none
  Queries queries_;
  Spent spent_;
  std::multimap<double, Timer> timers_;
  std::set<std::string> excluded_;  // workers, to be told to the next process
  Counts counts_;                   // for the log, which begins anew with each line
  std::vector<Totals> totals_;      // by class
  double counted_since_;
};

}  // namespace woadtide::core
