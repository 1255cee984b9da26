// The host group: discovery's list as this dispatcher has it, and the watch that keeps it fresh. A thread of
// the crew opens the watch; between its lines it stands in the park.
//
// Where lists are asked for, the module decides when: it asks for a watch, and hears of one that failed.
// Where they are pushed, nobody asks: the watch at the agent is opened at once, and again whenever it ends.
// Both ways a list of an older sequence than ours takes no worker back: see take_older().
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

class HostGroup : public core::HostSource, private park::Guest, private endpoints::EndpointListListener {
 public:
  // PROTOCOL: discovery writes at least an empty line every 2 s. A watch on which two were due and neither
  // has come is silent. What it misses counts as told 6 s after it fell silent: what is left of that is for
  // another watch to be opened, where all fall silent at once and discovery answers them one by one.
  static constexpr double kLineMs = 2'000, kSilenceMs = 2 * kLineMs;
  static constexpr double kConnectMs = 1'000;
  // Told from a list that is older than ours for this long, discovery has begun anew: its list is the list.
  static constexpr double kOlderMs = core::kToldWithinMs;
  // PROTOCOL: after a reload, what the new address has to tell counts as told so long after it.
  static constexpr double kMoveBindsMs = 4'000;
  // What a call waits at the most for its answer, where ones before it had none: discovery may be slow, or
  // have many callers, and works on those that were given up too. A fleet of 900 in turn, at 20 ms each,
  // takes 18 s.
  static constexpr int kMostUnansweredFactor = 4;
  // Where no memory limit is told: DEPLOY's largest.
  static constexpr std::size_t kUsualMemoryBytes = 192'000'000;
  enum class Way { asked, pushed };

  struct Known {
    Address address;
    std::string dial;
    woadtide::ListEntry entry;
  };

  // The remembered list goes to the Inbox at once. `on_list` is called once, with the first list that
  // discovery or the other process has told; it must not block nor call back.
  HostGroup(const std::string& discovery, const core::HostList& remembered, core::Clock& clock,
            core::Inbox& inbox, BufferPool& pool, park::Park& park, park::Crew& crew, Way way = Way::asked,
            double silence_ms = kSilenceMs, std::function<void()> on_list = {},
            const endpoints::EndpointLimits& limits = endpoints::endpoint_limits(kUsualMemoryBytes));
  ~HostGroup() override;
  HostGroup(const HostGroup&) = delete;
  HostGroup& operator=(const HostGroup&) = delete;

  // While a watch is open or being opened this changes nothing: its outcome is the answer.
  void watch() override;
  // Discovery has another address from here on. The watch goes there at once, and no failure is told: the
  // module's retry backoff is for what is down, and drains would go unheard meanwhile.
  void move(const std::string& discovery);
  std::string list() const override;
  // Of an older or the same sequence it is nothing new; what cannot be read is passed over.
  void hear_list(const std::string& text) override;
  // As the newest list has it; nullopt where it names no such worker.
  std::optional<Known> find(const std::string& worker) const;

 private:
  void begin();
  void open();
  void ready(park::Signs signs) override;
  void late() override;
  void hear();
  void on_keep_alive() override;
  void on_update(endpoints::EndpointUpdate&& update) override;
  void on_error(const endpoints::EndpointListError& error) override;
  [[noreturn]] void throw_ended();
  void check_begun_anew();
  void wait_for_bytes();
  double patience_ms() const;
  static void log_changes(const endpoints::EndpointDelta& delta);
  // How a watch or a call ended, for what it says of discovery: whether it may have told others since.
  // own: this machine was short of something, which shows nothing of discovery.
  enum class Ending { by_discovery, unreachable, refused, silent, unreadable, own };
  struct Failure;
  void end(Ending ending, const std::string& why);
  void begin_again_soon(const std::string& why);
  void note_reachability(Ending ending);
  std::optional<woadtide::Micros> as_of() const;
  void tell_interruption();
  void tell_first_list();
  void take(endpoints::EndpointUpdate&& update);
  void take_older(const endpoints::EndpointUpdate& older);
  void apply(endpoints::EndpointUpdate&& update, woadtide::ListKind kind);

  core::Clock& clock_;
  core::Inbox& inbox_;
  BufferPool& pool_;
  park::Park& park_;
  park::Crew& crew_;
  const Way way_;
  const double silence_ms_;
  mutable std::mutex mutex_;
  std::condition_variable opened_;
  std::string discovery_;
  Address address_;
  // following: a watch is open, being opened or about to be; opening: a thread of the crew is at it.
  bool following_ = false, opening_ = false, moved_ = false, stopping_ = false;
  std::int64_t seq_ = 0;
  bool any_seq_ = false;               // of another address, or discovery begun anew: whatever it says holds
  std::optional<double> older_since_;  // only lists of older sequences have come since
  double unanswered_ms_ = 0;           // asked: how long a call waits for its answer, longer each time
  double again_ms_ = 0;                // pushed: the gap before the watch is opened again
  endpoints::EndpointTable table_;
  endpoints::EndpointListReader reader_;
  park::Park::Token begins_ = park::Park::kNone, watch_ = park::Park::kNone;
  Socket socket_;  // of the thread that opens it, then of the park's; shut by others under the mutex
  std::optional<Intake> intake_;
  std::optional<BodyDecoder> body_;  // once the answer's head has come
  std::size_t received_ = 0;         // bytes of the body of this call
  double heard_at_ = 0;              // when the last whole thing came: a trickle of bytes is no sign of life
  bool told_ = false;                // its first object has come
  double called_at_ = 0;             // when the call began that is open
  // When it was last certain that discovery could tell nothing newer: it was heard, or could not be reached.
  std::optional<double> as_of_;
  double not_before_ = 0;     // no call begins sooner: lists came that could not be used
  int unusable_in_row_ = 0;   // such lists since one was taken
  int unusable_lists_ = 0;    // in all
  bool fell_silent_ = false;  // since discovery was last heard: a failed call may be one of too many
  core::Seldom own_failure_;
  std::function<void()> on_list_;
};

}  // namespace woadtide::net
