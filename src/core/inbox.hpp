// The one way into the decision loop: a queue that any thread may put messages into.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <utility>
#include <variant>

#include "core/clock.hpp"
#include "core/kin.hpp"
#include "core/query.hpp"

namespace woadtide::core {

struct QueryArrived {
  Query query;
  std::shared_ptr<Asker> asker;
};
struct ClientGone {  // closed its link before the answer
  std::string query;
  std::shared_ptr<Asker> asker;  // whose: another client may have sent the same id
};
struct ExecutionSent {  // its last byte was handed over
  ExecutionKey key;
};
struct ExecutionStarted {
  ExecutionKey key;
};
struct ExecutionProgress {
  ExecutionKey key;
};
struct ExecutionEnded {
  ExecutionKey key;
  woadtide::Status status = woadtide::Status::error;
  std::string result;       // with Status::ok
  bool bad_query = false;   // the worker found the query itself wrong
  bool failed = false;      // the worker said that it ran and failed
  std::string report = {};  // of its load, as the worker wrote it: `name=value,name=value`
};
struct ProbeEnded {
  std::string worker;
  woadtide::Status status = woadtide::Status::error;
  std::string report = {};  // as the worker wrote it: `name=value,name=value`
};
struct ListTold {
  woadtide::ListUpdate update;
};
struct KinJoined {};  // another process of this dispatcher lives: it is told all that it must know
struct KinSaid {
  Word word;
};
struct Sharers {  // how many processes of this dispatcher take clients, this one counted
  int processes = 1;
};
struct OperatorCall {
  enum class Kind { exclude, include, telemetry, figures };
  Kind kind = Kind::exclude;
  std::string worker = {};
  std::promise<std::string> answer;  // kept once the call holds: whole lines
};
struct FinishAll {};  // the process is about to end: what is still open is answered now

using Message =
    std::variant<QueryArrived, ClientGone, ExecutionSent, ExecutionStarted, ExecutionProgress, ExecutionEnded,
                 ProbeEnded, ListTold, KinJoined, KinSaid, Sharers, OperatorCall, FinishAll>;

class Inbox {
 public:
  static constexpr std::size_t kManyWaiting = 4096;

  // Who empties it, and is called, on the thread that puts, where that has to be done. An owner that ends
  // before those who put sets none: from the return on nobody calls the former one. Not from within the call.
  void set_owner(std::function<void()> call) {
    const std::unique_lock lock(owner_mutex_);
    call_ = std::move(call);
  }

  // Whether the owner is called for it, or finds it with the next message that it is called for.
  enum class Call { now, with_next };

  // Every link has at most a query and an ending on the way, so this stays bounded by the links.
  void put(Message message, Call call = Call::now) {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    if (call == Call::now) call_owner();
  }
  // For news that can be done without: dropped where so much is waiting that a peer must be flooding us.
  void put_hint(Message message, Call call = Call::now) {
    {
      const std::lock_guard lock(mutex_);
      if (messages_.size() >= kManyWaiting) return;
      messages_.push_back(std::move(message));
    }
    if (call == Call::now) call_owner();
  }
  // All that has come, in order.
  std::deque<Message> take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(messages_, {});
  }
  // For an owner that has nothing else to wait for: until something has come, `ms` at the longest.
  void wait(double ms) {
    std::unique_lock lock(mutex_);
    came_.wait_for(lock, std::chrono::duration<double, std::milli>(ms),
                   [this] { return !messages_.empty(); });
  }

 private:
  void call_owner() {
    const std::shared_lock lock(owner_mutex_);
    call_ ? call_() : came_.notify_one();
  }

  std::shared_mutex owner_mutex_;  // shared while the owner is called: who takes it back waits for that
  std::function<void()> call_;
  std::mutex mutex_;
  std::condition_variable came_;
  std::deque<Message> messages_;
};

}  // namespace woadtide::core
