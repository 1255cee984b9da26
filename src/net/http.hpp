// The part of HTTP/1.1 that woadtide's protocol uses: request and response heads, body framing, and bodies
// that consist of lines.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "net/buffer_pool.hpp"
#include "net/socket.hpp"

namespace woadtide::net {

// A message that violates the protocol or cannot be accepted. If it is a request, `status` is the status code
// of the response to it (4xx or 503).
struct BadMessage : std::runtime_error {
  BadMessage(int response_status, const std::string& what)
      : std::runtime_error(what), status(response_status) {}
  int status;
};

// A header field, without surrounding white space.
struct HeaderField {
  std::string_view name, value;
};

// The head of a request or response, as views into the bytes it was parsed from.
struct MessageHead {
  std::string_view method, target;  // of a request
  int status = 0;                   // of a response
  bool http10 = false;
  std::vector<HeaderField> fields;

  // The value of the first field with this name.
  std::optional<std::string_view> find(std::string_view name) const;
  // True if a Connection field lists `name`, as an option or as a hop-by-hop field.
  bool connection_lists(std::string_view name) const;
};

// True if `text` is a token as HTTP defines it: not empty, and without separators.
bool is_token(std::string_view text);
bool equals_ignore_case(std::string_view a, std::string_view b);  // case-insensitive, ASCII only
// Parses decimal digits only: no sign and no white space. nullopt for anything else, and on overflow.
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

// Size of the head in bytes, including the empty line that ends it; 0 while that has not arrived. Throws
// BadMessage if the head is longer than kMaxHeadBytes.
std::size_t head_length(std::string_view raw);
// Parse a complete head. They throw BadMessage.
MessageHead parse_request_head(std::string_view raw);
MessageHead parse_response_head(std::string_view raw);

// How a body is delimited.
struct Framing {
  enum class Kind { length, chunked, until_close } kind = Kind::length;
  std::uint64_t length = 0;
  bool closes_link = false;  // the link ends after this message
};
// Both throw BadMessage if the length of the body is ambiguous, and for requests also if Content-Length is
// above kMaxBodyBytes.
Framing request_framing(const MessageHead& head);
Framing response_framing(const MessageHead& head);

// Incremental decoder: removes the framing of a body that arrives in any pieces.
class BodyDecoder {
 public:
  explicit BodyDecoder(const Framing& framing);

  // Passes the body's bytes in `raw` to `sink` and returns how many bytes of `raw` it consumed: all of them,
  // unless the body ends earlier. Throws BadMessage.
  std::size_t decode(std::string_view raw, const std::function<void(std::string_view)>& sink);
  // The body is complete. Never true if it ends with the connection.
  bool complete() const { return state_ == State::complete; }
  // The body ends when the peer closes the connection.
  bool until_close() const { return state_ == State::until_close; }
  // The body is chunked, and no chunk has arrived in part.
  bool between_chunks() const { return state_ == State::size_line && line_.empty(); }

 private:
  enum class State { data, until_close, size_line, chunk, chunk_end, trailer, complete };
  State state_;
  bool chunked_;
  std::uint64_t remaining_ = 0;  // bytes of the body or chunk that are still to come
  std::string line_;             // the part of a size or trailer line that has arrived
};

// Buffered input of a link: bytes that were received and not consumed yet. While there are none it holds no
// buffer, since a worker may be silent for seconds.
class BufferedInput {
 public:
  static constexpr double kNoLimit = 1e12;  // as gap_ms
  // As a deadline: reads what has arrived, and returns IoResult::timed_out at once if there is nothing.
  static constexpr double kNoWait = -1;
  BufferedInput(Socket& socket, const core::Clock& clock, BufferPool& pool)
      : socket_(socket), clock_(clock), pool_(pool) {}

  // The bytes that were received and not consumed. Valid until read_more() is called.
  std::string_view view() const {
    return buffer_ ? std::string_view(buffer_->data() + begin_, end_ - begin_) : std::string_view();
  }
  // Removes the first `count` bytes of view().
  void consume(std::size_t count) { begin_ += count; }
  // Reads more bytes, and waits for them until `deadline` (ms on the clock). IoResult::failed if the buffer
  // is full.
  IoResult read_more(double deadline);
  // The time on the clock, in ms.
  double now() const { return clock_.now(); }
  // Starts a new turn: at most kMaxReadsPerTurn reads with kNoWait.
  void begin_turn() { reads_ = 0; }
  // The last IoResult::timed_out does not mean that no bytes had arrived: no buffer was free, or the turn was
  // over.
  bool starved() const { return starved_; }
  // Reads until a head is complete and returns its size. nullopt if the link ended or time ran out; `result`
  // says which. Once the head has begun, more of it must arrive within `gap_ms` of its newest byte. Throws
  // BadMessage.
  std::optional<std::size_t> read_head(double deadline, IoResult& result, double gap_ms = kNoLimit);

 private:
  Socket& socket_;
  const core::Clock& clock_;
  BufferPool& pool_;
  std::optional<Buffer> buffer_;
  std::size_t begin_ = 0, end_ = 0;
  bool starved_ = false;
  int reads_ = 0;  // in this turn
};

// Reads the lines of a response body, such as a worker's events or the updates of service discovery.
class LineReader {
 public:
  LineReader(BufferedInput& intake, const Framing& framing) : intake_(intake), decoder_(framing) {}

  enum class Result { line, end, failed, timed_out };
  // Result::line: `line` holds the next line without its line end; it may be empty. Result::end: the body is
  // complete. Result::failed: the link ended or failed within the body. Result::timed_out: no line was
  // complete by `deadline`, or a line or chunk that has begun did not continue within `gap_ms` of its newest
  // byte. Throws BadMessage, also for a line longer than kMaxBodyBytes.
  Result next(std::string& line, double deadline, double gap_ms = BufferedInput::kNoLimit);
  // A line or chunk has arrived in part.
  bool has_partial_line() const { return !pending_.empty() || !decoder_.between_chunks(); }
  // A complete line has been received; reads nothing more.
  bool has_line();
  // Discards what has been received of the body. True if the body is complete, so that the link can carry the
  // next message. Throws BadMessage.
  bool discard_received();
  // Discards the whole body, and waits for it until `deadline`. False if it was not complete by then.
  bool discard_all(double deadline);

 private:
  void decode_received();

  BufferedInput& intake_;
  BodyDecoder decoder_;
  std::string pending_;                     // decoded bytes that were not returned yet
  std::optional<BadMessage> decode_error_;  // thrown after the complete lines before it were returned
};

}  // namespace woadtide::net
