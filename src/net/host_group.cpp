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
constexpr double kAgainMs = 50;  // where no thread can be had to open a watch, and first after an agent's end
constexpr double kMostAgainMs =
    1'000;  // it doubles up to this: an agent is on our own machine, and asking is free
// What an operator allows a dispatcher for control, which a list that cannot be used must not exceed for
// long.
constexpr double kControlBytesPerMs = 4.096;

endpoints::EndpointUpdate update_of(const core::HostList& list) {
  return {list.seq, true, {list.hosts.begin(), list.hosts.end()}};
}
}  // namespace

// Thrown where a watch or a call for one ends.
struct HostGroup::Failure : std::runtime_error {
  Failure(Ending how, const std::string& why) : std::runtime_error(why), ending(how) {}
  Ending ending;
};

HostGroup::HostGroup(const std::string& discovery, const core::HostList& remembered, core::Clock& clock,
                     core::Inbox& inbox, BufferPool& pool, park::Park& park, park::Crew& crew, Way way,
                     double silence_ms, std::function<void()> on_list,
                     const endpoints::EndpointLimits& limits)
    : clock_(clock),
      inbox_(inbox),
      pool_(pool),
      park_(park),
      crew_(crew),
      way_(way),
      silence_ms_(silence_ms),
      discovery_(discovery),
      address_(discovery),
      reader_(limits, *this),
      on_list_(std::move(on_list)) {
  apply(update_of(remembered), ListKind::remembered);
  begins_ = park_.enter(*this, -1);
  if (way_ == Way::pushed) watch();
}

HostGroup::~HostGroup() {
  {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    if (socket_) socket_.shut();
    opened_.wait(lock, [this] { return !opening_; });
    park_.leave(begins_);
    park_.leave(watch_);
  }
  park_.quiesce();
}

void HostGroup::watch() {
  const std::lock_guard lock(mutex_);
  if (following_) return;
  if (clock_.now() >= not_before_) return begin();
  following_ = true;
  park_.wake_at(begins_, not_before_);
}

void HostGroup::move(const std::string& discovery) {
  const Address address(discovery);  // throws before anything is changed
  const std::lock_guard lock(mutex_);
  if (discovery == discovery_) return;
  discovery_ = discovery;
  address_ = address;
  any_seq_ = true;
  not_before_ = unanswered_ms_ = 0;
  if (body_ && told_) as_of_ = heard_at_;
  if (as_of_) as_of_ = std::min(*as_of_, clock_.now() - (core::kToldWithinMs - kMoveBindsMs));
  tell_interruption();
  // One watch is followed: what is open is shut, and it goes on at the new address.
  moved_ = following_;
  if (!following_) return begin();
  if (socket_) socket_.shut();
}

std::optional<HostGroup::Known> HostGroup::find(const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  const endpoints::Endpoint* found = table_.find(worker);
  if (!found) return std::nullopt;
  return Known{Address(found->dial), found->dial, found->entry};
}

// Under the mutex. Drains are heard by it: it goes before all other work of the crew.
void HostGroup::begin() {
  following_ = true;
  moved_ = false;
  called_at_ = clock_.now();
  received_ = 0;
  opening_ = crew_.take([this] { open(); }, true);
  if (!opening_) park_.wake_at(begins_, clock_.now() + kAgainMs);
}

void HostGroup::open() {
  Address address;
  std::string query;
  try {
    {
      const std::lock_guard lock(mutex_);
      moved_ = false;  // this is where it goes now
      address = address_;
      socket_ = Socket::make(address);
      query = "GET /registry/instances?follow=1&since=" + std::to_string(seq_) +
              " HTTP/1.1\r\nHost: " + discovery_ + "\r\n\r\n";
    }
    const ConnectError error = socket_.try_connect(address, kConnectMs);
    if (error == ConnectError::own) throw Failure(Ending::own, "no connect can be had on this machine");
    if (error != ConnectError::none) throw Failure(Ending::unreachable, "could not connect");
    if (socket_.send({query}, clock_.now() + silence_ms_, clock_) != Io::done)
      throw Failure(Ending::unreachable, "broke while it was opened");
    const std::lock_guard lock(mutex_);
    // A socket that was shut before it began to connect connects all the same, to where discovery was.
    if (moved_) throw Failure(Ending::unreachable, "discovery has moved");
    heard_at_ = clock_.now();
    intake_.emplace(socket_, clock_, pool_);
    watch_ = park_.enter(*this, socket_.fd());
    park_.wake_at(watch_, heard_at_ + patience_ms());
    opening_ = false;
    opened_.notify_all();
    // What came, or was shut, before it stood there.
    park_.poke(watch_, {.readable = true});
  } catch (const std::exception& failed) {
    const std::lock_guard lock(mutex_);
    opening_ = false;
    opened_.notify_all();
    const auto* known = dynamic_cast<const Failure*>(&failed);
    end(known ? known->ending : Ending::own, failed.what());
  }
}

void HostGroup::ready(park::Signs signs) {
  if (!signs.readable && !signs.closed) return;
  const std::lock_guard lock(mutex_);
  if (stopping_ || !intake_) return;
  try {
    hear();
    park_.wake_at(watch_, intake_->starved() ? clock_.now() + kGoOnMs : heard_at_ + patience_ms());
  } catch (const Failure& failed) {
    end(failed.ending, failed.what());
  } catch (const std::exception& failed) {
    end(Ending::unreadable, failed.what());
  }
}

// A watch is silent, or another try to open one is due.
void HostGroup::late() {
  const std::lock_guard lock(mutex_);
  if (stopping_ || opening_ || !following_) return;
  if (!intake_) return clock_.now() < not_before_ ? park_.wake_at(begins_, not_before_) : begin();
  if (intake_->starved()) return park_.poke(watch_, {.readable = true});
  // What it missed counts as told 6 s after discovery fell silent, and most of that has gone: another one is
  // opened at once, also where this one never spoke, as of a call that was waiting when all fell silent. The
  // module's gap between calls is for a discovery that answers, and says no. An agent that never spoke is
  // down.
  if (way_ == Way::asked && !body_)
    unanswered_ms_ = std::min(2 * patience_ms(), kMostUnansweredFactor * silence_ms_);
  end(Ending::silent, body_ ? "silent" : "no answer");
}

// Under the mutex. How long the open call may say nothing.
double HostGroup::patience_ms() const { return body_ ? silence_ms_ : std::max(silence_ms_, unanswered_ms_); }

// Under the mutex, all that has come. A watch lasts until something breaks it: then it throws.
void HostGroup::hear() {
  intake_->begin_turn();
  if (!body_) {
    Io why = Io::done;
    const auto length = intake_->head(Intake::kNoWait, why);
    if (!length && why == Io::late) return;
    if (!length) throw Failure(Ending::unreachable, "ended before an answer");
    const Head head = read_answer_head(intake_->view().substr(0, *length));
    unanswered_ms_ = 0;
    if (head.status != 200)
      throw Failure(Ending::refused, "discovery answered " + std::to_string(head.status));
    const Framing framing = framing_of_answer(head);
    intake_->use(*length);
    body_.emplace(framing);
    heard_at_ = clock_.now();
  }
  for (;;) {
    received_ += intake_->view().size();
    intake_->use(body_->feed(intake_->view(), [this](std::string_view piece) { reader_.feed(piece); }));
    if (body_->over()) throw_ended();
    switch (intake_->more(Intake::kNoWait)) {
      case Io::done:
        break;
      case Io::late:
        return;
      case Io::ended:
      case Io::broken:
        throw_ended();
    }
  }
}

void HostGroup::throw_ended() {
  if (told_) throw Failure(Ending::by_discovery, "the link ended");
  reader_.finish();  // throws where a list was cut off
  throw Failure(Ending::unreachable, "the link ended");
}

// Under the mutex, within hear().
void HostGroup::on_keep_alive() {
  check_begun_anew();
  heard_at_ = clock_.now();
}

// The same. An update that cannot be used is not taken at all.
void HostGroup::on_update(endpoints::EndpointUpdate&& update) {
  check_begun_anew();
  for (const endpoints::Endpoint& endpoint : update.endpoints) Address{endpoint.dial};
  heard_at_ = clock_.now();
  if (!std::exchange(told_, true)) core::log_line("watch: open at seq " + std::to_string(update.sequence));
  again_ms_ = 0;
  fell_silent_ = false;
  unusable_in_row_ = 0;
  as_of_ = clock_.now();
  take(std::move(update));
  tell_first_list();
}

// The same.
void HostGroup::on_error(const endpoints::EndpointListError& error) {
  throw Failure(Ending::unreadable, error.text);
}

// Under the mutex.
void HostGroup::check_begun_anew() {
  if (!older_since_ || clock_.now() - *older_since_ < kOlderMs) return;
  seq_ = 0;  // asks for the whole list
  any_seq_ = true;
  older_since_.reset();
  throw Failure(Ending::by_discovery, "discovery has begun anew");
}

// Under the mutex.
void HostGroup::take(endpoints::EndpointUpdate&& update) {
  if (update.sequence < seq_ && !any_seq_) return take_older(update);
  any_seq_ = false;
  older_since_.reset();
  apply(std::move(update), update.whole ? ListKind::full : ListKind::changes);
}

// Under the mutex. A worker that has drained or gone since must not come back by it, nor one go that came
// since. But a drain may be news all the same, from a discovery that counts anew, and counts as told: what
// it takes away from a worker of the same start holds at once, and the rest once it has said so for long.
void HostGroup::take_older(const endpoints::EndpointUpdate& older) {
  if (!older_since_) {
    older_since_ = clock_.now();
    core::log_line("watch: the list goes back from seq " + std::to_string(seq_) + " to " +
                   std::to_string(older.sequence) + ": only its drains are taken for now");
  }
  endpoints::EndpointUpdate drains{seq_, false, {}};
  for (const endpoints::Endpoint& endpoint : older.endpoints) {
    const endpoints::Endpoint* known = table_.find(endpoint.name());
    if (known && endpoint.entry.state != WorkerState::ready && known->entry.state == WorkerState::ready &&
        endpoint.entry.started == known->entry.started)
      drains.endpoints.push_back(endpoint);
  }
  if (!drains.endpoints.empty()) apply(std::move(drains), ListKind::changes);
}

std::string HostGroup::list() const {
  const std::lock_guard lock(mutex_);
  core::HostList list{seq_, true, {}};
  const std::optional<double> as_of = body_ && told_ ? heard_at_ : as_of_;
  if (as_of) list.as_of_monotonic_ms = clock_.to_monotonic(*as_of);
  for (const endpoints::Endpoint& endpoint : table_) list.hosts.push_back(endpoint);
  return core::text_of(list);
}

// The module takes it as a list that is remembered: no watch of this process has told it, and one has to be
// opened.
void HostGroup::hear_list(const std::string& text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) return;
  const core::HostList list = core::read_host_list(object);
  const std::lock_guard lock(mutex_);
  const bool confirms = list.seq == seq_ && !as_of_ && list.as_of_monotonic_ms;
  if (stopping_ || (list.seq <= seq_ && !confirms)) return;
  core::log_line("host group: the other process has seq " + std::to_string(list.seq) + ", this one had " +
                 std::to_string(seq_));
  if (list.as_of_monotonic_ms) {
    const double as_of = clock_.from_monotonic(*list.as_of_monotonic_ms);
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
  }
  apply(update_of(list), ListKind::remembered);
  if (as_of_) tell_first_list();
}

// Under the mutex. Discovery's changes bind some time after they could be heard. A watch that ends of itself,
// and a call that is not taken, show that discovery went down or is: it can tell others nothing either. One
// that falls silent shows nothing, and a call that is refused after that may be one of too many.
void HostGroup::note_reachability(Ending ending) {
  if (body_ && told_) as_of_ = heard_at_;
  if (ending == Ending::silent) fell_silent_ = true;
  if (ending == Ending::by_discovery) as_of_ = clock_.now();
  if (ending == Ending::unreadable) {
    wait_for_bytes();
    as_of_ = std::max({as_of_.value_or(0), called_at_, not_before_});
  }
  if (ending == Ending::unreachable || (ending == Ending::refused && !fell_silent_))
    as_of_ = std::max(as_of_.value_or(called_at_), called_at_);
}

// Under the mutex. The first list that cannot be used may be a fault of the way; further ones are read only
// as often as the bytes for control allow, and the list that is held stays in force meanwhile: what discovery
// has cannot be told to anybody.
void HostGroup::wait_for_bytes() {
  unusable_lists_ += 1;
  unusable_in_row_ += 1;
  const double wait = unusable_in_row_ > 1 ? static_cast<double>(received_) / kControlBytesPerMs : 0;
  not_before_ = clock_.now() + wait;
  core::log_line("watch: list " + std::to_string(unusable_lists_) + " that cannot be used, of " +
                 std::to_string(received_) + " bytes; the next call waits " +
                 std::to_string(static_cast<int>(wait / 1'000)) + " s");
}

// Under the mutex.
std::optional<woadtide::Micros> HostGroup::as_of() const {
  if (!as_of_) return std::nullopt;
  return core::to_micros(*as_of_);
}

// Under the mutex. Where lists are pushed the module asks for none, and has no use for this.
void HostGroup::tell_interruption() {
  if (way_ == Way::asked) inbox_.put(core::ListTold{{ListKind::interrupted, {}, as_of()}});
}

// Under the mutex.
void HostGroup::tell_first_list() {
  if (const auto call = std::exchange(on_list_, {})) call();
}

// Under the mutex. Closed before the module hears of the failure, so that it can ask again.
void HostGroup::end(Ending ending, const std::string& why) {
  const bool again = ending == Ending::silent && (told_ || way_ == Way::asked);
  if (!moved_) note_reachability(ending);
  park_.leave(std::exchange(watch_, park::Park::kNone));
  body_.reset();
  reader_.reset();
  intake_.reset();
  told_ = false;
  socket_ = Socket{};
  following_ = false;
  if (stopping_) return;
  if (moved_) return begin();
  if (ending == Ending::own) return begin_again_soon(why);
  if (again_ms_ == 0) core::log_line("watch: failed: " + why);
  if (again) {
    tell_interruption();
    return begin();
  }
  if (way_ == Way::pushed) {
    following_ = true;
    again_ms_ = std::clamp(2 * again_ms_, kAgainMs, kMostAgainMs);
    return park_.wake_at(begins_, std::max(clock_.now() + again_ms_, not_before_));
  }
  inbox_.put(core::ListTold{{ListKind::failed, {}, as_of()}});
}

// Under the mutex. Discovery may be well, and have told others of a drain: as soon as this machine can.
void HostGroup::begin_again_soon(const std::string& why) {
  if (own_failure_.due(clock_.now())) core::log_line("watch: failed: " + why);
  following_ = true;
  park_.wake_at(begins_, clock_.now() + kAgainMs);
}

// Under the mutex, or before anybody else knows of this.
void HostGroup::apply(endpoints::EndpointUpdate&& update, ListKind kind) {
  core::ListTold message{{kind, {}, kind == ListKind::remembered ? as_of() : std::nullopt}};
  for (const endpoints::Endpoint& endpoint : update.endpoints)
    message.update.entries.push_back(endpoint.entry);
  seq_ = update.sequence;
  const endpoints::EndpointDelta delta = table_.apply(std::move(update));
  if (kind != ListKind::remembered) log_changes(delta);
  inbox_.put(std::move(message));
}

void HostGroup::log_changes(const endpoints::EndpointDelta& delta) {
  const auto log = [](const endpoints::Endpoint& endpoint, const char* word) {
    core::log_line("host group: " + endpoint.name() + word + endpoint.dial);
  };
  const auto log_state = [&](const endpoints::Endpoint& endpoint) {
    log(endpoint, endpoint.entry.state == WorkerState::ready ? " is ready at " : " drains at ");
  };
  for (const endpoints::Endpoint* added : delta.added) log_state(*added);
  for (const endpoints::EndpointChange& change : delta.changed)
    if (change.before.entry.state != change.now->entry.state || change.before.dial != change.now->dial)
      log_state(*change.now);
  for (const endpoints::Endpoint& removed : delta.removed) log(removed, " is gone from ");
}

}  // namespace woadtide::net
