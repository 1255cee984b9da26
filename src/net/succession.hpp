// Hot restart: connects this process to its sibling process, if there is one. In an upgrade the next process
// starts while the old one runs. They meet at a Unix socket in a shared folder and exchange state as long as
// the connection between them lasts. The kernel closes it for a process that was killed too, and refuses a
// connect to the socket file that such a process left behind.
//
// Invariant: while a process lives, the next one finds it at the socket file, or one that it is connected to.
// The newest process holds the file; when that one ends, another takes it over.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>

#include "core/inbox.hpp"
#include "core/kin.hpp"
#include "net/sibling_outbox.hpp"
#include "net/socket.hpp"
#include "net/unix_socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

// Exchanges state with the sibling processes of this dispatcher. Functions that send messages or
// set or read a state may be called from any thread.
class HotRestart : public core::SiblingProcess, private park::EventHandler {
 public:
  // `on_process_count` is called with the number of processes, this one included, when it has changed.
  HotRestart(const core::Clock& clock, core::Inbox& inbox, park::EventLoop& event_loop,
             std::function<void(std::size_t process_count)> on_process_count);
  // Closes the connections to all siblings.
  ~HotRestart() override;
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Connects to the process that already runs, and listens for later ones, in `folder`. Waits for at most
  // `wait_ms` ms until the other process has sent its initial state. Throws std::runtime_error if the other
  // process speaks a protocol version that differs by more than one.
  void join_siblings(const std::string& folder, const std::string& name, double wait_ms);
  // Closes the connections to all siblings; `on_process_count` is not called afterwards.
  void leave_siblings();
  // Sends a message to all siblings; it does not block.
  void send(const core::SiblingMessage& message) override;
  // Whether there is no sibling to send to.
  bool has_no_sibling() const override { return alone_; }
  // Sets whether this process accepts clients; siblings are told, also those that connect later.
  void set_accepts_clients(bool accepts_clients);
  // Whether any sibling accepts clients.
  bool sibling_accepts_clients();

 private:
  // The connection to one sibling process.
  struct Sibling {
    Socket socket;
    int pid = 0;
    bool accepts_clients = false, initial_state_received = false, closed = false;
    bool incompatible = false;  // protocol versions differ by more than one
    int version = 1;
    SiblingOutbox outbox;
    std::condition_variable wakeup;
    std::uint64_t last_queued = 0;  // position in the inbox of its newest message; used by the reader only
    park::Thread reader, writer;    // last: they use all other members
  };

  // Where the processes of this dispatcher meet.
  struct MeetingPoint {
    MeetingPoint(const std::string& folder, const std::string& name);
    UnixSocketPath socket_path, temporary_path;
  };

  void on_ready(park::ReadinessEvents events) override;
  void on_timeout() override;
  void accept_siblings();
  bool listen_at_meeting_point();
  void keep_reachable();
  bool is_connected_to(int pid);
  void add_sibling(Socket socket, int pid);
  void read_messages(Sibling& sibling);
  void wait_for_decision_loop(const Sibling& sibling);
  void write_messages(Sibling& sibling);
  bool send_all(const Sibling& sibling, std::string_view bytes);
  void handle_line(Sibling& sibling, const std::string& line);
  void check_version(Sibling& sibling, const std::string& version_text);
  void enqueue(Sibling& sibling, const core::SiblingMessage& message);
  void remove_closed();
  std::size_t process_count();
  void post_client_sharers();

  const core::Clock& clock_;
  core::Inbox& inbox_;
  park::EventLoop& event_loop_;
  const std::function<void(std::size_t)> on_process_count_;
  std::mutex mutex_;
  std::condition_variable sibling_changed_;
  std::list<Sibling> siblings_;
  std::atomic<bool> alone_{true}, stopping_{false};
  bool accepts_clients_ = false;
  core::LogRateLimit accept_error_log_;
  std::optional<MeetingPoint> meeting_point_;                 // set by join_siblings()
  std::atomic<bool> sibling_ended_{false};                    // since keep_reachable() last ran
  Socket listener_;                                           // used on the event loop's thread
  FileIdentity listener_file_;                                // of the socket file of listener_
  park::EventLoop::Token token_ = park::EventLoop::kNoToken;  // changed under the mutex
};

}  // namespace woadtide::net
