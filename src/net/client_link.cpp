#include "net/client_link.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <limits>
#include <system_error>

#include "core/log.hpp"

namespace woadtide::net {

using core::AnswerKind;

namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr std::size_t kMostId = 128;
constexpr double kTakeRestMs = 500;

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || value < 0)
    return std::nullopt;
  return value;
}

// "480m" or "1500u".
std::optional<double> budget_ms(std::string_view text) {
  if (text.empty()) return std::nullopt;
  const char unit = text.back();
  const auto value = number(text.substr(0, text.size() - 1));
  if (!value || (unit != 'm' && unit != 'u') || *value > 1e9) return std::nullopt;
  return unit == 'm' ? *value : *value / 1000;
}

// `name` in "name=value,name=value".
std::optional<double> figure(std::string_view pairs, std::string_view name) {
  while (!pairs.empty()) {
    const std::string_view pair = pairs.substr(0, pairs.find(','));
    pairs.remove_prefix(std::min(pairs.size(), pair.size() + 1));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
      return number(pair.substr(name.size() + 1));
  }
  return std::nullopt;
}

// Of one link only, or written anew for the worker.
bool is_passed_on(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kOwn = {
      "Host",    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",      "Trailer",
      "Upgrade", "Transfer-Encoding", "Expect",     "Content-Length",   "X-Budget"};
  return std::none_of(kOwn.begin(), kOwn.end(), [&](std::string_view own) { return same_name(own, name); });
}

void read_fields(const Head& head, core::Query& query, double received) {
  const auto id = head.find("X-Call-Id"), kind = head.find("X-Call-Class"), budget = head.find("X-Budget");
  if (!id || id->empty() || id->size() > kMostId) throw BadMessage(400, "X-Call-Id is missing or malformed");
  if (!kind) throw BadMessage(400, "X-Call-Class is missing");
  const auto wait = budget_ms(budget.value_or(""));
  if (!wait) throw BadMessage(400, "X-Budget is missing or malformed");
  query.id = *id;
  query.class_name = *kind;
  query.deadline = received + *wait;
  if (const auto cost = number(head.find("X-Call-Cost").value_or(""))) query.cost_ms = *cost / 1000;
  if (const auto slots = figure(head.find("X-Call-Info").value_or(""), "slots")) query.slots = *slots;
}

}  // namespace

struct ClientLink::Held {
  explicit Held(Buffer from_pool) : buffer(std::move(from_pool)) {}
  Buffer buffer;
  std::string fields;
};

// The mailbox ----------------------------------------------------------------------------------------------

ClientLink::Mailbox::Mailbox() : wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!wake_) throw std::system_error(errno, std::generic_category(), "eventfd");
}

void ClientLink::Mailbox::wake() {
  const std::uint64_t one = 1;
  // It can only fail where a wake-up is pending already.
  if (::write(wake_.get(), &one, sizeof one) < 0) return;
}

void ClientLink::Mailbox::answer(core::Answer answer) {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
  wake();
}

std::optional<core::Answer> ClientLink::Mailbox::take() {
  const std::lock_guard lock(mutex_);
  std::uint64_t count = 0;
  if (::read(wake_.get(), &count, sizeof count) < 0 && !answer_) return std::nullopt;
  return std::exchange(answer_, std::nullopt);
}

// The link -------------------------------------------------------------------------------------------------

ClientLink::ClientLink(Socket socket, ClientSide& side)
    : side_(side),
      socket_(std::move(socket)),
      mailbox_(std::make_shared<Mailbox>()),
      idle_since_(side.clock.now()),
      thread_("client-link", [this] { run(); }) {}

ClientLink::~ClientLink() {
  const std::lock_guard lock(mutex_);
  closing_ = true;
  if (socket_) socket_.shut();
  mailbox_->wake();
}

bool ClientLink::close_if_idle() {
  const std::lock_guard lock(mutex_);
  if (!idle_) return false;
  closing_ = true;
  mailbox_->wake();
  return true;
}

std::optional<double> ClientLink::idle_since() {
  const std::lock_guard lock(mutex_);
  return idle_ && !closing_ ? std::optional(idle_since_) : std::nullopt;
}

void ClientLink::run() {
  try {
    while (await_query() && serve_query()) {
    }
  } catch (const std::exception& failed) {
    core::log_line(std::string("client link: ") + failed.what());
  }
  const std::lock_guard lock(mutex_);
  idle_ = false;
  socket_ = Socket{};
  over_ = true;
}

// False when the link is to be closed instead.
bool ClientLink::await_query() {
  if (unread_.empty()) {
    const double until = side_.clock.now() + side_.idle_ms;
    // Woken here, it is to close: an answer is always taken together with its wake-up.
    if (wait_for(socket_.fd(), POLLIN, mailbox_->fd(), until, side_.clock).first == 0) return false;
  }
  // From here a query counts as read: whoever wants idle links closed leaves this one alone.
  const std::lock_guard lock(mutex_);
  if (closing_) return false;
  idle_ = false;
  return true;
}

bool ClientLink::serve_query() {
  core::Query query;
  bool closes = false;
  try {
    const auto held = read_query(query, closes);
    if (!held) return false;
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
    const std::lock_guard lock(mutex_);
    idle_ = true;
    idle_since_ = side_.clock.now();
    return go_on && !closing_;
  } catch (const BadMessage& bad) {
    reject(bad.status, bad.what());
    return false;
  }
}

// Reads one whole message. Nothing, if the link ended before. Throws BadMessage.
std::shared_ptr<ClientLink::Held> ClientLink::read_query(core::Query& query, bool& closes) {
  const auto held = std::make_shared<Held>(side_.pool.take());
  char* const data = held->buffer.data();
  std::size_t size = unread_.size();
  std::memcpy(data, unread_.data(), size);
  unread_.clear();
  const double until = side_.clock.now() + side_.message_ms;
  const auto read_on = [&] {
    std::size_t got = 0;
    if (size == kBufferBytes) throw BadMessage(413, "message too large");
    const Io io = socket_.receive(data + size, kBufferBytes - size, got, until, side_.clock);
    if (io == Io::late) throw BadMessage(408, "the rest did not come");
    size += got;
    return io == Io::done;
  };

  std::size_t head_size = 0;
  while ((head_size = head_length({data, size})) == 0)
    if (!read_on()) return nullptr;
  const Head head = read_query_head({data, head_size});
  const Framing framing = framing_of_query(head);
  closes = framing.closes;
  if (same_name(head.find("Expect").value_or(""), "100-continue"))
    socket_.send("HTTP/1.1 100 Continue\r\n\r\n", {}, until, side_.clock);

  // The body is laid right behind the head; chunk marks fall away, so it never overtakes what comes in.
  BodyDecoder decoder(framing);
  std::size_t body_size = 0, used = head_size;
  for (;;) {
    used += decoder.feed({data + used, size - used}, [&](std::string_view piece) {
      if (body_size + piece.size() > kMostBody) throw BadMessage(413, "body over 64 KiB");
      std::memmove(data + head_size + body_size, piece.data(), piece.size());
      body_size += piece.size();
    });
    if (decoder.over()) break;
    used = size = head_size + body_size;
    if (!read_on()) return nullptr;
  }
  unread_.assign(data + used, size - used);

  for (const Field& field : head.fields)
    if (is_passed_on(field.name))
      held->fields.append(field.name).append(": ").append(field.value).append("\r\n");
  query.parcel = {nullptr, head.method, head.target, held->fields, {data + head_size, body_size}};
  if (head.method == "POST") read_fields(head, query, side_.clock.now());
  return held;
}

bool ClientLink::answer_query(core::Query query, bool closes) {
  const std::string id = query.id;
  side_.inbox.put(core::QueryArrived{std::move(query), mailbox_});
  std::optional<core::Answer> answer;
  while (!(answer = mailbox_->take())) {
    const auto [come, woken] = wait_for(socket_.fd(), POLLRDHUP, mailbox_->fd(), kForever, side_.clock);
    if (come != 0 && woken == 0) {
      side_.inbox.put(core::ClientGone{id});
      return false;
    }
    const std::lock_guard lock(mutex_);
    if (closing_) return false;
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
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
  head.append(reason(status)).append("\r\n").append(fields);
  head.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (closes) head.append("Connection: close\r\n");
  head.append("\r\n");
  const double until = side_.clock.now() + side_.message_ms;
  return socket_.send(head, body, until, side_.clock) == Io::done && !closes;
}

void ClientLink::reject(int status, std::string_view why) {
  write(status, "Content-Type: text/plain\r\n", std::string(why) + '\n', true);
  take_rest();
}

// Closing with bytes unread resets the link, and the client could lose the answer that says what was wrong.
void ClientLink::take_rest() {
  socket_.shut(SHUT_WR);
  Buffer buffer = side_.pool.take();
  const double until = side_.clock.now() + kTakeRestMs;
  std::size_t got = 0;
  while (socket_.receive(buffer.data(), kBufferBytes, got, until, side_.clock) == Io::done) {
    if (side_.clock.now() >= until) return;
  }
}

}  // namespace woadtide::net
