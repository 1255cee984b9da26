// Stand-in service discovery on loopback for fleets of a thousand dispatchers and thousands of workers. It
// processes calls one at a time (CallQueue); an open watch costs it nothing but the lines sent on it. One
// thread serves all connections. It does not depend on whether its clients are hollow dispatchers or real
// processes.
//
// Each client has its own address, so that deliveries and their times can be counted per client.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/host_list.hpp"
#include "lab/hollow/call_queue.hpp"
#include "lab/hollow/lateness.hpp"
#include "lab/hollow/versioned_list.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::lab::hollow {

// A planned outage of discovery.
struct Outage {
  double start_ms = 0;  // since the source started
  double length_ms = 0;
};

// Settings of a source.
struct ListSourceSettings {
  CallQueue::Settings calls;
  std::vector<Outage> outages;        // ordered by start, not overlapping
  std::size_t history_limit = 1'000;  // history length: a watch that is further behind gets the complete list
  double cut_share = 0;    // share of list lines of which half is sent before the connection is closed
  std::uint64_t seed = 1;  // selects the lines that are cut
};

// Totals since the source started.
struct ListSourceCounts {
  std::uint64_t calls = 0, answered = 0, refused = 0;
  std::uint64_t abandoned = 0;     // the caller disconnected before an answer
  std::uint64_t wasted_turns = 0;  // used by calls that were already refused or abandoned
  std::uint64_t bytes = 0, lines = 0, empty_lines = 0, cut_lines = 0, entries = 0;
  // Since the source started; failed: refused or abandoned.
  std::vector<int> calls_by_second, failed_by_second;
};

// Bytes of one client, sent to it and received from it.
struct ClientTraffic {
  std::uint64_t list_bytes = 0;   // response heads and list lines
  std::uint64_t empty_bytes = 0;  // keep-alive lines
  std::uint64_t request_bytes = 0;
};

// The discovery service with its list and its clients' connections.
class ListSource {
 public:
  static constexpr double kEmptyLineMs = 2'000;  // interval of empty keep-alive lines while nothing changes

  ListSource(ListSourceSettings settings, const core::Clock& clock);
  ~ListSource();
  ListSource(const ListSource&) = delete;
  ListSource& operator=(const ListSource&) = delete;

  // All functions are thread-safe.

  // Opens an address for one more client and returns its number, from 0. Throws std::system_error.
  std::size_t add_client();
  // HOST:PORT of the client's own listener.
  std::string address(std::size_t client) const;
  // From here on, changes newer than `known_version` are expected to be delivered to the client, until it is
  // stopped. Stopping a client closes its watches.
  void start_client(std::size_t client, std::int64_t known_version);
  void stop_client(std::size_t client);

  // Changes one worker and sends the change to open watches at once. Returns the new version.
  std::int64_t set(const core::Endpoint& host);
  // The current complete list.
  core::EndpointList snapshot() const;

  // Starts an outage now: closes open watches; calls are refused until it ends.
  void start_outage(double length_ms);
  bool is_up() const;
  // When the latest outage ended or will end, ms of the clock; 0 if there was none.
  double recovered_at() const;

  std::size_t open_watches() const;
  ListSourceCounts counts() const;
  ClientTraffic traffic(std::size_t client) const;
  // A change counts as delivered once the kernel accepted its complete line; only the client's own list shows
  // whether the client could use it.
  LatenessSummary lateness() const;
  // Discards the deliveries so far from the lateness statistics.
  void reset_lateness();
  // Processor time used by the source's thread; up to 0.2 s old.
  double cpu_ms() const { return cpu_ms_.load(); }

 private:
  struct Listener;
  struct Connection;
  struct Timer;
  struct Client {
    std::shared_ptr<Listener> listener;
    ClientTraffic traffic;
    int lines = 0;  // list lines so far, including cut ones
  };
  // Queued output. `version`: the list version that the client has once all of it is sent; 0: no change.
  struct OutputItem {
    std::shared_ptr<const std::string> text;
    std::int64_t version = 0;
    bool is_empty_line = false;
  };
  using Connections = std::unordered_map<CallQueue::CallId, std::shared_ptr<Connection>>;

  // All of these need the mutex. Those that read or write sockets run on the event loop's thread.
  void accept_pending(Listener& listener);
  void read_available(Connection& connection);
  void enqueue_request(Connection& connection);
  void send_answer(Connection& connection);
  void send_refusal(Connection& connection);
  void send_line_since(Connection& connection, std::int64_t version);
  void send_empty_line(Connection& connection);
  bool is_cut(std::size_t client);
  std::shared_ptr<const std::string> chunk_since(std::int64_t version, std::size_t& entries);
  void flush(Connection& connection);
  void close(CallQueue::CallId id);
  void process_due_events();
  void publish_changes();
  void complete_calls(double until_ms);
  void begin_outage(double start_ms, double length_ms);
  void close_watches(const std::function<bool(const Connection&)>& which);
  void count_failed();
  std::size_t elapsed_seconds() const;

  const ListSourceSettings settings_;
  const core::Clock& clock_;
  const double started_at_ms_;
  mutable std::mutex mutex_;
  VersionedList list_;
  CallQueue queue_;
  LatenessRecorder lateness_;
  ListSourceCounts counts_;
  std::vector<Client> clients_;
  Connections connections_;
  CallQueue::CallId next_id_ = 1;
  std::size_t next_outage_ = 0;
  double outage_until_ms_ = 0, recovered_at_ms_ = 0;
  std::int64_t published_version_ = 0;
  // Chunks with the newest changes, by the version they start from: most watches are sent the same one.
  std::map<std::int64_t, std::pair<std::shared_ptr<const std::string>, std::size_t>> chunk_cache_;
  std::int64_t chunk_cache_version_ = 0;
  std::atomic<double> cpu_ms_{0};
  std::shared_ptr<Timer> timer_;
  park::EventLoop::Token timer_token_ = park::EventLoop::kNoToken;
  park::EventLoop event_loop_;  // last: its thread uses all other members
};

}  // namespace woadtide::lab::hollow
