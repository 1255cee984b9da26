// Observations of a soak run, made by its clients, workers and service discovery. All times are milliseconds
// of the run's shared clock.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace woadtide::lab::soak {

// One request of a well-behaved client.
struct RequestRecord {
  // closed: the dispatcher closed the connection without an answer. client_left: the client closed it.
  enum class End { answered, unanswered, closed, reset, client_left, not_sent };
  std::string id;
  bool is_payout = false;
  double sent_ms = 0;  // when its last byte was sent
  double budget_ms = 0;
  double ended_ms = 0;
  End end = End::not_sent;
  int status = 0;
  std::string body;
  bool on_new_connection = false;
  std::optional<double> sent_again_ms;  // if the dispatcher closed the idle connection at the same time
};

// One attempt that reached a worker.
struct AttemptRecord {
  std::string id, worker;
  double at_ms = 0;           // when its last byte arrived
  double told_budget_ms = 0;  // the time budget that the dispatcher sent to the worker
  bool never_ran = false;     // the worker refused it without running it
};

// The drain of one worker.
struct DrainRecord {
  std::string worker;
  double binds_ms = 0;  // from when on the dispatcher must know of it
};

// A misbehaving client: it sends an incomplete request or none, and keeps the connection open.
struct BadClientRecord {
  std::string what;                       // which part of a request it sent
  double connected_ms = 0, ended_ms = 0;  // ended: answered or closed by the dispatcher
};

// All observations of one run.
struct Records {
  std::vector<RequestRecord> requests;
  std::vector<AttemptRecord> attempts;
  std::vector<DrainRecord> drains;
  std::vector<BadClientRecord> bad_clients;
  std::vector<std::string> process_faults;  // a crash, or a shutdown that took too long
};

// Collects records from many threads.
class Recorder {
 public:
  void add(RequestRecord record) { add_to(records_.requests, std::move(record)); }
  void add(AttemptRecord record) { add_to(records_.attempts, std::move(record)); }
  void add(DrainRecord record) { add_to(records_.drains, std::move(record)); }
  void add(BadClientRecord record) { add_to(records_.bad_clients, std::move(record)); }
  void add_process_fault(std::string what) { add_to(records_.process_faults, std::move(what)); }
  // Moves all records out.
  Records take() {
    const std::lock_guard lock(mutex_);
    return std::move(records_);
  }

 private:
  template <class Record>
  void add_to(std::vector<Record>& records, Record record) {
    const std::lock_guard lock(mutex_);
    records.push_back(std::move(record));
  }
  std::mutex mutex_;
  Records records_;
};

}  // namespace woadtide::lab::soak
