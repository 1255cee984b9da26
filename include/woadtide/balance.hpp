// woadtide: the decisions of one dispatcher that pushes jobs to workers.
//
// The owner feeds events with the time they happened and carries out the actions that come back, in
// order. The module does no I/O, reads no clock and starts no thread; the same settings, seed and events
// always give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace woadtide {

using Micros = std::chrono::microseconds;  // spans, and points on the owner's clock

// What repeating a job of this class does. Keyed: one group of workers discards repeats for a window.
enum class Effect { safe, keyed, unsafe };
enum class Group { all, zone, cell };

struct ClassSettings {
  std::optional<Micros> aim;  // absent: no aim is told and one fixed threshold serves
  double stretch = 0;         // the aim grows by this multiple of the job's running time
  Micros deadline{0};
  double worth = 1;       // of a job, against those of other classes
  double late_worth = 1;  // share of a job's worth that an answer past the aim still earns
  Effect effect = Effect::unsafe;
  Group group = Group::all;  // keyed: which workers discard a repeat
  Micros window{0};          // keyed: for how long, from the first send that may have run
  std::string kind;          // the one kind of worker that runs it; empty: any
};

struct Settings {
  int dispatchers = 1;  // how many share the workers, this one included
  int number = 0;       // this one's place among them, from 0
  std::string zone;
  std::vector<ClassSettings> classes;
  bool list_on_request = false;  // the list must be asked for
  Micros must_ask_within{0};     // with list_on_request: ask at least this often while not subscribed
  // With list_on_request: a change of the list binds so long after discovery had it and could be reached,
  // heard of or not. 0: only what was heard binds.
  Micros list_binds_after{0};
  // A list that this process only remembers is not in force: what discovery has binds from the first moment.
  bool list_must_be_told = false;
  Micros tick{1000};  // least gap between two batches of events
  // A worker that starts has start_capacity of its capacity and all of it after cold_time; sent more than
  // fall_multiple of what it has at the moment for fall_after, it falls.
  double start_capacity = 1;
  Micros cold_time{0};
  double fall_multiple = 1;
  Micros fall_after{0};
  int max_attempts = 1;
  bool may_cancel = false;
  bool may_probe = false;
  bool second_copies = false;
  bool tells_start = false;  // workers tell when a job starts
  Micros progress_every{0};  // gap between progress notes; 0: none
  Micros max_retry_after{0};
  double cross_zone_price = 0;  // share of a request's worth that crossing zones costs
  // For the owner's links to workers, where it has any; the module has no use for them. 0: not told.
  Micros connect_timeout{0};
  Micros link_idle{0};                         // a worker closes a link that has stood idle for this long
  std::string report_x0 = {}, report_x1 = {};  // what these values of a worker's load report mean
};

// Throws std::invalid_argument, naming the setting, when one cannot be right.
void check(const Settings& settings);

// Events ------------------------------------------------------------------------------------------------

// interrupted: the watch broke off, and its owner is opening it anew. failed: the owner waits to be asked
// again.
enum class ListKind { changes, full, remembered, interrupted, failed };
enum class WorkerState { ready, draining, gone };

struct ListEntry {
  std::string worker;
  std::string zone = {};
  std::string kind = {};
  std::int64_t cell = 0;
  WorkerState state = WorkerState::ready;
  double weight = 1;
  std::optional<Micros> started = {};  // absent: long ago
};
struct ListUpdate {
  ListKind kind = ListKind::full;
  std::vector<ListEntry> entries;
  // remembered, interrupted, failed: when it was last certain that discovery could tell nothing newer, as it
  // was heard, or was down. Absent: nothing new is known of that.
  std::optional<Micros> as_of = {};
};

struct LoadReport {  // absent: not reported here
  std::optional<double> queue, utilization, free_slots, free_memory;
  std::optional<double> held;                     // jobs in work there, waiting ones too
  std::optional<double> served_per_s, latency_s;  // of late; with the time in the queue
};

struct Request {
  std::string id;
  std::size_t class_index = 0;  // into Settings::classes
  double slots = 1;
  std::optional<Micros> hint = {};  // hinted running time on a standard core
  Micros time_left{0};
};
struct RequestGone {  // nothing more is owed for it
  std::string id;
};

enum class Status { ok, error, full, timeout, connect_failed, reset, cancelled, moot };
// An attempt that ended so never ran: it may be sent again, whatever its class.
inline bool proves_not_run(Status status) {
  return status == Status::full || status == Status::connect_failed || status == Status::moot;
}
struct Outcome {
  std::string id;
  int attempt = 0;
  Status status = Status::ok;
  Micros latency{0};
  bool closed = false;  // the request is finished
  std::optional<LoadReport> load;
};
struct StreamStarted {  // the client owns the attempt from here on
  std::string id;
  int attempt = 0;
};
struct JobStarted {  // the job left the worker's queue
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
struct Exclude {  // an operator's ban: nothing more to this worker, whatever the list says
  std::string worker;
};
struct Include {  // the worker may serve again; it is taken to be cold
  std::string worker;
};
// How many processes take clients as this dispatcher, in an upgrade: what is due to a cold worker is due to
// them together.
struct Sharers {
  int processes = 1;
};
struct TimerFired {
  std::string token;
};

using Event = std::variant<ListUpdate, Request, RequestGone, Outcome, StreamStarted, JobStarted, JobProgress,
                           ProbeResult, Exclude, Include, Sharers, TimerFired>;

// Actions -----------------------------------------------------------------------------------------------

struct Send {  // attempts of a request are numbered 0, 1, 2 ... in the order of their sends
  std::string id;
  std::string worker;
  Micros timeout{0};  // 0: till the client gives up
  // A repeat that only a window guards must have begun by then; else it is not sent: Status::moot. 0: none.
  Micros not_after{0};
};
struct Refuse {  // final: a retry does no harm
  std::string id;
  Micros retry_after{0};
};
struct Fail {  // final: no promise about what it did
  std::string id;
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
struct Probe {
  std::string worker;
};
struct Watch {};  // subscribe to the list's changes
struct SetTimer {
  std::string token;
  Micros at{0};
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, Watch, SetTimer, Log>;

// The workers on the list, draining ones too, and those of them that get nothing now, by hand or by choice.
struct Census {
  int listed = 0, avoided = 0;
};

class Dispatcher {
 public:
  // Throws as check() does.
  Dispatcher(Settings settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Appends to `actions` what to do about `event`. The owner calls it in the order of events; `now` never
  // goes back. The first call may be any event; the list's first copy usually is.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // Whether a worker of this name is known, from the list or by a ban.
  bool knows(const std::string& worker) const;

  Census census(Micros now) const;

  // Slots of ours out at all workers: zero when nothing is out.
  double slots_out() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace woadtide
