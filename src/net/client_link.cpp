#include "net/client_link.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "core/log.hpp"
#include "net/client_links.hpp"
#include "net/query_head.hpp"

namespace woadtide::net {

namespace {
const BadMessage kReadTimeout(408, "the rest did not come");
}

ClientLink::ClientLink(Socket socket, ClientLinkContext& context, ClientLinks& links)
    : context_(context),
      links_(links),
      mutex_(links.mutex_),
      socket_(std::move(socket)),
      reader_(context.pool),
      opened_at_(context.clock.now()),
      read_deadline_(opened_at_ + context.read_timeout_ms) {}

// Event handler: the socket became readable or writable, or the client closed.
void ClientLink::on_ready(park::ReadinessEvents signs) {
  peer_closed_ |= signs.closed;
  std::shared_ptr<PendingRequest> abandoned;
  bool writing = false, lingering = false;
  {
    const std::lock_guard lock(*mutex_);
    if (closed_) return;
    writing = writing_;
    lingering = state_ == ConnectionState::lingering;
    if (processing_ && !writing) {
      input_signalled_ |= signs.readable;
      if (signs.readable) unread_since_ = context_.clock.now();
      if (!peer_closed_) return;
      abandoned = std::exchange(pending_request_, nullptr);
      links_.remove_link(*this);
      if (!abandoned) return;
    }
  }
  if (abandoned) return abandoned->on_client_disconnected();
  if (writing) return send_pending();
  if (lingering) return discard_input();
  read_message();
}

// Event handler: a time limit of this link has been reached.
void ClientLink::on_timeout() {
  bool has_input = false;
  {
    const std::lock_guard lock(*mutex_);
    if (closed_ || (processing_ && !writing_)) return;
    if (writing_ || state_ == ConnectionState::lingering) return links_.remove_link(*this);
    has_input = reading_ || reader_.has_surplus() || !socket_.is_idle();
    if (!has_input) return links_.begin_linger(*this);
  }
  read_message();
}

// Reads what has arrived, at most up to the end of one message, and dispatches the message if it is complete.
void ClientLink::read_message() {
  try {
    if (read_available()) dispatch_message();
  } catch (const BadMessage& bad) {
    reject(bad.status, bad.what());
  } catch (const std::exception& error) {
    core::log_line(std::string("client link: ") + error.what());
    const std::lock_guard lock(*mutex_);
    links_.remove_link(*this);
  }
}

// True when a message is complete. Otherwise the link is closed, or waits for bytes or for its next turn.
bool ClientLink::read_available() {
  bool received = false;
  for (int reads = 0;; ++reads) {
    const double now = context_.clock.now();
    // Some messages arrive in pieces over seconds. But a client that has stopped sending must not hold a
    // place and a buffer, and one that sends a byte now and then must not hold them without end.
    if (!std::exchange(reading_, true)) {
      const double started_at = answered_ ? now : opened_at_;
      read_deadline_ = started_at + context_.read_timeout_ms;
      message_deadline_ = started_at + context_.message_timeout_ms;
    }
    const bool has_rest = reader_.has_surplus();
    const std::span<char> free_space = reader_.free_space();
    if (free_space.empty() || reads == kMaxReadsPerTurn) {
      if (now >= read_deadline_)
        throw free_space.empty() ? BadMessage(503, "no memory for it now") : kReadTimeout;
      schedule_read(std::min(now + kResumeReadDelayMs, read_deadline_), received);
      return false;
    }
    if (has_rest && reader_.bytes_received(0)) return true;
    std::size_t received_bytes = 0;
    // A non-blocking read: the event loop signals when there is more.
    const IoResult io = socket_.receive(free_space.data(), free_space.size(), received_bytes);
    if (now > context_.read_cutoff_ms) throw BadMessage(503, "clients are sent away");
    if (io == IoResult::timed_out) {
      unread_since_.reset();
      wait_for_bytes(now, received);
      return false;
    }
    if (io != IoResult::done) {
      const std::lock_guard lock(*mutex_);
      links_.remove_link(*this);
      return false;
    }
    received = true;
    received_at_ = unread_since_.value_or(now);
    if (reader_.bytes_received(received_bytes)) {
      // The connection may have waited to be accepted, and this process may have been delayed: the kernel
      // knows how old the bytes are.
      received_at_ = std::min(received_at_, context_.clock.before_now(socket_.newest_bytes_age_ms()));
      // Bytes that arrive from here on have not waited, even if they are there before finish_reply() looks.
      if (unread_since_ && socket_.is_idle()) unread_since_.reset();
      return true;
    }
    if (reader_.wants_continue()) socket_.send_available({"HTTP/1.1 100 Continue\r\n\r\n"});
    read_deadline_ = std::min(std::max(read_deadline_, now + context_.read_gap_ms), message_deadline_);
  }
}

// The socket is drained. A link on which no message has begun gives its buffer back.
void ClientLink::wait_for_bytes(double now, bool received) {
  if (!reader_.has_partial_message()) {
    reader_.release_empty_buffer();
    reading_ = false;
    const std::lock_guard lock(*mutex_);
    context_.event_loop.set_timeout(token_,
                                    answered_ ? state_since_ + context_.idle_timeout_ms : read_deadline_);
    return;
  }
  if (now >= read_deadline_) throw kReadTimeout;
  schedule_read(read_deadline_, received);
}

// Reads again at `when` at the latest. `received` says whether bytes arrived in this turn.
void ClientLink::schedule_read(double when, bool received) {
  context_.event_loop.set_timeout(token_, when);
  if (!received) return;
  const std::lock_guard lock(*mutex_);
  links_.set_state(*this, answered_ ? ConnectionState::busy : ConnectionState::reading);
}

// Passes the complete message to the frontend.
void ClientLink::dispatch_message() {
  reading_ = false;
  {
    const std::lock_guard lock(*mutex_);
    processing_ = true;
    links_.set_state(*this, ConnectionState::busy);
  }
  IncomingMessage message = reader_.take();
  message.received_at = received_at_;
  auto request = context_.frontend.handle_message(shared_from_this(), std::move(message));
  {
    const std::lock_guard lock(*mutex_);
    if (closed_) return;
    if (!processing_ || !request) {  // already answered
      if (peer_closed_ && !processing_) context_.event_loop.wake(token_, {.readable = true});
      return;
    }
    if (!peer_closed_) {
      pending_request_ = std::move(request);
      return;
    }
    links_.remove_link(*this);
  }
  request->on_client_disconnected();
}

void ClientLink::reply(int status, std::string_view fields, std::string_view body, bool closes,
                       bool is_query) {
  std::shared_ptr<PendingRequest> answered_request;  // destroyed after the mutex is released
  {
    const std::lock_guard lock(*mutex_);
    if (closed_) return;
    closes = closes || context_.draining;
    answered_request = std::exchange(pending_request_, nullptr);
  }
  // While the message is being processed nobody else uses the socket, except to detect that the client
  // closed.
  const std::string head = response_head(status, fields, body.size(), closes);
  const std::size_t sent_bytes = socket_.send_available({head, body});
  if (sent_bytes == head.size() + body.size()) return finish_reply(closes, is_query);
  unsent_ = head.substr(std::min(sent_bytes, head.size()));
  unsent_ += body.substr(sent_bytes - std::min(sent_bytes, head.size()));
  const std::lock_guard lock(*mutex_);
  if (closed_) return;
  close_when_sent_ = closes;
  unsent_is_query_ = is_query;
  writing_ = true;
  context_.event_loop.set_timeout(token_, context_.clock.now() + context_.message_timeout_ms);
  // The socket may have become writable before writing_ was set.
  context_.event_loop.wake(token_, {.writable = true});
}

// Continues to send the response.
void ClientLink::send_pending() {
  const std::size_t sent_bytes = socket_.send_available({unsent_});
  unsent_.erase(0, sent_bytes);
  if (!unsent_.empty() && !peer_closed_) return;
  const bool complete = std::exchange(unsent_, {}).empty();
  if (complete) return finish_reply(close_when_sent_, unsent_is_query_);
  const std::lock_guard lock(*mutex_);
  links_.remove_link(*this);
}

// The socket has accepted the whole response.
void ClientLink::finish_reply(bool closes, bool is_query) {
  const std::lock_guard lock(*mutex_);
  if (closed_) return;
  processing_ = writing_ = false;
  answered_ = true;
  carried_query_ |= is_query;
  if (closes) return links_.begin_linger(*this);
  // The last read may have taken less than had arrived, and the event loop signals only changes.
  const bool has_input =
      std::exchange(input_signalled_, false) || reader_.has_surplus() || !socket_.is_idle();
  links_.set_state(*this, carried_query_ ? ConnectionState::idle : ConnectionState::idle_no_query);
  context_.event_loop.set_timeout(token_, state_since_ + context_.idle_timeout_ms);
  if (has_input) context_.event_loop.wake(token_, {.readable = true});
}

// Answers a message that cannot be accepted, and closes the link.
void ClientLink::reject(int status, std::string_view reason) {
  reading_ = false;
  const std::string body = std::string(reason) + '\n';
  socket_.send_available({response_head(status, "Content-Type: text/plain\r\n", body.size(), true), body});
  {
    const std::lock_guard lock(*mutex_);
    if (closed_) return;
    processing_ = false;
    links_.begin_linger(*this);
  }
  discard_input();
}

// Reads and discards input of a link that lingers. Closing a socket with unread bytes resets the connection,
// which discards the part of the response that the client has not read yet. A client that keeps sending is
// closed all the same when its time is up.
void ClientLink::discard_input() {
  std::array<char, 4096> discarded{};
  std::size_t received_bytes = 0;
  IoResult io = IoResult::done;
  for (int reads = 0; io == IoResult::done && reads < kMaxReadsPerTurn; ++reads)
    io = socket_.receive(discarded.data(), discarded.size(), received_bytes);
  if (io == IoResult::timed_out) return;
  const std::lock_guard lock(*mutex_);
  if (io != IoResult::done || context_.clock.now() >= read_deadline_) return links_.remove_link(*this);
  context_.event_loop.wake(token_, {.readable = true});
}

}  // namespace woadtide::net
