#include "net/client_link.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

#include "core/log.hpp"
#include "net/client_links.hpp"
#include "net/query_head.hpp"

namespace woadtide::net {

using core::AnswerKind;

namespace {

constexpr std::size_t kMostId = 128;
// For the word on what is wrong, and for what still comes behind it. With first_ms it keeps what a client
// that sends nothing good is owed, an error or a close in 3 s, and leaves something for a late accept.
constexpr double kLastWordMs = 500;

}  // namespace

struct ClientLink::Held {
  std::vector<Buffer> buffers;
  std::string fields;
};

// The mailbox ----------------------------------------------------------------------------------------------

void ClientLink::Mailbox::answer(core::Answer answer) {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
  came_.notify_one();
}

void ClientLink::Mailbox::leave() {
  const std::lock_guard lock(mutex_);
  left_ = true;
  came_.notify_one();
}

std::optional<core::Answer> ClientLink::Mailbox::wait() {
  std::unique_lock lock(mutex_);
  came_.wait(lock, [this] { return answer_ || left_; });
  return std::exchange(answer_, std::nullopt);
}

// The link -------------------------------------------------------------------------------------------------

ClientLink::ClientLink(Socket socket, ClientSide& side, ClientLinks& links)
    : side_(side),
      links_(links),
      mailbox_(std::make_shared<Mailbox>()),
      opened_(side.clock.now()),
      socket_(std::move(socket)),
      thread_("client-link", [this] { run(); }) {}

ClientLink::~ClientLink() = default;

void ClientLink::run() {
  try {
    while (await_query() && serve_query()) {
    }
  } catch (const std::exception& failed) {
    core::log_line(std::string("client link: ") + failed.what());
  }
  links_.end(*this);
}

// False when the link is to be closed instead. A link that says nothing holds no buffer.
bool ClientLink::await_query() {
  if (unread_.empty()) {
    const double until = served_ ? side_.clock.now() + side_.idle_ms : opened_ + side_.first_ms;
    if (wait_for(socket_.fd(), POLLIN, -1, until, side_.clock).first == 0) return false;
  }
  // Said before its bytes are taken: whoever wants idle or fresh links closed leaves this one alone.
  return links_.stand(*this, Standing::busy);
}

bool ClientLink::serve_query() {
  core::Query query;
  bool closes = false;
  try {
    const auto held = read_query(query, closes);
    if (!held || !links_.stand(*this, Standing::busy)) return false;
    query.parcel.hold = held;
    const std::string_view path = query.parcel.target.substr(0, query.parcel.target.find('?'));
    const bool ready_asked = path == "/health/ready", live_asked = path == "/health/live";
    bool go_on = true;
    if (query.parcel.method == "GET" && (ready_asked || live_asked)) {
      const bool yes = live_asked || side_.ready;
      go_on = write(yes ? 200 : 503, {}, yes ? "ready\n" : "not ready\n", closes);
    } else if (query.parcel.method != "POST") {
      throw BadMessage(ready_asked || live_asked ? 405 : 404, "no such resource");
    } else {
      go_on = answer_query(std::move(query), closes);
    }
    served_ = true;
    return go_on && links_.stand(*this, worked_ ? Standing::idle : Standing::asked);
  } catch (const BadMessage& bad) {
    reject(bad.status, bad.what());
    return false;
  }
}

// Reads one whole message. Nothing, if the link ended before. Throws BadMessage.
std::shared_ptr<ClientLink::Held> ClientLink::read_query(core::Query& query, bool& closes) {
  // Some come in pieces, for seconds. But one that has stopped must not hold a place and a buffer, nor may a
  // byte now and then hold them for good.
  const double last = (served_ ? side_.clock.now() : opened_) + side_.message_ms;
  double until = served_ ? side_.clock.now() + side_.first_ms : opened_ + side_.first_ms;
  const auto held = std::make_shared<Held>();
  const auto next_buffer = [&] {
    auto buffer = side_.pool.take(until, side_.clock);
    if (!buffer) throw BadMessage(503, "no memory for it now");
    return held->buffers.emplace_back(std::move(*buffer)).data();
  };
  char* data = next_buffer();
  std::size_t size = unread_.size();
  std::memcpy(data, unread_.data(), size);
  unread_.clear();
  const auto read_on = [&] {
    std::size_t got = 0;
    const Io io = socket_.receive(data + size, kBufferBytes - size, got, until, side_.clock);
    if (side_.clock.now() > side_.read_until) throw BadMessage(503, "clients are sent away");
    if (io == Io::late) throw BadMessage(408, "the rest did not come");
    size += got;
    until = std::min(std::max(until, side_.clock.now() + side_.gap_ms), last);
    if (!served_ && !links_.stand(*this, Standing::reading)) return false;
    return io == Io::done;
  };

  std::size_t head_size = 0;
  while ((head_size = head_length({data, size})) == 0)
    if (!read_on()) return nullptr;
  const Head head = read_query_head({data, head_size});
  const Framing framing = framing_of_query(head);
  closes = framing.closes;
  if (same_name(head.find("Expect").value_or(""), "100-continue"))
    socket_.send({"HTTP/1.1 100 Continue\r\n\r\n"}, until, side_.clock);

  // The body is laid right behind the head, then into further buffers; chunk marks fall away, so it never
  // overtakes what comes in.
  BodyDecoder decoder(framing);
  std::vector<std::string_view> body;
  std::size_t body_size = 0, start = head_size, kept = 0, used = head_size;
  for (;;) {
    used += decoder.feed({data + used, size - used}, [&](std::string_view piece) {
      if (body_size + piece.size() > kMostBody) throw BadMessage(413, "body over 64 KiB");
      std::memmove(data + start + kept, piece.data(), piece.size());
      kept += piece.size();
      body_size += piece.size();
    });
    const bool over = decoder.over();
    if (over || start + kept == kBufferBytes) body.emplace_back(data + start, kept);
    if (over) break;
    used = size = start + kept;
    if (size == kBufferBytes) {
      data = next_buffer();
      start = kept = used = size = 0;
    }
    if (!read_on()) return nullptr;
  }
  unread_.assign(data + used, size - used);

  for (const Field& field : head.fields)
    if (is_passed_on(field.name) && !head.connection_names(field.name))
      held->fields.append(field.name).append(": ").append(field.value).append("\r\n");
  query.parcel = {nullptr, head.method, head.target, held->fields, std::move(body)};
  if (head.method == "POST") {
    read_figures(head, query, side_.clock.now());
    const auto id = head.find("X-Call-Id");
    if (!id || id->size() > kMostId || !is_token(*id))
      throw BadMessage(400, "X-Call-Id is missing or malformed");
    query.id = *id;
  }
  return held;
}

bool ClientLink::answer_query(core::Query query, bool closes) {
  const std::string id = query.id;
  std::optional<core::Answer> answer;
  {
    const Lookout::Watch watch(side_.lookout, socket_.fd(), [this] { mailbox_->leave(); });
    side_.inbox.put(core::QueryArrived{std::move(query), mailbox_});
    answer = mailbox_->wait();
    worked_ = true;
  }
  if (!answer) {
    side_.inbox.put(core::ClientGone{id, mailbox_});
    return false;
  }
  switch (answer->kind) {
    case AnswerKind::served:
      return write(200, "Content-Type: application/octet-stream\r\n", answer->body, closes);
    case AnswerKind::refused: {
      std::array<char, 48> retry{};
      if (answer->retry_after_ms > 0)
        std::snprintf(retry.data(), retry.size(), "Retry-After: %.3f\r\n", answer->retry_after_ms / 1000);
      return write(503, retry.data(), "refused\n", closes);
    }
    case AnswerKind::failed:
      return write(502, {}, "failed\n", closes);
    case AnswerKind::timed_out:
      return write(504, {}, "timed out\n", closes);
    case AnswerKind::bad_query:
      throw BadMessage(400, answer->body);
  }
  return false;
}

// False when the link is to be closed after it.
bool ClientLink::write(int status, std::string_view fields, std::string_view body, bool closes) {
  closes = closes || side_.draining;
  const std::string head = answer_head(status, fields, body.size(), closes);
  const double until = side_.clock.now() + side_.message_ms;
  return socket_.send({head, body}, until, side_.clock) == Io::done && !closes;
}

void ClientLink::reject(int status, std::string_view why) {
  write(status, "Content-Type: text/plain\r\n", std::string(why) + '\n', true);
  take_rest();
}

// Closing with bytes unread resets the link, and the client could lose the answer that says what was wrong.
// But one that sends on and on has had its time.
void ClientLink::take_rest() {
  socket_.shut(SHUT_WR);
  std::array<char, 4096> rest{};
  const double until = side_.clock.now() + kLastWordMs;
  std::size_t got = 0;
  while (socket_.receive(rest.data(), rest.size(), got, until, side_.clock) == Io::done) {
    if (side_.clock.now() >= until) return;
  }
}

}  // namespace woadtide::net
