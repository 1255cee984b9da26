#include "net/http.hpp"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace woadtide::net {

namespace {

constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxChunkLineBytes = 256;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token_char(char c) {
  return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
         (c != 0 && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
}
// Control characters are not allowed in a head: if they were forwarded, they could split the head that a
// worker reads. Bytes beyond ASCII are not allowed either, since implementations interpret them differently.
bool is_clean(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c == '\t' || (c >= ' ' && c <= '~'); });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Removes the part of `text` up to and including `end`, and returns that part without `end`.
std::string_view cut(std::string_view& text, std::string_view end) {
  const std::size_t end_pos = text.find(end);
  const std::string_view before = text.substr(0, end_pos);
  text.remove_prefix(end_pos == std::string_view::npos ? text.size() : end_pos + end.size());
  return before;
}

void read_version(MessageHead& head, std::string_view version) {
  if (version != "HTTP/1.1" && version != "HTTP/1.0") throw BadMessage(400, "not HTTP/1.1");
  head.http10 = version == "HTTP/1.0";
}

void read_fields(MessageHead& head, std::string_view lines) {
  while (!lines.empty()) {
    const std::string_view line = cut(lines, "\r\n");
    if (line.empty()) break;
    if (head.fields.size() == kMaxFields) throw BadMessage(431, "too many header fields");
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || !is_clean(line))
      throw BadMessage(400, "malformed header field");
    head.fields.push_back({line.substr(0, colon), trimmed(line.substr(colon + 1))});
  }
}

bool declares_close(const MessageHead& head) {
  return head.connection_lists("close") || (head.http10 && !head.connection_lists("keep-alive"));
}

// The framing that the header fields declare; nullopt if they declare none. Throws BadMessage if two
// implementations could see two lengths: a second message could then be smuggled in the body of the first.
std::optional<Framing> declared_framing(const MessageHead& head) {
  Framing framing;
  framing.closes_link = declares_close(head);
  std::optional<std::uint64_t> length;
  bool chunked = false;
  for (const HeaderField& field : head.fields) {
    if (equals_ignore_case(field.name, "Transfer-Encoding")) {
      if (chunked || !equals_ignore_case(field.value, "chunked"))
        throw BadMessage(400, "unknown transfer encoding");
      chunked = true;
    } else if (equals_ignore_case(field.name, "Content-Length")) {
      const auto value = parse_unsigned(field.value);
      if (!value || length) throw BadMessage(400, "malformed Content-Length");
      length = value;
    }
  }
  if (chunked && length) throw BadMessage(400, "both Content-Length and Transfer-Encoding");
  if (chunked && head.http10) throw BadMessage(400, "Transfer-Encoding in HTTP/1.0");
  if (chunked) framing.kind = Framing::Kind::chunked;
  if (length) framing.length = *length;
  if (!chunked && !length) return std::nullopt;
  return framing;
}

}  // namespace

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}
bool equals_ignore_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::string_view> MessageHead::find(std::string_view name) const {
  for (const HeaderField& field : fields)
    if (equals_ignore_case(field.name, name)) return field.value;
  return std::nullopt;
}

bool MessageHead::connection_lists(std::string_view name) const {
  for (const HeaderField& field : fields) {
    if (!equals_ignore_case(field.name, "Connection")) continue;
    for (std::string_view options = field.value; !options.empty();)
      if (equals_ignore_case(trimmed(cut(options, ",")), name)) return true;
  }
  return false;
}

std::size_t head_length(std::string_view raw) {
  const std::size_t end = raw.substr(0, kMaxHeadBytes).find("\r\n\r\n");
  if (end != std::string_view::npos) return end + 4;
  if (raw.size() >= kMaxHeadBytes) throw BadMessage(431, "head too large");
  return 0;
}

MessageHead parse_request_head(std::string_view raw) {
  MessageHead head;
  std::string_view line = cut(raw, "\r\n");
  head.method = cut(line, " ");
  head.target = cut(line, " ");
  if (!is_token(head.method) || !head.target.starts_with('/') || !is_clean(head.target))
    throw BadMessage(400, "malformed request line");
  read_version(head, line);
  read_fields(head, raw);
  return head;
}

MessageHead parse_response_head(std::string_view raw) {
  MessageHead head;
  std::string_view line = cut(raw, "\r\n");
  read_version(head, cut(line, " "));
  const auto status = parse_unsigned(cut(line, " "));
  if (!status || *status < 100 || *status > 599) throw BadMessage(400, "malformed status line");
  head.status = static_cast<int>(*status);
  read_fields(head, raw);
  return head;
}

Framing request_framing(const MessageHead& head) {
  const Framing framing =
      declared_framing(head).value_or(Framing{Framing::Kind::length, 0, declares_close(head)});
  if (framing.length > kMaxBodyBytes) throw BadMessage(413, "body over 64 KiB");
  return framing;
}

Framing response_framing(const MessageHead& head) {
  if (head.status < 200 || head.status == 204 || head.status == 304)
    return {Framing::Kind::length, 0, declares_close(head)};
  return declared_framing(head).value_or(Framing{Framing::Kind::until_close, 0, true});
}

BodyDecoder::BodyDecoder(const Framing& framing)
    : chunked_(framing.kind == Framing::Kind::chunked), remaining_(framing.length) {
  if (chunked_)
    state_ = State::size_line;
  else if (framing.kind == Framing::Kind::until_close)
    state_ = State::until_close;
  else
    state_ = remaining_ == 0 ? State::complete : State::data;
}

std::size_t BodyDecoder::decode(std::string_view raw, const std::function<void(std::string_view)>& sink) {
  std::size_t used = 0;
  while (used < raw.size() && state_ != State::complete) {
    const std::string_view rest = raw.substr(used);
    if (state_ == State::until_close) {
      sink(rest);
      return raw.size();
    }
    if (state_ == State::data || state_ == State::chunk) {
      const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, rest.size()));
      sink(rest.substr(0, taken));
      used += taken;
      remaining_ -= taken;
      if (remaining_ == 0) state_ = state_ == State::data ? State::complete : State::chunk_end;
      continue;
    }
    // A line: the size of a chunk, the end of its data, or a trailer field.
    const char c = rest.front();
    used += 1;
    line_.push_back(c);
    if (line_.size() > kMaxChunkLineBytes) throw BadMessage(400, "malformed chunk");
    if (c != '\n') continue;
    if (!line_.ends_with("\r\n")) throw BadMessage(400, "malformed chunk");
    const std::string_view line = std::string_view(line_).substr(0, line_.size() - 2);
    if (state_ == State::size_line) {
      const std::string_view digits = line.substr(0, line.find_first_of("; "));
      const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), remaining_, 16);
      if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
        throw BadMessage(400, "malformed chunk");
      state_ = remaining_ == 0 ? State::trailer : State::chunk;
    } else if (state_ == State::chunk_end) {
      if (!line.empty()) throw BadMessage(400, "malformed chunk");
      state_ = State::size_line;
    } else if (line.empty()) {
      state_ = State::complete;
    }
    line_.clear();
  }
  return used;
}

IoResult BufferedInput::read_more(double deadline) {
  const bool may_wait = deadline != kNoWait;
  starved_ = !may_wait && reads_++ >= kMaxReadsPerTurn;  // until the turn ends, even if called again
  if (starved_) return IoResult::timed_out;
  if (begin_ == end_) {
    buffer_.reset();
    begin_ = end_ = 0;
    if (may_wait && poll_until(socket_.fd(), POLLIN, -1, deadline, clock_).first == 0)
      return IoResult::timed_out;
    auto buffer = may_wait ? pool_.take(deadline, clock_) : pool_.take();
    starved_ = !buffer;
    if (!buffer) return IoResult::timed_out;
    buffer_.emplace(std::move(*buffer));
  } else if (begin_ > 0) {
    std::memmove(buffer_->data(), buffer_->data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (end_ == kBufferBytes) return IoResult::failed;
  std::size_t received_bytes = 0;
  char* const free_space = buffer_->data() + end_;
  const std::size_t free_bytes = kBufferBytes - end_;
  const IoResult io = may_wait ? socket_.receive(free_space, free_bytes, received_bytes, deadline, clock_)
                               : socket_.receive(free_space, free_bytes, received_bytes);
  if (io == IoResult::done) end_ += received_bytes;
  if (begin_ == end_) buffer_.reset();
  return io;
}

std::optional<std::size_t> BufferedInput::read_head(double deadline, IoResult& result, double gap_ms) {
  for (;;) {
    if (const std::size_t length = head_length(view())) return length;
    result = read_more(view().empty() ? deadline : std::min(deadline, now() + gap_ms));
    if (result != IoResult::done) return std::nullopt;
  }
}

// A complete line counts even if the bytes behind it, perhaps in the same packet, are malformed. So an error
// of the decoder is kept until all lines before it have been returned.
void LineReader::decode_received() {
  if (decode_error_) return;
  try {
    intake_.consume(
        decoder_.decode(intake_.view(), [this](std::string_view piece) { pending_.append(piece); }));
  } catch (const BadMessage& bad) {
    decode_error_ = bad;
  }
}

LineReader::Result LineReader::next(std::string& line, double deadline, double gap_ms) {
  for (;;) {
    decode_received();
    if (const std::size_t end = pending_.find('\n'); end != std::string::npos) {
      line.assign(pending_, 0, end);
      if (line.ends_with('\r')) line.pop_back();
      pending_.erase(0, end + 1);
      return Result::line;
    }
    if (decode_error_) throw *decode_error_;
    if (pending_.size() > kMaxBodyBytes) throw BadMessage(413, "line over 64 KiB");
    if (decoder_.complete()) {
      if (pending_.empty()) return Result::end;
      line = std::exchange(pending_, {});
      return Result::line;
    }
    switch (intake_.read_more(has_partial_line() ? std::min(deadline, intake_.now() + gap_ms) : deadline)) {
      case IoResult::done:
        break;
      case IoResult::timed_out:
        return Result::timed_out;
      case IoResult::end_of_stream:
        return decoder_.until_close() && pending_.empty() ? Result::end : Result::failed;
      case IoResult::failed:
        return Result::failed;
    }
  }
}

bool LineReader::has_line() {
  decode_received();
  return pending_.find('\n') != std::string::npos;
}

bool LineReader::discard_received() {
  decode_received();
  if (decode_error_) throw *decode_error_;
  pending_.clear();
  return decoder_.complete();
}

bool LineReader::discard_all(double deadline) {
  while (!discard_received())
    if (intake_.read_more(deadline) != IoResult::done) return false;
  return true;
}

}  // namespace woadtide::net
