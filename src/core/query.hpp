// Interfaces between the protocols and the decision loop: queries come in and answers go out, executions go
// out and their endings come in. Any protocol that can produce a Query and accept an Answer can be used with
// the loop.
#pragma once

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// Payload for a worker, as the client sent it. Opaque to the loop.
struct Payload {
  std::shared_ptr<const void> owner;               // owns the bytes that the views refer to
  std::string_view method, target, header_fields;  // fields: the HTTP header fields
  std::vector<std::string_view> body;              // in fragments
};

// A client's request.
struct Query {
  std::string id;
  std::string class_name;
  double slots = 1;               // capacity that it occupies at a worker
  std::optional<double> cost_ms;  // the client's estimate of the running time
  double deadline = 0;            // when the client gives up: ms of the Clock
  Payload payload;
};

// How a query was answered.
enum class AnswerKind { served, refused, failed, timed_out, bad_query };

// The final answer to a query.
struct Answer {
  AnswerKind kind = AnswerKind::failed;
  std::string body;           // served: the worker's result; bad_query: why the query was rejected
  double retry_after_ms = 0;  // refused: time until a retry makes sense; 0: unknown
};

// Reply callback of a client, which has one query at a time.
class ReplyCallback {
 public:
  virtual ~ReplyCallback() = default;
  // Receives the final answer. Called once for each query, on the loop's thread. Must not block.
  virtual void on_answer(Answer answer) = 0;
};

// Identifies one attempt to execute a query.
struct ExecutionKey {
  std::string query;
  int attempt = 0;  // from 0, in the order in which the attempts are sent
  auto operator<=>(const ExecutionKey&) const = default;
};

// An attempt to execute a query at a worker.
struct Execution {
  ExecutionKey key;
  std::string worker;
  Payload payload;
  double deadline = 0;  // ms of the Clock, as the query has it
  // Latest time (ms of the Clock) at which the first byte may be sent. Where it has not been sent by then,
  // the execution ends as not started.
  double not_after = kNoTimeLimit;
  static constexpr double kNoTimeLimit = 1e18;
};

// Carries out executions and reports the ending of each, exactly once, to the Inbox. Its functions must not
// block.
class Executor {
 public:
  virtual ~Executor() = default;
  // Sends the execution to its worker.
  virtual void start(Execution execution) = 0;
  // Stops waiting for the execution; the worker goes on with it.
  virtual void cancel(const ExecutionKey& key) = 0;
  // The client does not wait for the execution any more. Where its last byte has not been sent, it never is,
  // and the execution ends as not started. Otherwise nothing changes.
  virtual void withdraw(const ExecutionKey& key) = 0;
  // Asks the worker for its load report, without a query.
  virtual void probe(const std::string& worker) = 0;
  // Excludes the worker from new executions, including those that are already on their way to it, or includes
  // it again.
  virtual void set_excluded(const std::string& worker, bool excluded) = 0;
};

// Observes the course of executions. Called on the loop's thread, before the loop handles the event. Its
// functions must not block.
class ExecutionObserver {
 public:
  virtual ~ExecutionObserver() = default;
  // The execution has started, or reported progress.
  virtual void on_activity(const ExecutionKey& key) = 0;
  // The execution has ended; called once. `final_report`: the worker itself reported that the execution
  // failed or that it rejects the query.
  virtual void on_ended(const ExecutionKey& key, woadtide::Status status, const std::string& result,
                        bool final_report) = 0;
};

// Source of the endpoint list, the list of workers.
class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  // Opens a watch on the list. Its updates, and its failure, are sent to the Inbox. Must not block.
  virtual void start_watch() = 0;
  // Returns the current list, serialised for a sibling process. Must not block.
  virtual std::string serialized_list() const = 0;
  // Takes over a list that a sibling process sent, where it is newer than all that this process received.
  // Must not block.
  virtual void merge_sibling_list(const std::string& text) = 0;
};

}  // namespace woadtide::core
