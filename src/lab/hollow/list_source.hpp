// A stand-in service discovery for fleets of a thousand dispatchers and thousands of workers, on loopback.
// One service takes all calls in turn (CallQueue); watches, once open, cost it nothing but their lines. One
// thread serves all connections. It must not know what its clients are: hollow dispatchers or real processes.
//
// Each client has an address of its own here, so that what it was told, and when, can be counted.
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

struct Outage {
  double start_ms = 0;  // since the source's start
  double length_ms = 0;
};

struct ListSourceSettings {
  CallQueue::Settings calls;
  std::vector<Outage> outages;        // by start, apart from each other
  std::size_t kept_versions = 1'000;  // changes that a watch can be resumed over
  double cut_share = 0;               // of the lines that carry entries: written by half, then the end
  std::uint64_t seed = 1;             // of which lines are cut
};

struct ListSourceCounts {
  std::uint64_t calls = 0, answered = 0, refused = 0;
  std::uint64_t abandoned = 0;     // their callers left before an answer
  std::uint64_t wasted_turns = 0;  // spent on calls that were refused or abandoned
  std::uint64_t bytes = 0, lines = 0, empty_lines = 0, cut_lines = 0, entries = 0;
  std::vector<int> calls_by_second, failed_by_second;  // since the source's start; failed: refused, abandoned
};

// What one client has been sent, and has sent.
struct ClientTraffic {
  std::uint64_t list_bytes = 0;   // answers' heads and lines with entries
  std::uint64_t empty_bytes = 0;  // of lines that only show that the watch is alive
  std::uint64_t request_bytes = 0;
};

class ListSource {
 public:
  static constexpr double kEmptyLineMs = 2'000;  // gap between lines while nothing changes

  ListSource(ListSourceSettings settings, const core::Clock& clock);
  ~ListSource();
  ListSource(const ListSource&) = delete;
  ListSource& operator=(const ListSource&) = delete;

  // All calls may come from any thread.

  // Opens an address for one more client, numbered from 0. Throws std::system_error.
  std::size_t add_client();
  std::string address(std::size_t client) const;
  // From here on the client is one that should be told of what is newer than `known_version`; or no longer.
  void begin_client(std::size_t client, std::int64_t known_version);
  void end_client(std::size_t client);

  // Changes one worker; open watches are told at once.
  std::int64_t set(const core::Host& host);
  core::HostList snapshot() const;

  // Goes down now, for so long.
  void fail_for(double length_ms);
  bool is_up() const;
  // When the last outage so far ended, or is to end; 0 where there was none.
  double returned_at() const;

  std::size_t open_watches() const;
  ListSourceCounts counts() const;
  ClientTraffic traffic(std::size_t client) const;
  // A change counts as told once the kernel has taken its whole line: whether the client could use it shows
  // in the client's own list only.
  LatenessSummary lateness() const;
  // Lateness is counted anew: what was told before is left out from here on.
  void forget_lateness();
  // Processor time that its thread has taken, as of up to 0.2 s ago.
  double cpu_ms() const { return cpu_ms_.load(); }

 private:
  struct Listener;
  struct Connection;
  struct Timer;
  struct Client {
    std::shared_ptr<Listener> listener;
    ClientTraffic traffic;
    int lines = 0;  // that carried entries
  };
  // A piece of an answer. `version`: what its client knows once all of it is sent; 0: nothing new.
  struct Piece {
    std::shared_ptr<const std::string> text;
    std::int64_t version = 0;
    bool is_empty_line = false;
  };
  using Connections = std::unordered_map<CallQueue::CallId, std::shared_ptr<Connection>>;

  // All of these under the mutex, on the park's thread where they read or write sockets.
  void accept_all(Listener& listener);
  void read(Connection& connection);
  void take_request(Connection& connection);
  void answer(Connection& connection);
  void refuse(Connection& connection);
  void send_line_since(Connection& connection, std::int64_t version);
  void send_empty_line(Connection& connection);
  bool is_cut(std::size_t client);
  std::shared_ptr<const std::string> chunk_since(std::int64_t version, std::size_t& entries);
  void flush(Connection& connection);
  void close(CallQueue::CallId id);
  void advance();
  void publish();
  void end_calls(double until);
  void go_down(double at, double length_ms);
  void close_watches(const std::function<bool(const Connection&)>& which);
  void count_failed();
  std::size_t second() const;

  const ListSourceSettings settings_;
  const core::Clock& clock_;
  const double started_;
  mutable std::mutex mutex_;
  VersionedList list_;
  CallQueue queue_;
  LatenessRecorder lateness_;
  ListSourceCounts counts_;
  std::vector<Client> clients_;
  Connections connections_;
  CallQueue::CallId next_id_ = 1;
  std::size_t next_outage_ = 0;
  double down_until_ = 0, returned_at_ = 0;
  std::int64_t published_ = 0;
  // The newest lines, by the version that they go on from: most watches are sent the same one.
  std::map<std::int64_t, std::pair<std::shared_ptr<const std::string>, std::size_t>> rendered_;
  std::int64_t rendered_version_ = 0;
  std::atomic<double> cpu_ms_{0};
  std::shared_ptr<Timer> timer_;
  park::Park::Token timer_place_ = park::Park::kNone;
  park::Park park_;  // last: its thread uses all the others
};

}  // namespace woadtide::lab::hollow
