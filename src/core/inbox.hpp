// Message queue of the decision loop, and the messages in it. It is the only way into the loop; any thread
// may add to it.
#pragma once

#include <condition_variable>
#include <cstdint>
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

// A client sent a query. The answer goes to the reply callback.
struct QueryReceived {
  Query query;
  std::shared_ptr<ReplyCallback> reply_callback;
};
// A client closed its link before the answer.
struct ClientDisconnected {
  std::string query;
  std::shared_ptr<ReplyCallback> reply_callback;  // tells it from another client that sent the same query id
};
// The last byte of an execution was passed to the kernel.
struct ExecutionSent {
  ExecutionKey key;
};
// The worker reported that it has started the execution.
struct ExecutionStarted {
  ExecutionKey key;
};
// The worker reported that the execution is still running.
struct ExecutionProgress {
  ExecutionKey key;
};
// An execution ended. Sent once for each execution.
struct ExecutionEnded {
  ExecutionKey key;
  woadtide::Status status = woadtide::Status::error;
  std::string result;            // only with Status::ok
  bool bad_query = false;        // the worker rejected the query itself as invalid
  bool failed = false;           // the worker reported that the execution ran and failed
  std::string load_report = {};  // load report as the worker sent it: `name=value,name=value`; may be empty
};
// A probe of a worker ended.
struct ProbeEnded {
  std::string worker;
  woadtide::Status status = woadtide::Status::error;
  std::string load_report = {};  // load report as the worker sent it: `name=value,name=value`
};
// Service discovery sent an update of the endpoint list, or the watch on it broke off or failed.
struct ListUpdateReceived {
  woadtide::ListUpdate update;
};
// A sibling process has connected: it is sent the whole state that it has to know.
struct SiblingJoined {};
// A sibling process sent a message.
struct SiblingMessageReceived {
  SiblingMessage message;
};
// The number of processes of this dispatcher that accept clients, this one included.
struct AcceptingProcesses {
  int processes = 1;
};
// An operator's command on the management address.
struct OperatorCommand {
  enum class Kind { exclude, include, telemetry, figures };
  Kind kind = Kind::exclude;
  std::string worker = {};
  std::promise<std::string> reply;  // set once the command is in effect: whole lines
};
// The process is about to exit: all open queries are answered now, as failed.
struct FailOpenQueries {};

using Message = std::variant<QueryReceived, ClientDisconnected, ExecutionSent, ExecutionStarted,
                             ExecutionProgress, ExecutionEnded, ProbeEnded, ListUpdateReceived, SiblingJoined,
                             SiblingMessageReceived, AcceptingProcesses, OperatorCommand, FailOpenQueries>;

// Thread-safe queue of messages for the decision loop.
class Inbox {
 public:
  // push_hint() drops its message where so many are queued.
  static constexpr std::size_t kMaxMessagesForHints = 4096;

  // Sets the function that is called, on the thread that adds a message, when the queue has to be emptied. A
  // consumer that ends before the producers sets an empty function: the former one is not called after the
  // return. Must not be called from within that function.
  void set_notifier(std::function<void()> notifier) {
    const std::unique_lock lock(notifier_mutex_);
    notifier_ = std::move(notifier);
  }

  // Whether the consumer is notified of the message, or finds it along with the next one that it is notified
  // of.
  enum class Notify { now, with_next };

  // Adds a message and returns its position, for wait_until_taken(). Each link has at most one query and one
  // ending queued, and each sibling process one read of messages, so their numbers bound the queue.
  std::uint64_t push(Message message, Notify notify = Notify::now) {
    std::uint64_t position = 0;
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
      position = ++added_count_;
    }
    if (notify == Notify::now) notify_consumer();
    return position;
  }
  // Adds a message that may get lost: it is dropped where the queue is so long that a peer must be flooding
  // this process.
  void push_hint(Message message, Notify notify = Notify::now) {
    {
      const std::lock_guard lock(mutex_);
      if (messages_.size() >= kMaxMessagesForHints) return;
      messages_.push_back(std::move(message));
      added_count_ += 1;
    }
    if (notify == Notify::now) notify_consumer();
  }
  // Removes and returns all messages, oldest first.
  std::deque<Message> take_all() {
    const std::lock_guard lock(mutex_);
    taken_count_ = added_count_;
    messages_taken_.notify_all();
    return std::exchange(messages_, {});
  }
  // For a producer that has to wait for the consumer, never for the consumer itself: blocks until the message
  // at `position` has been taken, for `ms` milliseconds at most. Returns whether it has.
  bool wait_until_taken(std::uint64_t position, double ms) {
    std::unique_lock lock(mutex_);
    return messages_taken_.wait_for(lock, std::chrono::duration<double, std::milli>(ms),
                                    [&] { return taken_count_ >= position; });
  }
  // For a consumer without a notifier that waits for nothing else: blocks until a message is there, for `ms`
  // milliseconds at most.
  void wait_for_message(double ms) {
    std::unique_lock lock(mutex_);
    message_added_.wait_for(lock, std::chrono::duration<double, std::milli>(ms),
                            [this] { return !messages_.empty(); });
  }

 private:
  void notify_consumer() {
    const std::shared_lock lock(notifier_mutex_);
    notifier_ ? notifier_() : message_added_.notify_one();
  }

  std::shared_mutex notifier_mutex_;  // held shared during a call, so that set_notifier() waits for its end
  std::function<void()> notifier_;
  std::mutex mutex_;
  std::condition_variable message_added_, messages_taken_;
  std::deque<Message> messages_;
  std::uint64_t added_count_ = 0, taken_count_ = 0;
};

}  // namespace woadtide::core
