#include "net/host_group.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "core/log.hpp"

namespace woadtide::net {

using woadtide::ListKind;
using woadtide::WorkerState;

namespace {
// Delay before a watch is reopened if no thread is available, and first delay after an agent's watch ended.
// The latter doubles up to the maximum: the agent is on this machine, and calling it is cheap.
constexpr double kReopenDelayMs = 50;
constexpr double kMaxReopenDelayMs = 1'000;
// Bytes per ms that operators allow a dispatcher for control traffic; unusable lists must not exceed it for
// long.
constexpr double kControlBytesPerMs = 4.096;

endpoints::EndpointUpdate to_update(const core::EndpointList& list) {
  return {list.seq, true, {list.endpoints.begin(), list.endpoints.end()}};
}
}  // namespace

// Ends a watch or a call; thrown by the functions that read or open it.
struct EndpointListClient::Failure : std::runtime_error {
  Failure(EndReason end_reason, const std::string& message)
      : std::runtime_error(message), reason(end_reason) {}
  EndReason reason;
};

EndpointListClient::EndpointListClient(const std::string& discovery, const core::EndpointList& remembered,
                                       core::Clock& clock, core::Inbox& inbox, BufferPool& buffer_pool,
                                       park::EventLoop& event_loop, park::ThreadPool& thread_pool,
                                       DiscoveryMode mode, double silence_timeout_ms,
                                       std::function<void()> on_first_list,
                                       const endpoints::EndpointLimits& limits)
    : clock_(clock),
      inbox_(inbox),
      buffer_pool_(buffer_pool),
      event_loop_(event_loop),
      thread_pool_(thread_pool),
      mode_(mode),
      silence_timeout_ms_(silence_timeout_ms),
      discovery_(discovery),
      address_(discovery),
      reader_(limits, *this),
      on_first_list_(std::move(on_first_list)) {
  apply(to_update(remembered), ListKind::remembered);
  timer_token_ = event_loop_.add(*this, -1);
  if (mode_ == DiscoveryMode::pushed) start_watch();
}

EndpointListClient::~EndpointListClient() {
  {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    if (socket_) socket_.shut_down();
    opening_done_.wait(lock, [this] { return !opening_; });
    event_loop_.remove(timer_token_);
    event_loop_.remove(watch_token_);
  }
  event_loop_.quiesce();
}

void EndpointListClient::start_watch() {
  const std::lock_guard lock(mutex_);
  if (watching_) return;
  if (clock_.now() >= no_call_before_) return start_call();
  watching_ = true;
  event_loop_.set_timeout(timer_token_, no_call_before_);
}

void EndpointListClient::set_discovery_address(const std::string& discovery) {
  const Address address(discovery);  // throws before anything is changed
  const std::lock_guard lock(mutex_);
  if (discovery == discovery_) return;
  discovery_ = discovery;
  address_ = address;
  accept_any_sequence_ = true;
  no_call_before_ = response_timeout_ms_ = 0;
  if (body_ && list_received_) as_of_ = last_message_at_;
  if (as_of_) as_of_ = std::min(*as_of_, clock_.now() - (core::kUpdateBindsAfterMs - kAddressChangeGraceMs));
  address_confirmed_ = false;
  report_interruption();
  // There is only one watch: an open one is shut down and reopened at the new address.
  address_changed_ = watching_;
  if (!watching_) return start_call();
  if (socket_) socket_.shut_down();
}

std::optional<EndpointListClient::ResolvedEndpoint> EndpointListClient::find(
    const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  const endpoints::Endpoint* found = table_.find(worker);
  if (!found) return std::nullopt;
  return ResolvedEndpoint{Address(found->address), found->address, found->entry};
}

// Called with the mutex held. Drains arrive over the watch, so it is urgent work for the thread pool.
void EndpointListClient::start_call() {
  watching_ = true;
  address_changed_ = false;
  call_started_at_ = clock_.now();
  body_bytes_received_ = 0;
  opening_ = thread_pool_.try_submit([this] { open_watch(); }, true);
  if (!opening_) event_loop_.set_timeout(timer_token_, clock_.now() + kReopenDelayMs);
}

void EndpointListClient::open_watch() {
  Address address;
  std::string query;
  try {
    {
      const std::lock_guard lock(mutex_);
      address_changed_ = false;  // the call goes to the current address
      address = address_;
      socket_ = Socket::create(address);
      query = "GET /registry/instances?follow=1&since=" + std::to_string(sequence_) +
              " HTTP/1.1\r\nHost: " + discovery_ + "\r\n\r\n";
    }
    const ConnectError error = socket_.try_connect(address, kConnectTimeoutMs);
    if (error == ConnectError::local_shortage)
      throw Failure(EndReason::local_error, "no connect can be had on this machine");
    if (error != ConnectError::none) throw Failure(EndReason::unreachable, "could not connect");
    if (socket_.send({query}, clock_.now() + silence_timeout_ms_, clock_) != IoResult::done)
      throw Failure(EndReason::unreachable, "the connection broke before the request was sent");
    const std::lock_guard lock(mutex_);
    // A socket that was shut down before connect() still connects, to the previous address.
    if (address_changed_) throw Failure(EndReason::unreachable, "the discovery address has changed");
    last_message_at_ = clock_.now();
    intake_.emplace(socket_, clock_, buffer_pool_);
    watch_token_ = event_loop_.add(*this, socket_.fd());
    event_loop_.set_timeout(watch_token_, last_message_at_ + read_timeout_ms());
    opening_ = false;
    opening_done_.notify_all();
    // Handles input and shutdowns from before the registration.
    event_loop_.wake(watch_token_, {.readable = true});
  } catch (const std::exception& failure) {
    const std::lock_guard lock(mutex_);
    opening_ = false;
    opening_done_.notify_all();
    const auto* known_failure = dynamic_cast<const Failure*>(&failure);
    end_watch(known_failure ? known_failure->reason : EndReason::local_error, failure.what());
  }
}

void EndpointListClient::on_ready(park::ReadinessEvents events) {
  if (!events.readable && !events.closed) return;
  const std::lock_guard lock(mutex_);
  if (stopping_ || !intake_) return;
  try {
    process_available_input();
    event_loop_.set_timeout(watch_token_, intake_->starved() ? clock_.now() + kResumeReadDelayMs
                                                             : last_message_at_ + read_timeout_ms());
  } catch (const Failure& failure) {
    end_watch(failure.reason, failure.what());
  } catch (const std::exception& failure) {
    end_watch(EndReason::invalid_list, failure.what());
  }
}

// A watch is silent, or the next attempt to open one is due.
void EndpointListClient::on_timeout() {
  const std::lock_guard lock(mutex_);
  if (stopping_ || opening_ || !watching_) return;
  if (!intake_)
    return clock_.now() < no_call_before_ ? event_loop_.set_timeout(timer_token_, no_call_before_)
                                          : start_call();
  if (intake_->starved()) return event_loop_.wake(watch_token_, {.readable = true});
  // The changes that the watch missed take effect 6 s after discovery fell silent, and most of that has
  // passed: another watch is opened at once. That includes a call without any response, as one that was
  // waiting when all fell silent. The module's delay between calls is for a discovery that responds with an
  // error. A local agent that never responded is down.
  if (mode_ == DiscoveryMode::on_request && !body_)
    response_timeout_ms_ = std::min(2 * read_timeout_ms(), kMaxResponseTimeoutFactor * silence_timeout_ms_);
  end_watch(EndReason::silent, body_ ? "silent" : "no answer");
}

// Called with the mutex held. How long the current call may stay silent.
double EndpointListClient::read_timeout_ms() const {
  return body_ ? silence_timeout_ms_ : std::max(silence_timeout_ms_, response_timeout_ms_);
}

// Called with the mutex held. Reads all that has been received. A watch lasts until something breaks it: then
// this throws.
void EndpointListClient::process_available_input() {
  intake_->begin_turn();
  if (!body_) {
    IoResult read_status = IoResult::done;
    const auto length = intake_->read_head(BufferedInput::kNoWait, read_status);
    if (!length && read_status == IoResult::timed_out) return;
    if (!length) throw Failure(EndReason::refused, "the connection ended before a response");
    const MessageHead head = parse_response_head(intake_->view().substr(0, *length));
    response_timeout_ms_ = 0;
    if (head.status != 200)
      throw Failure(EndReason::refused, "discovery responded with status " + std::to_string(head.status));
    const Framing framing = response_framing(head);
    intake_->consume(*length);
    body_.emplace(framing);
    last_message_at_ = clock_.now();
  }
  for (;;) {
    body_bytes_received_ += intake_->view().size();
    intake_->consume(body_->decode(intake_->view(), [this](std::string_view piece) { reader_.feed(piece); }));
    if (body_->complete()) throw_connection_ended();
    switch (intake_->read_more(BufferedInput::kNoWait)) {
      case IoResult::done:
        break;
      case IoResult::timed_out:
        return;
      case IoResult::end_of_stream:
      case IoResult::failed:
        throw_connection_ended();
    }
  }
}

void EndpointListClient::throw_connection_ended() {
  if (list_received_) throw Failure(EndReason::closed_by_discovery, "the connection ended");
  reader_.finish();  // throws if a list was truncated
  throw Failure(EndReason::refused, "the connection ended");
}

// Called with the mutex held, from process_available_input().
void EndpointListClient::on_keep_alive() {
  check_sequence_restart();
  last_message_at_ = clock_.now();
}

// Likewise. An update with an invalid address is rejected as a whole.
void EndpointListClient::on_update(endpoints::EndpointUpdate&& update) {
  check_sequence_restart();
  for (const endpoints::Endpoint& endpoint : update.endpoints) Address{endpoint.address};
  last_message_at_ = clock_.now();
  if (!std::exchange(list_received_, true))
    core::log_line("watch: open at seq " + std::to_string(update.sequence));
  reopen_delay_ms_ = 0;
  silent_since_last_list_ = false;
  address_confirmed_ |= !address_changed_;
  unusable_lists_in_row_ = 0;
  as_of_ = clock_.now();
  accept_update(std::move(update));
  notify_first_list();
}

// Likewise.
void EndpointListClient::on_error(const endpoints::EndpointListError& error) {
  throw Failure(EndReason::invalid_list, error.text);
}

// Called with the mutex held.
void EndpointListClient::check_sequence_restart() {
  if (!older_since_ || clock_.now() - *older_since_ < kOlderListHoldMs) return;
  sequence_ = 0;  // requests the whole list
  accept_any_sequence_ = true;
  older_since_.reset();
  throw Failure(EndReason::closed_by_discovery, "the sequence of discovery has restarted");
}

// Called with the mutex held.
void EndpointListClient::accept_update(endpoints::EndpointUpdate&& update) {
  if (update.sequence < sequence_ && !accept_any_sequence_) return accept_drains_of_older_list(update);
  accept_any_sequence_ = false;
  older_since_.reset();
  apply(std::move(update), update.is_snapshot ? ListKind::full : ListKind::changes);
}

// Called with the mutex held. An older list must not reinstate a worker that has drained or been removed
// since, nor remove one that has been added since. But its drains may be new all the same, from a discovery
// whose sequence restarted, and they take effect: a drain of a worker with the same start time is applied at
// once, the rest of the list once discovery has repeated it for kOlderListHoldMs.
void EndpointListClient::accept_drains_of_older_list(const endpoints::EndpointUpdate& older) {
  if (!older_since_) {
    older_since_ = clock_.now();
    core::log_line("watch: the list goes back from seq " + std::to_string(sequence_) + " to " +
                   std::to_string(older.sequence) + ": only its drains are taken for now");
  }
  endpoints::EndpointUpdate drains{sequence_, false, {}};
  for (const endpoints::Endpoint& endpoint : older.endpoints) {
    const endpoints::Endpoint* known = table_.find(endpoint.name());
    if (known && endpoint.entry.state != WorkerState::ready && known->entry.state == WorkerState::ready &&
        endpoint.entry.started == known->entry.started)
      drains.endpoints.push_back(endpoint);
  }
  if (!drains.endpoints.empty()) apply(std::move(drains), ListKind::changes);
}

std::string EndpointListClient::serialized_list() const {
  const std::lock_guard lock(mutex_);
  core::EndpointList list{sequence_, true, {}};
  const std::optional<double> as_of = body_ && list_received_ ? last_message_at_ : as_of_;
  if (as_of) list.as_of_monotonic_ms = clock_.to_monotonic(*as_of);
  for (const endpoints::Endpoint& endpoint : table_) list.endpoints.push_back(endpoint);
  return core::serialize(list);
}

// The module receives it as a remembered list: no watch of this process has delivered it, and one has to be
// opened.
void EndpointListClient::merge_sibling_list(const std::string& text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) return;
  const core::EndpointList list = core::parse_endpoint_list(object);
  const std::lock_guard lock(mutex_);
  const bool confirms = list.seq == sequence_ && !as_of_ && list.as_of_monotonic_ms;
  if (stopping_ || (list.seq <= sequence_ && !confirms)) return;
  core::log_line("host group: the other process has seq " + std::to_string(list.seq) + ", this one had " +
                 std::to_string(sequence_));
  if (list.as_of_monotonic_ms) {
    const double as_of = clock_.from_monotonic(*list.as_of_monotonic_ms);
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
  }
  apply(to_update(list), ListKind::remembered);
  if (as_of_) notify_first_list();
}

// Called with the mutex held. Changes take effect some time after they could be received. A watch that
// discovery closes, and a call that fails in a way that shows an outage, tell that discovery went down or is
// down: then it cannot send changes to others either. A watch that falls silent shows nothing.
void EndpointListClient::update_as_of(EndReason reason) {
  if (body_ && list_received_) as_of_ = last_message_at_;
  if (reason == EndReason::silent) silent_since_last_list_ = true;
  if (reason == EndReason::closed_by_discovery) as_of_ = clock_.now();
  if (reason == EndReason::invalid_list) {
    delay_next_call();
    as_of_ = std::max({as_of_.value_or(0), call_started_at_, no_call_before_});
  }
  if (shows_outage(reason)) as_of_ = std::max(as_of_.value_or(call_started_at_), call_started_at_);
}

// Called with the mutex held. A call that is refused after a watch fell silent may be one of too many:
// discovery is up and has sent its changes to others. After a reload changes at the new address take effect
// kAddressChangeGraceMs later, whatever becomes of the calls.
bool EndpointListClient::shows_outage(EndReason reason) const {
  if (!address_confirmed_) return false;
  return reason == EndReason::unreachable || (reason == EndReason::refused && !silent_since_last_list_);
}

// Called with the mutex held. The first unusable list may be a transmission fault; further ones are read only
// as often as the control traffic limit allows. The current list stays in force meanwhile: what discovery has
// cannot be delivered to anybody.
void EndpointListClient::delay_next_call() {
  unusable_lists_ += 1;
  unusable_lists_in_row_ += 1;
  const double delay_ms =
      unusable_lists_in_row_ > 1 ? static_cast<double>(body_bytes_received_) / kControlBytesPerMs : 0;
  no_call_before_ = clock_.now() + delay_ms;
  core::log_line("watch: list " + std::to_string(unusable_lists_) + " that cannot be used, of " +
                 std::to_string(body_bytes_received_) + " bytes; the next call waits " +
                 std::to_string(static_cast<int>(delay_ms / 1'000)) + " s");
}

// Called with the mutex held.
std::optional<woadtide::Micros> EndpointListClient::as_of() const {
  if (!as_of_) return std::nullopt;
  return core::to_micros(*as_of_);
}

// Called with the mutex held. In push mode the module opens no watch and does not need this.
void EndpointListClient::report_interruption() {
  if (mode_ == DiscoveryMode::on_request)
    inbox_.push(core::ListUpdateReceived{{ListKind::interrupted, {}, as_of()}});
}

// Called with the mutex held.
void EndpointListClient::notify_first_list() {
  if (const auto call = std::exchange(on_first_list_, {})) call();
}

// Called with the mutex held. The watch is closed before the module is told of the failure, so that it can
// call again.
void EndpointListClient::end_watch(EndReason reason, const std::string& why) {
  const bool reopen = reason == EndReason::silent && (list_received_ || mode_ == DiscoveryMode::on_request);
  if (!address_changed_) update_as_of(reason);
  event_loop_.remove(std::exchange(watch_token_, park::EventLoop::kNoToken));
  body_.reset();
  reader_.reset();
  intake_.reset();
  list_received_ = false;
  socket_ = Socket{};
  watching_ = false;
  if (stopping_) return;
  if (address_changed_) return start_call();
  if (reason == EndReason::local_error) return retry_after_local_error(why);
  if (reopen_delay_ms_ == 0) core::log_line("watch: failed: " + why);
  if (reopen) {
    report_interruption();
    return start_call();
  }
  if (mode_ == DiscoveryMode::pushed) {
    watching_ = true;
    reopen_delay_ms_ = std::clamp(2 * reopen_delay_ms_, kReopenDelayMs, kMaxReopenDelayMs);
    return event_loop_.set_timeout(timer_token_, std::max(clock_.now() + reopen_delay_ms_, no_call_before_));
  }
  inbox_.push(core::ListUpdateReceived{{ListKind::failed, {}, as_of()}});
}

// Called with the mutex held. Discovery may be up and have sent a drain to others, so the call is repeated as
// soon as this machine can.
void EndpointListClient::retry_after_local_error(const std::string& why) {
  if (local_failure_log_.allow(clock_.now())) core::log_line("watch: failed: " + why);
  watching_ = true;
  event_loop_.set_timeout(timer_token_, clock_.now() + kReopenDelayMs);
}

// Called with the mutex held, or from the constructor.
void EndpointListClient::apply(endpoints::EndpointUpdate&& update, ListKind kind) {
  core::ListUpdateReceived message{{kind, {}, kind == ListKind::remembered ? as_of() : std::nullopt}};
  for (const endpoints::Endpoint& endpoint : update.endpoints)
    message.update.entries.push_back(endpoint.entry);
  sequence_ = update.sequence;
  const endpoints::EndpointDelta delta = table_.apply(std::move(update));
  if (kind != ListKind::remembered) log_changes(delta);
  inbox_.push(std::move(message));
}

void EndpointListClient::log_changes(const endpoints::EndpointDelta& delta) {
  const auto log = [](const endpoints::Endpoint& endpoint, const char* word) {
    core::log_line("host group: " + endpoint.name() + word + endpoint.address);
  };
  const auto log_state = [&](const endpoints::Endpoint& endpoint) {
    log(endpoint, endpoint.entry.state == WorkerState::ready ? " is ready at " : " drains at ");
  };
  for (const endpoints::Endpoint* added : delta.added) log_state(*added);
  for (const endpoints::EndpointChange& change : delta.changed)
    if (change.before.entry.state != change.after->entry.state ||
        change.before.address != change.after->address)
      log_state(*change.after);
  for (const endpoints::Endpoint& removed : delta.removed) log(removed, " is gone from ");
}

}  // namespace woadtide::net
