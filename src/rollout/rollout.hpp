// State machine of a staged rollout: which dispatcher runs which version, which orders come next, and what
// happens when a stage performs worse. Input is events with a timestamp, output is orders. It has no access
// to processes, sockets or the disk; its whole state can be serialized and restored. Invariants: README.md.
// All times are in milliseconds on the caller's clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace woadtide::rollout {

// A dispatcher that takes part in the rollout.
struct Member {
  std::string name, zone;
};

// The parameters of one rollout, fixed when it begins.
struct Plan {
  std::string change;  // identifies the rollout for its whole life
  std::vector<Member> members;
  std::vector<int> stages;  // cumulative number of changed members per stage; the last is all of them
  double baseline_ms = 0;   // before the first move; the members' usual behaviour is recorded in it
  double bake_ms = 60'000;  // minimum observation time of a stage
  double stage_timeout_ms = 600'000;  // after this without a verdict the rollout pauses
  double order_timeout_ms = 30'000;   // an unanswered order is repeated after this
  int max_attempts = 3;               // attempts per order before it counts as failed
};
// Returns what is invalid in the plan, in one line, or an empty string.
std::string plan_error(const Plan& plan);

// State of a member. on_old and on_new say which version it runs; moving and returning mean that an order is
// outstanding; kept_out means that it could not go back to the old version and was evacuated. States are
// stored by their position.
enum class MemberState { unchecked, on_old, moving, on_new, returning, kept_out };
// Phase of the rollout, stored by its position. `complete` and `back` are final.
enum class Phase { checking, moving, baking, rolling_back, complete, rolled_back };

// An instruction to a member's supervisor. Orders are idempotent.
struct Order {
  // Named as on the wire; stored by position.
  enum class Kind { check, move, go_back, keep_out } kind = Kind::check;
  std::string member;
  // Increases with each order. A supervisor refuses orders with a number below the highest that it has
  // received: one that was delayed, or was sent before the controller restarted, must not undo a later one.
  std::uint64_t number = 0;
  bool operator==(const Order&) const = default;
};

// Assessment of the current stage by the statistical comparison.
enum class StageAssessment { not_worse, worse, cannot_tell };

class Rollout {
 public:
  // Throws std::invalid_argument with the text of plan_error() if the plan is invalid.
  explicit Rollout(Plan plan);
  // Restores the state from serialize(). Throws std::invalid_argument if the text is malformed or of another
  // version.
  static Rollout parse(const std::string& text);
  // Returns the complete state as JSON.
  std::string serialize() const;

  // Events. Each returns the new orders; the caller must store serialize() before it sends them.

  // Time has passed: repeats unanswered orders and takes the next steps.
  std::vector<Order> tick(double now);
  // The result of an order. `why` is the error if `done` is false. A result for an order that is no longer
  // outstanding is ignored.
  std::vector<Order> on_order_result(double now, const Order& order, bool done, const std::string& why);
  // The observed status of a member: it may have crashed, or restarted with the other version.
  std::vector<Order> on_member_status(double now, const std::string& member, bool alive, bool runs_new);
  // The assessment of the current stage; `why` explains `worse`.
  std::vector<Order> on_assessment(double now, StageAssessment word, const std::string& why);
  // Operator command: pauses the rollout, without effect on a rollback. `why` may be empty.
  void pause(const std::string& why);
  // A member's supervisor has left the new version on its own; rolls back as for `worse`.
  std::vector<Order> on_fallback(double now, const std::string& member, const std::string& why);
  // Makes sure that new orders get numbers above `number`, which a supervisor has received from an earlier
  // state of the controller that is lost.
  void raise_order_number(std::uint64_t number) { last_order_number_ = std::max(last_order_number_, number); }
  // Returns the number of the latest order.
  std::uint64_t last_order_number() const { return last_order_number_; }
  // Operator commands: continue after a pause; roll back.
  std::vector<Order> resume(double now);
  std::vector<Order> abort(double now);
  // Returns all orders without a result. To be sent again after parse(); orders are idempotent.
  std::vector<Order> outstanding_orders() const;

  Phase phase() const { return phase_; }
  // Returns true if the phase is final.
  bool finished() const { return phase_ == Phase::complete || phase_ == Phase::rolled_back; }
  // Returns why the rollout is paused, or an empty string if it is not.
  const std::string& pause_reason() const { return pause_reason_; }
  // Returns why the rollout goes back or went back, or an empty string.
  const std::string& rollback_reason() const { return rollback_reason_; }
  // Returns the index of the current stage, from 0.
  int stage() const { return stage_; }
  const Plan& plan() const { return plan_; }
  // Returns the outstanding order of a member, if there is one.
  std::optional<Order> outstanding_order(const std::string& member) const;
  MemberState member_state(const std::string& member) const { return members_.at(member).state; }
  // Returns how many members are on the new version, or may be because an order is outstanding.
  int new_version_count() const;
  // Returns how many members the current stage allows on the new version.
  int allowed_on_new() const;

 private:
  struct MemberProgress {
    std::string zone;
    MemberState state = MemberState::unchecked;
    bool alive = true;
    std::optional<Order::Kind> order;  // outstanding
    std::uint64_t number = 0;          // of that order
    double ordered_at = 0;
    int attempts = 0;
  };
  Rollout() = default;

  std::vector<Order> next_orders(double now);
  void issue_order(double now, const std::string& member, Order::Kind kind, std::vector<Order>& orders);
  void roll_back(const std::string& why);
  bool may_leave_service(const std::string& zone) const;
  std::string next_member_to_move() const;
  std::string incomplete_stage_reason() const;
  void handle_order_failure(const std::string& member, Order::Kind kind, const std::string& why);

  Plan plan_;
  std::map<std::string, MemberProgress> members_;
  Phase phase_ = Phase::checking;
  int stage_ = 0;
  std::uint64_t last_order_number_ = 0;
  double first_tick_at_ = 0;
  double phase_started_at_ = 0;  // within the current stage
  std::string pause_reason_, rollback_reason_;
};

}  // namespace woadtide::rollout
