// The parent of one dispatcher's processes: which version is to run, which child leads, what a crash, a
// change or the way back mean. Events and a time in, effects out; it knows no process, no socket and no disk,
// and its state goes into a text and comes back from it. Invariants are in README.md.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace woadtide::supervise {

// A program and its operator's file, copied into the supervisor's folder; `id` is made from their contents.
struct Version {
  std::string id, program, settings;  // settings: empty for none
  int kin = 1;                        // what it speaks to another process of the same dispatcher
  bool operator==(const Version& other) const { return id == other.id; }
};

struct Limits {
  double ready_ms = 10'000;        // from a start until it serves
  double end_ms = 8'000;           // from SIGTERM until it has ended, then SIGKILL
  double good_ms = 30'000;         // a version that served so long is one to go back to
  int crashes = 3;                 // of a version that is not good yet: then it goes back by itself
  double backoff_ms = 100;         // before the first start after a crash, twice as long each time
  double most_backoff_ms = 5'000;  // at most
};

// From a controller. Carrying one out twice does no harm.
struct Order {
  enum class Kind { check, move, go_back, keep_out } kind = Kind::check;
  std::string controller, change;
  std::uint64_t number = 0;       // those below the newest that was heard are refused
  std::string program, settings;  // check: the files to take
  bool take_over = false;         // check: from another controller
};
const char* word_of(Order::Kind kind);
std::optional<Order::Kind> order_kind_of(const std::string& word);

struct Effect {
  enum class Kind {
    start,    // a child with `version` in `slot`, with the listening socket
    term,     // SIGTERM to the child in `slot`
    kill,     // SIGKILL
    examine,  // copy `program` and `settings` and look whether they can serve; then examined()
  } kind = Kind::start;
  int slot = 0;
  Version version = {};
  std::uint64_t number = 0;
  std::string program = {}, settings = {};
};
using Effects = std::vector<Effect>;

enum class Stands { none, starting, serving, leaving };
struct Child {
  Stands stands = Stands::none;
  Version version;
  double since = 0;
  bool killed = false;
  std::uint64_t turn = 0;  // the newest that serves leads
};

class Core {
 public:
  static constexpr int kSlots = 2;  // an old and a new child, never more
  Core(Version first, Limits limits);
  // From text(), for the next life of the supervisor. Throws std::invalid_argument.
  static Core from(const std::string& text, Limits limits);
  std::string text() const;

  // Before the first tick: a child that lives on from the former supervisor, serving or about to.
  void adopt(double now, int slot, const Version& version);
  // Without the socket no child can be started beside another: it has to end first.
  void set_socket(bool held) { has_socket_ = held; }

  Effects tick(double now);
  Effects serves(double now, int slot);
  Effects ended(double now, int slot);
  // Why it is refused, in a line; empty: taken. What it leads to comes with the next tick.
  std::string ordered(double now, const Order& order, Effects& effects);
  // `why`: empty where it can serve.
  Effects examined(double now, std::uint64_t number, const Version& version, const std::string& why);
  void evacuate(bool out) { evacuated_ = out; }  // an operator's word, or seen at the child
  void exclude(const std::string& worker, bool out);
  // The planned end: all children, and over() once they are gone.
  Effects end(double now);
  bool over() const;

  enum class Progress { none, working, done, failed };
  Progress progress() const { return progress_; }
  const std::string& why() const { return why_; }  // of a failure
  std::uint64_t newest() const { return newest_; }
  const std::string& controller() const { return controller_; }
  const std::string& change() const { return change_; }
  const Version& wanted() const { return wanted_; }
  const Version& good() const { return good_; }
  const std::optional<Version>& candidate() const { return candidate_; }
  const std::optional<Version>& before() const { return before_; }
  // Of the version asked for: why it left it, by itself; empty: it did not.
  const std::string& fell_back() const { return fell_back_; }
  bool evacuated() const { return evacuated_; }
  const std::set<std::string>& excluded() const { return excluded_; }
  int crashes() const { return all_crashes_; }  // ends that nobody ordered, in all lives
  const Child& child(int slot) const { return children_.at(static_cast<std::size_t>(slot)); }
  // The child that takes the clients; -1: none.
  int lead() const;

 private:
  Core() = default;
  Effects steer(double now);
  void start(double now, int slot, Effects& effects);
  void ask_to_end(double now, int slot, Effects& effects);
  void crashed(double now);
  void failed(double now, const std::string& why);
  int free_slot() const;

  Limits limits_;
  std::array<Child, kSlots> children_;
  Version wanted_, good_;
  std::optional<Version> candidate_, before_;  // of the change that goes on
  std::string controller_, change_;
  std::uint64_t newest_ = 0, turns_ = 0;
  Order::Kind doing_ = Order::Kind::check;
  Progress progress_ = Progress::none;
  std::string why_, fell_back_;
  std::set<std::string> excluded_;
  bool evacuated_ = false, has_socket_ = true, ending_ = false;
  int crashes_ = 0, all_crashes_ = 0;  // crashes_: in a row
  double not_before_ = 0;              // of the next start
};

}  // namespace woadtide::supervise
