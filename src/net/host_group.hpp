// Service discovery client: holds this dispatcher's endpoint list and the watch that keeps it current. A
// thread of the thread pool opens the watch; between its lines the watch is registered with the event loop.
//
// In on-request mode the module decides when to call: it requests a watch and is told when one has failed. In
// push mode nothing requests it: the watch at the local agent is opened at once, and again whenever it ends.
// In both modes a list with a lower sequence number than the current one does not reinstate a worker, see
// accept_drains_of_older_list().
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "core/host_list.hpp"
#include "core/inbox.hpp"
#include "endpoints/endpoints.hpp"
#include "net/buffer_pool.hpp"
#include "net/http.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

// Keeps the endpoint list and a watch on it; posts every change to the Inbox as core::ListUpdateReceived.
class EndpointListClient : public core::EndpointSource,
                           private park::EventHandler,
                           private endpoints::EndpointListListener {
 public:
  // By the protocol, discovery writes at least an empty line every 2 s. A watch on which two lines were due
  // and neither has come is silent. The changes that it misses take effect 6 s after it fell silent; the
  // remaining time is for opening another watch, as all watches may fall silent at once and discovery answers
  // the calls one by one.
  static constexpr double kKeepAliveIntervalMs = 2'000, kSilenceTimeoutMs = 2 * kKeepAliveIntervalMs;
  // Timeout of a connect to discovery.
  static constexpr double kConnectTimeoutMs = 1'000;
  // If discovery sends only lists older than the current one for this long, its sequence has restarted, and
  // its list is accepted.
  static constexpr double kOlderListHoldMs = core::kUpdateBindsAfterMs;
  // By the protocol, changes at a new discovery address take effect this long after a reload.
  static constexpr double kAddressChangeGraceMs = 4'000;
  // Limit of the response timeout, which grows after calls without a response, as a multiple of the silence
  // timeout: discovery may be slow or have many callers, and it also processes calls that were abandoned.
  // Serving a fleet of 900 in turn, at 20 ms each, takes 18 s.
  static constexpr int kMaxResponseTimeoutFactor = 4;
  // If no memory limit is configured: the largest of the deployment requirements.
  static constexpr std::size_t kDefaultMemoryBytes = 192'000'000;
  // How lists are obtained. on_request: on request of the module, from discovery. pushed: from an agent
  // on this machine.
  enum class DiscoveryMode { on_request, pushed };

  // A worker's list entry with its dial address, as text and parsed.
  struct ResolvedEndpoint {
    Address address;
    std::string dial;
    woadtide::ListEntry entry;
  };

  // Posts the remembered list to the Inbox at once. `on_first_list` is called once, with the first list
  // received from discovery or from a sibling process; it must not block or call back into this object.
  EndpointListClient(
      const std::string& discovery, const core::EndpointList& remembered, core::Clock& clock,
      core::Inbox& inbox, BufferPool& buffer_pool, park::EventLoop& event_loop, park::ThreadPool& thread_pool,
      DiscoveryMode mode = DiscoveryMode::on_request, double silence_timeout_ms = kSilenceTimeoutMs,
      std::function<void()> on_first_list = {},
      const endpoints::EndpointLimits& limits = endpoints::endpoint_limits(kDefaultMemoryBytes));
  // Ends the watch and waits for the thread that opens it.
  ~EndpointListClient() override;
  EndpointListClient(const EndpointListClient&) = delete;
  EndpointListClient& operator=(const EndpointListClient&) = delete;

  // Opens a watch. No effect while one is open or being opened: its outcome is the answer.
  void start_watch() override;
  // Changes the address of discovery. The watch is opened there at once, and no failure is reported: the
  // module's retry backoff is for a discovery that is down, and drains would be missed meanwhile. Throws
  // std::invalid_argument if `discovery` is not an address.
  void set_discovery_address(const std::string& discovery);
  // The current list as JSON, for sibling processes.
  std::string serialized_list() const override;
  // Applies a list from a sibling process if its sequence is higher than the current one. The same sequence
  // counts only if it is the first to say how old the list is. Text that is not JSON is ignored.
  void merge_sibling_list(const std::string& text) override;
  // The worker's endpoint in the current list; nullopt if the list does not contain it.
  std::optional<ResolvedEndpoint> find(const std::string& worker) const;

 private:
  void start_call();
  void open_watch();
  void on_ready(park::ReadinessEvents events) override;
  void on_timeout() override;
  void process_available_input();
  void on_keep_alive() override;
  void on_update(endpoints::EndpointUpdate&& update) override;
  void on_error(const endpoints::EndpointListError& error) override;
  [[noreturn]] void throw_connection_ended();
  void check_sequence_restart();
  void delay_next_call();
  double read_timeout_ms() const;
  static void log_changes(const endpoints::EndpointDelta& delta);
  // Why a watch or a call ended, which tells whether discovery may have sent newer lists to others since.
  // unreachable: no connection, or the request could not be sent. refused: an answer other than a list, or
  // the connection ended without one. local_error: this machine was short of a resource, which says nothing
  // about discovery.
  enum class EndReason { closed_by_discovery, unreachable, refused, silent, invalid_list, local_error };
  struct Failure;
  void end_watch(EndReason reason, const std::string& why);
  void retry_after_local_error(const std::string& why);
  void update_as_of(EndReason reason);
  bool shows_outage(EndReason reason) const;
  std::optional<woadtide::Micros> as_of() const;
  void report_interruption();
  void notify_first_list();
  void accept_update(endpoints::EndpointUpdate&& update);
  void accept_drains_of_older_list(const endpoints::EndpointUpdate& older);
  void apply(endpoints::EndpointUpdate&& update, woadtide::ListKind kind);

  core::Clock& clock_;
  core::Inbox& inbox_;
  BufferPool& buffer_pool_;
  park::EventLoop& event_loop_;
  park::ThreadPool& thread_pool_;
  const DiscoveryMode mode_;
  const double silence_timeout_ms_;
  mutable std::mutex mutex_;
  std::condition_variable opening_done_;
  std::string discovery_;
  Address address_;
  // watching: a watch is open, being opened or scheduled. opening: a pool thread is opening it.
  bool watching_ = false, opening_ = false, address_changed_ = false, stopping_ = false;
  std::int64_t sequence_ = 0;
  bool accept_any_sequence_ = false;   // address changed or sequence restarted: accept any list
  std::optional<double> older_since_;  // only lists with lower sequence numbers have come since
  double response_timeout_ms_ = 0;     // on request: response timeout of a call, increased each time
  double reopen_delay_ms_ = 0;         // push: delay before the watch is reopened
  endpoints::EndpointTable table_;
  endpoints::EndpointListReader reader_;
  park::EventLoop::Token timer_token_ = park::EventLoop::kNoToken, watch_token_ = park::EventLoop::kNoToken;
  Socket socket_;  // used by the opening thread, then by the event loop; shut down by others under the mutex
  std::optional<BufferedInput> intake_;
  std::optional<BodyDecoder> body_;      // set once the response head has been read
  std::size_t body_bytes_received_ = 0;  // of the current call
  double last_message_at_ = 0;  // time of the last complete message: a trickle of bytes is no sign of life
  bool list_received_ = false;  // the first object of this watch has been received
  double call_started_at_ = 0;  // start of the current call
  // The last time at which discovery certainly had nothing newer for anyone: it was heard, or was
  // unreachable.
  std::optional<double> as_of_;
  double no_call_before_ = 0;            // no call starts before this time, after unusable lists
  int unusable_lists_in_row_ = 0;        // since the last valid list
  int unusable_lists_ = 0;               // in total
  bool silent_since_last_list_ = false;  // since the last list: a failed call may be one of too many
  bool address_confirmed_ = true;        // a list has come from the address that a reload gave
  core::LogRateLimit local_failure_log_;
  std::function<void()> on_first_list_;
};

}  // namespace woadtide::net
