// The decisions of one dispatcher that pushes jobs to workers: where each job goes, when it is refused, and
// when it is sent again.
//
// The owner passes each event with the time it happened and carries out the returned actions in order. The
// module does no I/O, reads no clock and starts no thread. The same settings, seed and events always give the
// same actions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace woadtide {

using Micros = std::chrono::microseconds;  // time spans, and points in time on the owner's clock

// Whether a job of a class may run more than once. safe: any number of times. keyed: repeats are discarded
// within one group of workers for a limited window. unsafe: at most once.
enum class Effect { safe, keyed, unsafe };
// For keyed classes: the workers that discard each other's repeats.
enum class Group { all, zone, cell };

struct ClassSettings {
  // Aim for the latency. Absent: none is known, and half of `deadline` serves as the fixed latency threshold.
  std::optional<Micros> aim;
  double stretch = 0;  // the aim grows by this multiple of the job's running time
  Micros deadline{0};
  double worth = 1;       // worth of a job relative to those of other classes
  double late_worth = 1;  // share of that worth which an answer later than the aim still earns
  Effect effect = Effect::unsafe;
  Group group = Group::all;  // keyed only: which workers discard a repeat
  Micros window{0};          // keyed only: for how long, from the first send that may have run
  std::string kind;          // the only kind of worker that runs the class; empty: any
};

struct Settings {
  int dispatchers = 1;  // number of dispatchers that share the workers, including this one
  int number = 0;       // this dispatcher's index among them, from 0
  std::string zone;     // this dispatcher's zone
  std::vector<ClassSettings> classes;
  bool list_on_request = false;  // the list arrives only after a Watch action
  Micros must_ask_within{0};     // with list_on_request: longest time between requests while not subscribed
  // With list_on_request: a change of the list is binding this long after discovery had it and could be
  // reached, whether or not the change was received. 0: only received changes are binding.
  Micros list_binds_after{0};
  // A list that this process only remembers is not in force, as the newer one that discovery may have is
  // binding from the start.
  bool list_must_be_told = false;
  Micros tick{1000};  // shortest time between two batches of events
  // A worker starts with start_capacity (a share, 0 to 1) of its capacity, which grows to all of it over
  // cold_time. It breaks down when it is sent more than fall_multiple times its present capacity for
  // fall_after.
  double start_capacity = 1;
  Micros cold_time{0};
  double fall_multiple = 1;
  Micros fall_after{0};
  int max_attempts = 1;        // per request
  bool may_cancel = false;     // the owner carries out Cancel
  bool may_probe = false;      // the owner carries out Probe
  bool second_copies = false;  // two attempts of a request may be outstanding at the same time
  bool tells_start = false;    // workers report when a job starts
  Micros progress_every{0};    // time between two progress reports; 0: none
  Micros max_retry_after{0};
  double cross_zone_price = 0;  // share of a request's worth that crossing zones costs
  // For the owner's links to workers, if it has any; the module does not use them. 0: not set.
  Micros connect_timeout{0};
  Micros link_idle{0};                         // a worker closes a link that has been idle for this long
  std::string report_x0 = {}, report_x1 = {};  // meaning of these values in a worker's load report
};

// Throws std::invalid_argument that names the setting when a value is invalid.
void check(const Settings& settings);

// Events ------------------------------------------------------------------------------------------------

// changes: the entries that changed. full: the whole list. remembered: a whole list that the owner kept.
// interrupted: the subscription was interrupted, and the owner is already opening it again. failed: the
// subscription failed, and the owner waits for a Watch action.
enum class ListKind { changes, full, remembered, interrupted, failed };
// draining and gone: nothing new is sent to the worker.
enum class WorkerState { ready, draining, gone };

struct ListEntry {
  std::string worker;
  std::string zone = {};
  std::string kind = {};
  std::int64_t cell = 0;
  WorkerState state = WorkerState::ready;
  double weight = 1;                   // size relative to other workers
  std::optional<Micros> started = {};  // absent: long ago
};
struct ListUpdate {
  ListKind kind = ListKind::full;
  std::vector<ListEntry> entries;
  // For remembered, interrupted and failed: the last time at which discovery surely had no newer list, as
  // this one had just been received or discovery was down. Absent: nothing new is known.
  std::optional<Micros> as_of = {};
};

// Load that a worker reports. Absent: not reported here.
struct LoadReport {
  std::optional<double> queue, utilization, free_slots, free_memory;
  std::optional<double> held;                     // jobs in the worker, including queued ones
  std::optional<double> served_per_s, latency_s;  // recent; the latency includes time in the queue
};

// A request that has just arrived.
struct Request {
  std::string id;
  std::size_t class_index = 0;      // into Settings::classes
  double slots = 1;                 // of a worker that the job occupies while it runs
  std::optional<Micros> hint = {};  // hinted running time on a standard core
  Micros time_left{0};              // until its deadline
};
// The client no longer waits for the request: no Refuse or Fail follows.
struct RequestGone {
  std::string id;
};

// How an attempt ended. full: the worker turned it away. not_started: Send::not_after had passed before
// the start.
enum class Status { ok, error, full, timeout, connect_failed, reset, cancelled, not_started };
// Whether an attempt that ended with `status` certainly did not run, so that it may be sent again whatever
// its class.
inline bool proves_not_run(Status status) {
  return status == Status::full || status == Status::connect_failed || status == Status::not_started;
}
struct Outcome {
  std::string id;
  int attempt = 0;
  Status status = Status::ok;
  Micros latency{0};
  bool closed = false;  // the request is finished
  std::optional<LoadReport> load;
};
// The answer began to stream to the client, which owns the attempt from here on.
struct StreamStarted {
  std::string id;
  int attempt = 0;
};
// The job left the worker's queue.
struct JobStarted {
  std::string id;
  int attempt = 0;
};
struct JobProgress {
  std::string id;
  int attempt = 0;
};
struct ProbeResult {
  std::string worker;
  Status status = Status::ok;
  std::optional<LoadReport> load;
};
// An operator excludes the worker: nothing more is sent to it, whatever the list says.
struct Exclude {
  std::string worker;
};
// An operator reinstates the worker, which counts as cold.
struct Include {
  std::string worker;
};
// Number of processes that take clients as this dispatcher, during a hot restart. Together they send to a
// cold worker what one process would.
struct SharingProcesses {
  int processes = 1;
};
struct TimerFired {
  std::string token;
};

using Event = std::variant<ListUpdate, Request, RequestGone, Outcome, StreamStarted, JobStarted, JobProgress,
                           ProbeResult, Exclude, Include, SharingProcesses, TimerFired>;

// Actions -----------------------------------------------------------------------------------------------

// Send an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their sends.
struct Send {
  std::string id;
  std::string worker;
  Micros timeout{0};  // 0: until the client gives up
  // Latest start of a repeat that only a deduplication window makes harmless. When the time has passed, it is
  // not sent and ends with Status::not_started. 0: no such limit.
  Micros not_after{0};
};
// Ends the request; a retry does no harm.
struct Refuse {
  std::string id;
  Micros retry_after{0};
};
// Ends the request, which may or may not have had an effect.
struct Fail {
  std::string id;
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
// Ask the worker for its load; the answer is a ProbeResult.
struct Probe {
  std::string worker;
};
struct Watch {};  // subscribe to the list's changes
// Pass a TimerFired at this time. Replaces an earlier timer of the same token; where the owner passes both,
// the earlier one has no effect.
struct SetTimer {
  std::string token;
  Micros at{0};
};
// What the timer was set for has ended. Where the owner lets it fire all the same, it has no effect.
struct CancelTimer {
  std::string token;
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, Watch, SetTimer, CancelTimer, Log>;

// listed: workers on the list, including draining ones. avoided: those of them to which nothing is sent now,
// as an operator excluded them or they are ejected for all classes.
struct WorkerCounts {
  int listed = 0, unavailable = 0;
};

// How much the module holds. All but the open jobs has a fixed bound for each worker or in all.
struct StateSizes {
  std::size_t open_jobs = 0;           // requests that are unanswered, or have attempts outstanding
  std::size_t abandoned_attempts = 0;  // at all workers, until their jobs should be over
  std::size_t latency_samples = 0;     // of the sampling windows of all workers
  std::size_t learned_groups = 0;      // kinds and zones of workers of which something is learned
  std::size_t exclusions = 0;          // of workers by an operator, with lifted ones of unlisted workers
};

class Dispatcher {
 public:
  // Throws as check() does. `seed` is that of the random numbers.
  Dispatcher(Settings settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Appends to `actions` what to do about `event`. Events must be passed in order, and `now` must never
  // decrease. The first call may be any event, and usually is the first list.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // Whether a worker of this name is known, from the list or by an exclusion.
  bool knows(const std::string& worker) const;

  // Counts the workers as of `now`.
  WorkerCounts worker_counts(Micros now) const;

  // Counts what is held.
  StateSizes state_sizes() const;

  // Slots of this dispatcher's outstanding attempts at all workers; exactly zero when none is outstanding.
  double slots_out() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace woadtide
