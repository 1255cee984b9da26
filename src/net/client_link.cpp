#include "net/client_link.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "core/log.hpp"
#include "net/client_links.hpp"
#include "net/query_head.hpp"

namespace woadtide::net {

namespace {
const BadMessage kLate(408, "the rest did not come");
}

ClientLink::ClientLink(Socket socket, ClientSide& side, ClientLinks& links)
    : side_(side),
      links_(links),
      mutex_(links.mutex_),
      socket_(std::move(socket)),
      reader_(side.pool),
      opened_(side.clock.now()),
      until_(opened_ + side.first_ms) {}

void ClientLink::ready(park::Signs signs) {
  hung_up_ |= signs.closed;
  std::shared_ptr<Errand> nobody_waits;
  bool writes = false, lingers = false;
  {
    const std::lock_guard lock(*mutex_);
    if (over_) return;
    writes = writing_;
    lingers = state_ == ConnectionState::lingering;
    if (at_work_ && !writes) {
      unheard_ |= signs.readable;
      if (signs.readable) waiting_since_ = side_.clock.now();
      if (!hung_up_) return;
      nobody_waits = std::exchange(errand_, nullptr);
      links_.drop(*this);
      if (!nobody_waits) return;
    }
  }
  if (nobody_waits) return nobody_waits->gone();
  if (writes) return write_on();
  if (lingers) return take_rest();
  read();
}

void ClientLink::late() {
  bool reads = false;
  {
    const std::lock_guard lock(*mutex_);
    if (over_ || (at_work_ && !writing_)) return;
    if (writing_ || state_ == ConnectionState::lingering) return links_.drop(*this);
    reads = reads_ || reader_.has_rest() || !socket_.quiet();
    if (!reads) return links_.linger(*this);
  }
  read();
}

// All that has come, up to a whole message.
void ClientLink::read() {
  try {
    if (take_bytes()) hand_over();
  } catch (const BadMessage& bad) {
    reject(bad.status, bad.what());
  } catch (const std::exception& failed) {
    core::log_line(std::string("client link: ") + failed.what());
    const std::lock_guard lock(*mutex_);
    links_.drop(*this);
  }
}

bool ClientLink::take_bytes() {
  bool came = false;
  for (int reads = 0;; ++reads) {
    const double now = side_.clock.now();
    // Some come in pieces, for seconds. But one that has stopped must not hold a place and a buffer, nor may
    // a byte now and then hold them for good.
    if (!std::exchange(reads_, true)) {
      const double begun = served_ ? now : opened_;
      until_ = begun + side_.first_ms;
      last_ = begun + side_.message_ms;
    }
    const bool rest = reader_.has_rest();
    const std::span<char> room = reader_.room();
    if (room.empty() || reads == kReadsAtOnce) {
      if (now >= until_) throw room.empty() ? BadMessage(503, "no memory for it now") : kLate;
      go_on_at(std::min(now + kGoOnMs, until_), came);
      return false;
    }
    if (rest && reader_.came(0)) return true;
    std::size_t got = 0;
    // Asked whether it would wait, not to wait: the park tells when it need not.
    const Io io = socket_.receive(room.data(), room.size(), got);
    if (now > side_.read_until) throw BadMessage(503, "clients are sent away");
    if (io == Io::late) {
      waiting_since_.reset();
      await_more(now, came);
      return false;
    }
    if (io != Io::done) {
      const std::lock_guard lock(*mutex_);
      links_.drop(*this);
      return false;
    }
    came = true;
    arrived_ = waiting_since_.value_or(now);
    if (reader_.came(got)) {
      // A connection may have waited to be accepted, and this process may have been held up.
      arrived_ = std::min(arrived_, side_.clock.ago(socket_.age_of_newest_bytes()));
      // What comes from here on has not waited: also where it is there before sent() looks.
      if (waiting_since_ && socket_.quiet()) waiting_since_.reset();
      return true;
    }
    if (reader_.wants_continue()) socket_.send_some({"HTTP/1.1 100 Continue\r\n\r\n"});
    until_ = std::min(std::max(until_, now + side_.gap_ms), last_);
  }
}

// A link that says nothing holds no buffer.
void ClientLink::await_more(double now, bool came) {
  if (!reader_.begun()) {
    reader_.let_go();
    reads_ = false;
    const std::lock_guard lock(*mutex_);
    side_.park.wake_at(token_, served_ ? moved_ + side_.idle_ms : until_);
    return;
  }
  if (now >= until_) throw kLate;
  go_on_at(until_, came);
}

void ClientLink::go_on_at(double when, bool came) {
  side_.park.wake_at(token_, when);
  if (!came) return;
  const std::lock_guard lock(*mutex_);
  links_.put(*this, served_ ? ConnectionState::busy : ConnectionState::reading);
}

void ClientLink::hand_over() {
  reads_ = false;
  {
    const std::lock_guard lock(*mutex_);
    at_work_ = true;
    links_.put(*this, ConnectionState::busy);
  }
  Message message = reader_.take();
  message.received = arrived_;
  auto errand = side_.front.take(shared_from_this(), std::move(message));
  {
    const std::lock_guard lock(*mutex_);
    if (over_) return;
    if (!at_work_ || !errand) {  // answered already
      if (hung_up_ && !at_work_) side_.park.poke(token_, {.readable = true});
      return;
    }
    if (!hung_up_) {
      errand_ = std::move(errand);
      return;
    }
    links_.drop(*this);
  }
  errand->gone();
}

void ClientLink::reply(int status, std::string_view fields, std::string_view body, bool closes, bool worked) {
  std::shared_ptr<Errand> done;  // goes outside the mutex
  {
    const std::lock_guard lock(*mutex_);
    if (over_) return;
    closes = closes || side_.draining;
    done = std::exchange(errand_, nullptr);
  }
  // Nobody else touches the socket while the message is at work, but to see that the client has gone.
  const std::string head = answer_head(status, fields, body.size(), closes);
  const std::size_t went = socket_.send_some({head, body});
  if (went == head.size() + body.size()) return sent(closes, worked);
  out_ = head.substr(std::min(went, head.size()));
  out_ += body.substr(went - std::min(went, head.size()));
  const std::lock_guard lock(*mutex_);
  if (over_) return;
  closes_after_ = closes;
  worked_after_ = worked;
  writing_ = true;
  side_.park.wake_at(token_, side_.clock.now() + side_.message_ms);
  side_.park.poke(token_, {.writable = true});  // room may have come before anybody listened for it
}

void ClientLink::write_on() {
  const std::size_t went = socket_.send_some({out_});
  out_.erase(0, went);
  if (!out_.empty() && !hung_up_) return;
  const bool whole = std::exchange(out_, {}).empty();
  if (whole) return sent(closes_after_, worked_after_);
  const std::lock_guard lock(*mutex_);
  links_.drop(*this);
}

void ClientLink::sent(bool closes, bool worked) {
  const std::lock_guard lock(*mutex_);
  if (over_) return;
  at_work_ = writing_ = false;
  served_ = true;
  worked_ |= worked;
  if (closes) return links_.linger(*this);
  // A read may have brought less than had come, and the park tells of changes only.
  const bool more = std::exchange(unheard_, false) || reader_.has_rest() || !socket_.quiet();
  links_.put(*this, worked_ ? ConnectionState::idle : ConnectionState::asked);
  side_.park.wake_at(token_, moved_ + side_.idle_ms);
  if (more) side_.park.poke(token_, {.readable = true});
}

void ClientLink::reject(int status, std::string_view why) {
  reads_ = false;
  const std::string body = std::string(why) + '\n';
  socket_.send_some({answer_head(status, "Content-Type: text/plain\r\n", body.size(), true), body});
  {
    const std::lock_guard lock(*mutex_);
    if (over_) return;
    at_work_ = false;
    links_.linger(*this);
  }
  take_rest();
}

// Closing with bytes unread resets the link, and takes along what the client has not read yet of its answer.
// But one that sends on and on has had its time.
void ClientLink::take_rest() {
  std::array<char, 4096> rest{};
  std::size_t got = 0;
  Io io = Io::done;
  for (int reads = 0; io == Io::done && reads < kReadsAtOnce; ++reads)
    io = socket_.receive(rest.data(), rest.size(), got);
  if (io == Io::late) return;
  const std::lock_guard lock(*mutex_);
  if (io != Io::done || side_.clock.now() >= until_) return links_.drop(*this);
  side_.park.poke(token_, {.readable = true});
}

}  // namespace woadtide::net
