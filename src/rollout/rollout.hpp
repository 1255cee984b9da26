// A change of program or settings on its way through the fleet: who is on what, what is next, and what to do
// when a stage does worse. Events and a time in, orders out. It knows no process, no socket and no disk; its
// whole state goes into a text and comes back from it. Invariants are in README.md.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace woadtide::rollout {

struct Member {
  std::string name, zone;
};

struct Plan {
  std::string change;  // its name, the same as long as it lives
  std::vector<Member> members;
  std::vector<int> stages;       // how many have the new version after each; the last one: all
  double look_ms = 0;            // from its begin until the first is moved: how all do before is learnt in it
  double bake_ms = 60'000;       // how long a stage is looked at, at least
  double patience_ms = 600'000;  // and at most, before the change pauses with `cannot tell`
  double step_ms = 30'000;       // an order that has not been answered by then is given again
  int tries = 3;                 // of an order, before it has failed
};
// What is wrong with it, in one line; empty: nothing.
std::string wrong_with(const Plan& plan);

// Where a member stands. on_old and on_new are what it runs; moving and returning have an order out.
enum class Place { unchecked, on_old, moving, on_new, returning, left };  // left: could not go back, kept out
enum class Phase { checking, moving, baking, going_back, complete, back };

struct Order {
  enum class Kind { check, move, go_back, keep_out } kind = Kind::check;
  std::string member;
  // Grows with each order. Who carries one out refuses those below the newest that it has heard of: what was
  // held up on its way, or comes from an earlier life of the controller, must not undo what came after.
  std::uint64_t number = 0;
  bool operator==(const Order&) const = default;
};

enum class Word { not_worse, worse, cannot_tell };

class Rollout {
 public:
  // Throws std::invalid_argument, with wrong_with().
  explicit Rollout(Plan plan);
  // From text(). Throws std::invalid_argument where it is none, or of a version that this one does not read.
  static Rollout from(const std::string& text);
  std::string text() const;

  // Each returns the orders that are new. Whoever carries them out writes text() down before.
  std::vector<Order> tick(double now);
  // An order's answer. One that nobody waits for any more changes nothing.
  std::vector<Order> answered(double now, const Order& order, bool done, const std::string& why);
  // What a member was found to run, asked by itself; it may have been killed, or come back with the old
  // version.
  std::vector<Order> found(double now, const std::string& member, bool alive, bool runs_new);
  std::vector<Order> judged(double now, Word word, const std::string& why);
  void pause(const std::string& why);
  // A member has left the new version by itself: a word on the change as a verdict's is.
  std::vector<Order> fell_back(double now, const std::string& member, const std::string& why);
  // Orders have gone out up to this number, from a life of which nothing else is known.
  void raise(std::uint64_t number) { numbers_ = std::max(numbers_, number); }
  std::uint64_t newest() const { return numbers_; }
  std::vector<Order> resume(double now);
  std::vector<Order> abort(double now);
  // After a start from text(): all that was ordered and not answered. Orders may be carried out twice.
  std::vector<Order> outstanding() const;

  Phase phase() const { return phase_; }
  bool over() const { return phase_ == Phase::complete || phase_ == Phase::back; }
  // Why it waits; empty where it does not.
  const std::string& paused() const { return paused_; }
  // Why it goes back, or went.
  const std::string& reason() const { return reason_; }
  int stage() const { return stage_; }
  const Plan& plan() const { return plan_; }
  // The order that a member has out.
  std::optional<Order> out(const std::string& member) const;
  Place place(const std::string& member) const { return members_.at(member).place; }
  // New or on the way to it, and how many may be by the stage.
  int on_new() const;
  int allowed() const;

 private:
  struct State {
    std::string zone;
    Place place = Place::unchecked;
    bool alive = true;
    std::optional<Order::Kind> order;
    std::uint64_t number = 0;
    double ordered_at = 0;
    int tries = 0;
  };
  Rollout() = default;

  std::vector<Order> next(double now);
  void give(double now, const std::string& member, Order::Kind kind, std::vector<Order>& orders);
  void turn_back(const std::string& why);
  bool may_leave(const std::string& zone) const;
  std::string next_member() const;
  std::string waited_for() const;
  void order_failed(const std::string& member, Order::Kind kind, const std::string& why);

  Plan plan_;
  std::map<std::string, State> members_;
  Phase phase_ = Phase::checking;
  int stage_ = 0;
  std::uint64_t numbers_ = 0;
  double began_ = 0;  // its first tick
  double since_ = 0;  // of the phase, in this stage
  std::string paused_, reason_;
};

}  // namespace woadtide::rollout
