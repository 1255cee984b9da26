// Lease state machine of durable jobs: which worker holds the lease of each open job, how each event changes
// the job, and how a job is recovered after a restart. It takes events and a time and returns effects. It
// must not depend on sockets, disk, threads or clocks; the durable job service (src/jobs) carries out the
// effects. The invariants are in docs/design/durable-jobs.md.
//
// Times are milliseconds on the owner's clock, which never goes backwards. An event with an unknown key, or
// with an epoch that is not the job's newest, changes nothing: it concerns something that is already over.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace woadtide::lease {

// State of a job. States from `finished` on are final.
enum class State { taken, leased, running, finished, failed, in_doubt, refused };
// Whether a job may run more than once (idempotent) or must run at most once.
enum class RepeatPolicy { idempotent, at_most_once };

// Whether no event changes a job in this state any more.
inline bool is_final(State state) { return state >= State::finished; }
// Name of a state on the wire and in records, such as "in-doubt".
const char* state_name(State state);
// State with this name; nullopt if there is none.
std::optional<State> state_from_name(const std::string& name);

// A durable job, as it is stored.
struct Job {
  std::string key;
  RepeatPolicy repeat = RepeatPolicy::at_most_once;
  double deadline = 0;  // no lease is granted from this time on
  State state = State::taken;
  std::uint64_t epoch = 0;         // of the newest lease or inquiry; only ever grows
  std::string worker;              // holder of the newest lease
  std::string ledger;              // id of the worker's ledger when the lease was granted; empty if unknown
  bool answers_inquiries = false;  // whether that worker can be asked about jobs
  double changed_at = 0;           // time of the last change of state
  std::string reason;              // reason for a final state, for operators
};

// Timing of leases and inquiries.
struct Settings {
  double lease_ms = 10'000;          // a lease expires this long after its last heartbeat
  double inquiry_interval_ms = 250;  // interval between inquiries to a worker
  double recovery_inquiry_ms =
      5'000;  // after a restart: how long the worker of an expired job is still asked
};

// Events -------------------------------------------------------------------------------------------------

// A client submitted a new job, or one that was refused before, in which case `epoch` is the one it had.
struct Submitted {
  std::string key;
  RepeatPolicy repeat = RepeatPolicy::at_most_once;
  double deadline = 0;
  std::uint64_t epoch = 0;
};
// A job was read from the store at startup.
struct Recovered {
  Job job;
};
// A job was read from the store while this process still runs its execution.
struct Resumed {
  Job job;
};
// The decision module chose this worker for the job.
struct WorkerChosen {
  std::string key, worker, ledger;
  bool answers_inquiries = false;
};
// A heartbeat arrived: `started` or `running`.
struct HeartbeatReceived {
  std::string key;
  std::uint64_t epoch = 0;
};
// Outcome of an execution. `not_started`: it is proved that nothing ran.
enum class ExecutionOutcome { done, failed, not_started, unknown };
// The execution under this lease ended.
struct LeasedExecutionEnded {
  std::string key;
  std::uint64_t epoch = 0;
  ExecutionOutcome outcome = ExecutionOutcome::unknown;
};
// The decision module answered without a result.
struct AnsweredWithoutResult {
  std::string key;
  bool refused = false;
};
// Worker's answer about a job. `never`: its ledger has no such job. `unreachable`: no answer came.
enum class InquiryAnswer { finished, failed, running, never, unknown, unreachable };
// The answer to an AskWorker of this epoch.
struct InquiryAnswered {
  std::string key;
  std::uint64_t epoch = 0;
  InquiryAnswer answer = InquiryAnswer::unreachable;
  std::string ledger;
};
// The client withdraws the job.
struct Withdrawn {
  std::string key;
};
// Time has passed; see next_due().
struct TimePassed {};

using Event =
    std::variant<Submitted, Recovered, Resumed, WorkerChosen, HeartbeatReceived, LeasedExecutionEnded,
                 AnsweredWithoutResult, InquiryAnswered, Withdrawn, TimePassed>;

// Effects ------------------------------------------------------------------------------------------------

// Hand the job to the decision module. Any earlier hand-over is void.
struct Dispatch {
  std::string key;
};
// Send the execution to the chosen worker, once all preceding records are on disk.
struct StartExecution {
  std::string key;
  std::uint64_t epoch = 0;
};
// Do not send the execution. Nothing of it ran.
struct CancelStart {
  std::string key;
};
// Remove the job from the decision module.
struct RetractFromModule {
  std::string key;
};
// Write the current state of the job to the store. `lazy`: it need not be synced at once.
struct WriteRecord {
  std::string key;
  bool lazy = false;
};
// Ask the worker about the job, once all preceding records are on disk. From then on the worker must not
// begin the job with an epoch below `epoch`.
struct AskWorker {
  std::string key, worker;
  std::uint64_t epoch = 0;
};
// The job has reached its final state: the owner notifies all waiting clients, then calls forget().
struct NotifyClients {
  std::string key;
};

using Effect = std::variant<Dispatch, StartExecution, CancelStart, RetractFromModule, WriteRecord, AskWorker,
                            NotifyClients>;

// All open jobs and their leases.
class LeaseTable {
 public:
  explicit LeaseTable(Settings settings) : settings_(settings) {}

  // Processes an event and appends the resulting effects, which the owner must carry out in order.
  void handle(double now, const Event& event, std::vector<Effect>& effects);
  // Time of the next TimePassed event that has work to do; nullopt if there is none.
  std::optional<double> next_due() const;

  // The open job with this key; nullptr if there is none.
  const Job* find(const std::string& key) const;
  // Removes a job that has reached its final state, once the record is written.
  void forget(const std::string& key);
  // Number of jobs in the table.
  std::size_t size() const { return jobs_.size(); }

 private:
  struct OpenJob {
    Job job;
    double lease_until_ms = 0;  // end of the lease
    double final_by_ms = 0;     // the job must be final by then
    double next_ask_ms = 0;
    bool awaiting_worker = false;  // an inquiry is open: only the worker's answer counts now
    bool is_recorded = false;      // the store has a record of it
    double due_ms = 0;             // its key in due_jobs_
  };

  void handle_event(double now, const Submitted& event);
  void handle_event(double now, const Recovered& event);
  void handle_event(double now, const Resumed& event);
  void handle_event(double now, const WorkerChosen& event);
  void handle_event(double now, const HeartbeatReceived& event);
  void handle_event(double now, const LeasedExecutionEnded& event);
  void handle_event(double now, const AnsweredWithoutResult& event);
  void handle_event(double now, const InquiryAnswered& event);
  void handle_event(double now, const Withdrawn& event);
  void handle_event(double now, const TimePassed& event);

  OpenJob* find_leased(const std::string& key, std::uint64_t epoch);
  OpenJob& add(Job job, double final_by_ms);
  void handle_due(double now, OpenJob& open);
  void set_state(double now, OpenJob& open, State state);
  void finalize(double now, OpenJob& open, State state, std::string why);
  void release_lease(double now, OpenJob& open);
  void resolve_doubt(double now, OpenJob& open, const std::string& why);
  void update_due(OpenJob& open);

  Settings settings_;
  std::map<std::string, OpenJob> jobs_;
  std::set<std::pair<double, std::string>> due_jobs_;
  std::vector<Effect>* effects_ = nullptr;  // set during handle() only
};

// Ends a job in doubt by an operator's decision. Returns false, with nothing changed, if it is not in doubt.
bool settle(Job& job, double now, bool as_finished, const std::string& who, const std::string& why);

}  // namespace woadtide::lease
