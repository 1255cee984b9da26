// What stands between the protocols and the decision loop: a query in, an answer out; an execution out, its
// ending in. Any protocol that can hand in a Query and take an Answer can stand before the loop.
#pragma once

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// What a worker is to get, as the client sent it. The loop never looks inside.
struct Parcel {
  std::shared_ptr<const void> hold;  // owns the bytes that the views show
  std::string_view method, target, fields;
  std::vector<std::string_view> body;  // in pieces
};

struct Query {
  std::string id;
  std::string class_name;
  double slots = 1;
  std::optional<double> cost_ms;  // the client's guess at the work
  double deadline = 0;            // when the client gives up, on the Clock
  Parcel parcel;
};

enum class AnswerKind { served, refused, failed, timed_out, bad_query };

struct Answer {
  AnswerKind kind = AnswerKind::failed;
  std::string body;           // served: the worker's result; bad_query: what is wrong with it
  double retry_after_ms = 0;  // refused: when to come back; 0: no advice
};

// The client's side of one query at a time.
class Asker {
 public:
  virtual ~Asker() = default;
  // The final answer; called once for each query, on the loop's thread. Must not block.
  virtual void answer(Answer answer) = 0;
};

struct ExecutionKey {
  std::string query;
  int attempt = 0;
  auto operator<=>(const ExecutionKey&) const = default;
};

struct Execution {
  ExecutionKey key;
  std::string worker;
  Parcel parcel;
  double deadline = 0;
  double not_after = kAlways;  // its first byte goes out by then, or none does: Status::moot
  static constexpr double kAlways = 1e18;
};

// Carries out executions and reports each one's ending, exactly once, to the Inbox. No call may block.
class Executor {
 public:
  virtual ~Executor() = default;
  virtual void start(Execution execution) = 0;
  // Stops waiting for it; the worker works on.
  virtual void cancel(const ExecutionKey& key) = 0;
  // Nobody waits for it any more. Where its last byte is not out by now it never goes out: Status::moot. Else
  // nothing changes.
  virtual void withdraw(const ExecutionKey& key) = 0;
  virtual void probe(const std::string& worker) = 0;
  // From here on nothing new goes to this worker, whatever is on its way; or it may again.
  virtual void exclude(const std::string& worker, bool excluded) = 0;
};

// Hears how executions go, on the loop's thread and before the loop acts on it. No call may block.
class Witness {
 public:
  virtual ~Witness() = default;
  virtual void heard(const ExecutionKey& key) = 0;  // it started, or goes on
  // Its one ending. `told`: the worker's own last word on it, that it failed or cannot use the query.
  virtual void ended(const ExecutionKey& key, woadtide::Status status, const std::string& result,
                     bool told) = 0;
};

// Where the list of workers comes from.
class HostSource {
 public:
  virtual ~HostSource() = default;
  // Opens a watch on the list; what it tells, a failure included, comes to the Inbox. Must not block.
  virtual void watch() = 0;
  // The list as it stands, for another process of this dispatcher, and what that one has: taken where it is
  // newer than all that came here. Neither may block.
  virtual std::string list() const = 0;
  virtual void hear_list(const std::string& text) = 0;
};

}  // namespace woadtide::core
