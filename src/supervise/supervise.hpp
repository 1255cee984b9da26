// State machine of a supervisor, the parent of one dispatcher's processes: which version should run, which
// child takes the clients, and what a crash, a change or a rollback leads to. Input is events with a
// timestamp, output is effects; it has no access to processes, sockets or the disk, and its state can be
// serialized and restored. Invariants: README.md. Times are in milliseconds on the caller's clock.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace woadtide::supervise {

// A program and its operator's file, copied into the supervisor's folder. `id` is a hash of their contents.
struct Version {
  std::string id, program, settings;  // settings: empty for none
  int protocol_version = 1;           // of its protocol with a sibling process of the same dispatcher
  bool operator==(const Version& other) const { return id == other.id; }
};

struct Limits {
  double ready_timeout_ms = 10'000;  // from the start of a child until it serves
  double stop_timeout_ms = 8'000;    // from SIGTERM until the child has ended; then SIGKILL
  double good_after_ms = 30'000;     // a version that has served this long can be fallen back to
  int max_crashes = 3;               // of a version that is not good yet; then the last good one is started
  double first_backoff_ms = 100;     // before the first start after a crash; doubled each time
  double max_backoff_ms = 5'000;
};

// An order from a controller. Orders are idempotent.
struct Order {
  // Named as on the wire.
  enum class Kind { check, move, go_back, keep_out } kind = Kind::check;
  std::string controller, change;
  std::uint64_t number = 0;       // orders below the highest number received are refused
  std::string program, settings;  // check: paths of the files to copy
  bool take_over = false;         // check: accept although another controller leads
};
// Conversion to and from the name of an order on the wire.
const char* name_of(Order::Kind kind);
std::optional<Order::Kind> order_kind_from(const std::string& name);

// What the owner of the state machine has to do.
struct Effect {
  enum class Kind {
    start,    // start a child with `version` in `slot` and pass it the listening socket
    term,     // send SIGTERM to the child in `slot`
    kill,     // send SIGKILL to it
    examine,  // copy `program` and `settings`, check that they can serve, then call on_examined()
  } kind = Kind::start;
  int slot = 0;
  Version version = {};
  std::uint64_t number = 0;  // examine: the number of the order
  std::string program = {}, settings = {};
};
using Effects = std::vector<Effect>;

enum class ChildState { none, starting, serving, stopping };
struct Child {
  ChildState state = ChildState::none;
  Version version;
  double state_since = 0;
  bool killed = false;
  std::uint64_t start_number = 0;  // among serving children the latest one started is active
};

class SupervisorCore {
 public:
  static constexpr int kSlots = 2;  // at most an old and a new child
  // Starts with `first` as the desired and the last good version.
  SupervisorCore(Version first, Limits limits);
  // Restores the state from serialize(). Throws std::invalid_argument if the text is malformed or of another
  // format.
  static SupervisorCore parse(const std::string& text, Limits limits);
  // Returns the stored part of the state as JSON; children are not included, see adopt().
  std::string serialize() const;

  // Before the first tick: registers a child that has survived the previous supervisor, serving or not yet.
  void adopt(double now, int slot, const Version& version);
  // Whether the supervisor holds the listening socket. Without it no child can be started beside another one;
  // the old child has to end first.
  void set_has_socket(bool has_socket) { has_socket_ = has_socket; }

  // Events. Each returns the effects to execute.

  // Time has passed: enforces timeouts and takes the next step.
  Effects tick(double now);
  // The child in `slot` accepts clients.
  Effects on_ready(double now, int slot);
  // The child in `slot` has ended.
  Effects on_exit(double now, int slot);
  // An order has arrived. Returns why it is refused, in one line, or an empty string. Appends the effects.
  std::string handle_order(double now, const Order& order, Effects& effects);
  // The result of an examination; `failure` is empty if the version can serve.
  Effects on_examined(double now, std::uint64_t number, const Version& version, const std::string& failure);
  // The dispatcher takes no clients: set by an operator, or observed at the child.
  void set_evacuated(bool evacuated) { evacuated_ = evacuated; }
  // Adds a worker to the excluded ones, or removes it.
  void set_excluded(const std::string& worker, bool out);
  // Planned shutdown: all children are stopped; shutdown_complete() returns true once they have ended.
  Effects begin_shutdown(double now);
  bool shutdown_complete() const;

  // Progress of the latest order, stored by its position.
  enum class Progress { none, working, done, failed };
  Progress progress() const { return progress_; }
  // Returns why the latest order failed, or an empty string.
  const std::string& failure_reason() const { return failure_reason_; }
  std::uint64_t last_order_number() const { return last_order_number_; }
  // Returns the id of the controller that leads, or an empty string.
  const std::string& controller() const { return controller_; }
  const std::string& change() const { return change_; }
  // The version that should run.
  const Version& desired() const { return desired_; }
  // The last version that served long enough.
  const Version& last_good() const { return last_good_; }
  // The version that the current change examined, and the one from before it.
  const std::optional<Version>& candidate() const { return candidate_; }
  const std::optional<Version>& previous() const { return previous_; }
  // Returns why the supervisor left the ordered version on its own, or an empty string if it did not.
  const std::string& fallback_reason() const { return fallback_reason_; }
  bool evacuated() const { return evacuated_; }
  const std::set<std::string>& excluded_workers() const { return excluded_workers_; }
  // Returns the number of unplanned process ends, including those under previous supervisors.
  int total_crashes() const { return total_crashes_; }
  const Child& child(int slot) const { return children_.at(static_cast<std::size_t>(slot)); }
  // Returns the slot of the child that takes the clients, or -1.
  int active_slot() const;

 private:
  SupervisorCore() = default;
  Effects converge(double now);
  void start(double now, int slot, Effects& effects);
  void request_stop(double now, int slot, Effects& effects);
  void handle_crash(double now);
  void fail_change(double now, const std::string& why);
  int free_slot() const;

  Limits limits_;
  std::array<Child, kSlots> children_;
  Version desired_, last_good_;
  std::optional<Version> candidate_, previous_;  // of the current change
  std::string controller_, change_;
  std::uint64_t last_order_number_ = 0, starts_ = 0;
  Order::Kind order_kind_ = Order::Kind::check;  // of the latest order
  Progress progress_ = Progress::none;
  std::string failure_reason_, fallback_reason_;
  std::set<std::string> excluded_workers_;
  bool evacuated_ = false, has_socket_ = true, shutting_down_ = false;
  int consecutive_crashes_ = 0, total_crashes_ = 0;
  double earliest_start_at_ = 0;
};

}  // namespace woadtide::supervise
