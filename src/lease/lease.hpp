// The life of durable jobs: who holds the lease of each open one, what every event means for it, what
// recovery does with it. Events and a time in, effects out. It must not know sockets, disk, threads or
// clocks; the Keeper (src/jobs) carries out what it says. The invariants are in docs/design/durable-jobs.md.
//
// Times are milliseconds on the owner's clock, which never goes back. An unknown key, or an epoch that is not
// the job's newest, changes nothing: both are news of what is over.
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

enum class State { taken, leased, running, finished, failed, in_doubt, refused };
enum class Repeat { safe, once };

inline bool is_final(State state) { return state >= State::finished; }
const char* name_of(State state);  // "in-doubt"
std::optional<State> state_of(const std::string& name);

struct Job {
  std::string key;
  Repeat repeat = Repeat::once;
  double deadline = 0;  // no lease is given from here on
  State state = State::taken;
  std::uint64_t epoch = 0;  // of the newest lease or question; only ever grows
  std::string worker;       // that the newest lease is at
  std::string ledger;       // id of the worker's ledger when it was given; empty: not known
  bool answers = false;     // that worker can be asked about jobs
  double changed = 0;       // when its state last changed
  std::string why;          // of a final state, for people
};

struct Settings {
  double lease_ms = 10'000;    // a lease lasts this long from its last heartbeat
  double ask_every_ms = 250;   // gap between two questions to a worker
  double late_ask_ms = 5'000;  // after a start: how long a job whose time is over is still asked for
};

// Events -------------------------------------------------------------------------------------------------

// A new job, or one that was refused before: then `epoch` is the one it had.
struct Take {
  std::string key;
  Repeat repeat = Repeat::once;
  double deadline = 0;
  std::uint64_t epoch = 0;
};
struct Recovered {  // read from the store at the start
  Job job;
};
struct Resumed {  // the same, but this very process still has its execution out
  Job job;
};
struct Chosen {  // the module wants it to go to this worker
  std::string key, worker, ledger;
  bool answers = false;
};
struct Heard {  // a heartbeat: `started` or `running`
  std::string key;
  std::uint64_t epoch = 0;
};
enum class End { done, failed, not_run, unknown };
struct Ended {  // the execution under this lease
  std::string key;
  std::uint64_t epoch = 0;
  End end = End::unknown;
};
struct GivenUp {  // the module answers without a result
  std::string key;
  bool refused = false;
};
enum class Says { finished, failed, running, never, unknown, unreachable };
struct Answered {  // to an Ask of this epoch
  std::string key;
  std::uint64_t epoch = 0;
  Says says = Says::unreachable;
  std::string ledger;
};
struct Withdraw {
  std::string key;
};
struct Tick {};

using Event = std::variant<Take, Recovered, Resumed, Chosen, Heard, Ended, GivenUp, Answered, Withdraw, Tick>;

// Effects ------------------------------------------------------------------------------------------------

struct Dispatch {  // hand it to the module; any earlier handing in is void
  std::string key;
};
struct Start {  // the execution that the module chose may go to its worker, once all Writes are on the disk
  std::string key;
  std::uint64_t epoch = 0;
};
struct Unsend {  // it must not go: nothing ran of it
  std::string key;
};
struct Retract {  // the module shall think no more of it
  std::string key;
};
struct Write {  // the job as it is now; `lazy`: no need to hurry
  std::string key;
  bool lazy = false;
};
struct Ask {  // its worker, once all Writes are on the disk; the worker shall begin nothing of it below
              // `epoch`
  std::string key, worker;
  std::uint64_t epoch = 0;
};
struct Tell {  // it has come to its final state: the owner tells all who wait, then forgets it
  std::string key;
};

using Effect = std::variant<Dispatch, Start, Unsend, Retract, Write, Ask, Tell>;

class Table {
 public:
  explicit Table(Settings settings) : settings_(settings) {}

  // Appends to `effects` what to do, in order.
  void handle(double now, const Event& event, std::vector<Effect>& effects);
  // When the next Tick has work; nullopt: never.
  std::optional<double> next_due() const;

  const Job* find(const std::string& key) const;
  // A job that has come to its final state, once that is written.
  void forget(const std::string& key);
  std::size_t size() const { return jobs_.size(); }

 private:
  struct Open {
    Job job;
    double until = 0;    // end of the lease
    double give_up = 0;  // by when it must be final
    double ask_at = 0;
    bool asking = false;  // only the worker's word counts now
    bool written = false;
    double due = 0;  // its place in due_
  };

  void on(double now, const Take& event);
  void on(double now, const Recovered& event);
  void on(double now, const Resumed& event);
  void on(double now, const Chosen& event);
  void on(double now, const Heard& event);
  void on(double now, const Ended& event);
  void on(double now, const GivenUp& event);
  void on(double now, const Answered& event);
  void on(double now, const Withdraw& event);
  void on(double now, const Tick& event);

  Open* leased(const std::string& key, std::uint64_t epoch);
  Open& add(Job job, double give_up);
  void tick_one(double now, Open& open);
  void set(double now, Open& open, State state);
  void finish(double now, Open& open, State state, std::string why);
  void release(double now, Open& open);
  void doubt(double now, Open& open, const std::string& why);
  void schedule(Open& open);

  Settings settings_;
  std::map<std::string, Open> jobs_;
  std::set<std::pair<double, std::string>> due_;
  std::vector<Effect>* out_ = nullptr;  // during handle()
};

// A person ends a job in doubt. False, and nothing changed, where it is not in doubt.
bool settle(Job& job, double now, bool as_finished, const std::string& who, const std::string& why);

}  // namespace woadtide::lease
