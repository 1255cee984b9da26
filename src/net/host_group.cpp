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
// PROTOCOL: a body holds at most 64 KiB; indenting each of its lines makes several times that of it.
constexpr std::size_t kMostObject = 4 * kMostBody;
}  // namespace

// Thrown where a watch or a call for one ends.
struct HostGroup::Failure : std::runtime_error {
  Failure(Ending how, const std::string& why) : std::runtime_error(why), ending(how) {}
  Ending ending;
};

HostGroup::HostGroup(const std::string& discovery, const core::HostList& remembered, core::Clock& clock,
                     core::Inbox& inbox, BufferPool& pool, park::Park& park, park::Crew& crew, Way way,
                     double silence_ms, std::function<void()> on_list)
    : clock_(clock),
      inbox_(inbox),
      pool_(pool),
      park_(park),
      crew_(crew),
      way_(way),
      silence_ms_(silence_ms),
      discovery_(discovery),
      address_(discovery),
      on_list_(std::move(on_list)) {
  apply(remembered, ListKind::remembered);
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
  if (!following_) begin();
}

void HostGroup::move(const std::string& discovery) {
  const Address address(discovery);  // throws before anything is changed
  const std::lock_guard lock(mutex_);
  if (discovery == discovery_) return;
  discovery_ = discovery;
  address_ = address;
  any_seq_ = true;
  if (lines_ && told_) as_of_ = heard_at_;
  if (as_of_) as_of_ = std::min(*as_of_, clock_.now() - (core::kToldWithinMs - kMoveBindsMs));
  tell_interruption();
  // One watch is followed: what is open is shut, and it goes on at the new address.
  moved_ = following_;
  if (!following_) return begin();
  if (socket_) socket_.shut();
}

std::optional<HostGroup::Known> HostGroup::find(const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  const auto found = hosts_.find(worker);
  if (found == hosts_.end()) return std::nullopt;
  return found->second;
}

// Under the mutex. Drains are heard by it: it goes before all other work of the crew.
void HostGroup::begin() {
  following_ = true;
  moved_ = false;
  called_at_ = clock_.now();
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
    if (!socket_.connect(address, kConnectMs)) throw Failure(Ending::unreachable, "could not connect");
    if (socket_.send({query}, clock_.now() + silence_ms_, clock_) != Io::done)
      throw Failure(Ending::unreachable, "broke while it was opened");
    const std::lock_guard lock(mutex_);
    // A socket that was shut before it began to connect connects all the same, to where discovery was.
    if (moved_) throw Failure(Ending::unreachable, "discovery has moved");
    heard_at_ = clock_.now();
    intake_.emplace(socket_, clock_, pool_);
    watch_ = park_.enter(*this, socket_.fd());
    park_.wake_at(watch_, heard_at_ + silence_ms_);
    opening_ = false;
    opened_.notify_all();
    // What came, or was shut, before it stood there.
    park_.poke(watch_, {.readable = true});
  } catch (const std::exception& failed) {
    const std::lock_guard lock(mutex_);
    opening_ = false;
    opened_.notify_all();
    const auto* known = dynamic_cast<const Failure*>(&failed);
    end(known ? known->ending : Ending::unreachable, failed.what());
  }
}

void HostGroup::ready(park::Signs signs) {
  if (!signs.readable && !signs.closed) return;
  const std::lock_guard lock(mutex_);
  if (stopping_ || !intake_) return;
  try {
    hear();
    park_.wake_at(watch_, intake_->starved() ? clock_.now() + kGoOnMs : heard_at_ + silence_ms_);
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
  if (!intake_) return begin();
  if (intake_->starved()) return park_.poke(watch_, {.readable = true});
  // What it missed counts as told 6 s after discovery fell silent, and most of that has gone: another one is
  // opened at once, also where this one never spoke, as of a call that was waiting when all fell silent. The
  // module's gap between calls is for a discovery that answers, and says no. An agent that never spoke is
  // down.
  end(Ending::silent, lines_ ? "silent" : "no answer");
}

// Under the mutex, all that has come. A watch lasts until something breaks it: then it throws.
void HostGroup::hear() {
  intake_->begin_turn();
  if (!lines_) {
    Io why = Io::done;
    const auto length = intake_->head(Intake::kNoWait, why);
    if (!length && why == Io::late) return;
    if (!length) throw Failure(Ending::unreachable, "ended before an answer");
    const Head head = read_answer_head(intake_->view().substr(0, *length));
    if (head.status != 200)
      throw Failure(Ending::refused, "discovery answered " + std::to_string(head.status));
    const Framing framing = framing_of_answer(head);
    intake_->use(*length);
    lines_.emplace(*intake_, framing);
    heard_at_ = clock_.now();
  }
  std::string line;
  for (;;) {
    switch (lines_->next(line, Intake::kNoWait)) {
      case LineReader::Got::line:
        break;
      case LineReader::Got::late:
        return;
      case LineReader::Got::end:
      case LineReader::Got::broken:
        throw Failure(told_ ? Ending::by_discovery : Ending::unreachable, "the link ended");
    }
    if (older_since_ && clock_.now() - *older_since_ >= kOlderMs) {
      seq_ = 0;  // asks for the whole list
      any_seq_ = true;
      older_since_.reset();
      throw std::runtime_error("discovery has begun anew");
    }
    if (!takes_whole(line)) continue;
    const nlohmann::json object = nlohmann::json::parse(line, nullptr, false);
    if (object.is_discarded()) throw std::runtime_error("a line is not JSON");
    const core::HostList list = core::read_host_list(object);
    if (!std::exchange(told_, true)) core::log_line("watch: open at seq " + std::to_string(list.seq));
    again_ms_ = 0;
    fell_silent_ = false;
    as_of_ = clock_.now();
    take(list);
    tell_first_list();
  }
}

// Under the mutex. True where an object is whole with this line, which then holds all of it.
bool HostGroup::takes_whole(std::string& line) {
  const bool blank = line.find_first_not_of(" \t") == std::string::npos;
  if (blank && object_.empty()) heard_at_ = clock_.now();
  if (blank) return false;
  nesting_.pass(line);
  object_ += line;
  if (object_.size() > kMostObject) throw std::runtime_error("a list without end");
  if (nesting_.open()) return false;
  line = std::exchange(object_, {});
  nesting_ = {};
  heard_at_ = clock_.now();
  return true;
}

// Under the mutex.
void HostGroup::take(const core::HostList& list) {
  if (list.seq < seq_ && !any_seq_) return take_older(list);
  any_seq_ = false;
  older_since_.reset();
  apply(list, list.whole ? ListKind::full : ListKind::changes);
}

// Under the mutex. A worker that has drained or gone since must not come back by it, nor one go that came
// since. But a drain may be news all the same, from a discovery that counts anew, and counts as told: what
// it takes away from a worker of the same start holds at once, and the rest once it has said so for long.
void HostGroup::take_older(const core::HostList& list) {
  if (!older_since_) {
    older_since_ = clock_.now();
    core::log_line("watch: the list goes back from seq " + std::to_string(seq_) + " to " +
                   std::to_string(list.seq) + ": only its drains are taken for now");
  }
  core::HostList drains{seq_, false, {}};
  for (const core::Host& host : list.hosts) {
    const auto known = hosts_.find(host.entry.worker);
    if (known != hosts_.end() && host.entry.state != WorkerState::ready &&
        known->second.entry.state == WorkerState::ready && host.entry.started == known->second.entry.started)
      drains.hosts.push_back(host);
  }
  if (!drains.hosts.empty()) apply(drains, ListKind::changes);
}

std::string HostGroup::list() const {
  const std::lock_guard lock(mutex_);
  core::HostList list{seq_, true, {}};
  if (lines_ && told_)
    list.as_of_ms = heard_at_;
  else
    list.as_of_ms = as_of_;
  for (const auto& [worker, known] : hosts_) list.hosts.push_back({known.entry, known.dial});
  return core::text_of(list);
}

// The module takes it as a list that is remembered: no watch of this process has told it, and one has to be
// opened.
void HostGroup::hear_list(const std::string& text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) return;
  const core::HostList list = core::read_host_list(object);
  const std::lock_guard lock(mutex_);
  const bool confirms = list.seq == seq_ && !as_of_ && list.as_of_ms;
  if (stopping_ || (list.seq <= seq_ && !confirms)) return;
  core::log_line("host group: the other process has seq " + std::to_string(list.seq) + ", this one had " +
                 std::to_string(seq_));
  if (list.as_of_ms) as_of_ = std::max(as_of_.value_or(*list.as_of_ms), *list.as_of_ms);
  apply(list, ListKind::remembered);
  if (as_of_) tell_first_list();
}

// Under the mutex. Discovery's changes bind some time after they could be heard. A watch that ends of itself,
// and a call that is not taken, show that discovery went down or is: it can tell others nothing either. One
// that falls silent shows nothing, and a call that is refused after that may be one of too many.
void HostGroup::note_reachability(Ending ending) {
  if (lines_ && told_) as_of_ = heard_at_;
  if (ending == Ending::silent) fell_silent_ = true;
  if (ending == Ending::by_discovery) as_of_ = clock_.now();
  if (ending == Ending::unreachable || (ending == Ending::refused && !fell_silent_))
    as_of_ = std::max(as_of_.value_or(called_at_), called_at_);
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
  lines_.reset();
  intake_.reset();
  told_ = false;
  object_.clear();
  nesting_ = {};
  socket_ = Socket{};
  following_ = false;
  if (stopping_) return;
  if (moved_) return begin();
  if (again_ms_ == 0) core::log_line("watch: failed: " + why);
  if (again) {
    tell_interruption();
    return begin();
  }
  if (way_ == Way::pushed) {
    following_ = true;
    again_ms_ = std::clamp(2 * again_ms_, kAgainMs, kMostAgainMs);
    return park_.wake_at(begins_, clock_.now() + again_ms_);
  }
  inbox_.put(core::ListTold{{ListKind::failed, {}, as_of()}});
}

// Under the mutex, or before anybody else knows of this.
void HostGroup::apply(const core::HostList& list, ListKind kind) {
  std::map<std::string, Known> told;
  core::ListTold message{{kind, {}, kind == ListKind::remembered ? as_of() : std::nullopt}};
  for (const core::Host& host : list.hosts) {
    told.insert_or_assign(host.entry.worker, Known{Address(host.dial), host.dial, host.entry});
    message.update.entries.push_back(host.entry);
  }
  seq_ = list.seq;
  std::map<std::string, Known> before = hosts_;
  if (kind != ListKind::changes) hosts_.clear();
  for (auto& [worker, known] : told) {
    const auto was = before.find(worker);
    const bool news = was == before.end() || was->second.entry.state != known.entry.state;
    if (news && kind != ListKind::remembered) {
      const char* word = known.entry.state == WorkerState::ready      ? " is ready at "
                         : known.entry.state == WorkerState::draining ? " drains at "
                                                                      : " is gone from ";
      core::log_line("host group: " + worker + word + known.dial);
    }
    if (known.entry.state == WorkerState::gone)
      hosts_.erase(worker);
    else
      hosts_.insert_or_assign(worker, std::move(known));
  }
  inbox_.put(std::move(message));
}

}  // namespace woadtide::net
