// HTTP/1.1 as PROTOCOL uses it: heads of both directions, body framing, and lines in a body.
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

// A message that is not what the protocol allows. `status` is the 4xx that answers it, where it is a query.
struct BadMessage : std::runtime_error {
  BadMessage(int status_wanted, const std::string& what) : std::runtime_error(what), status(status_wanted) {}
  int status;
};

struct Field {
  std::string_view name, value;
};

// Views into the bytes that it was read from.
struct Head {
  std::string_view method, target;  // of a query
  int status = 0;                   // of an answer
  bool http10 = false;
  std::vector<Field> fields;

  std::optional<std::string_view> find(std::string_view name) const;
  // Whether a Connection field names this one as meant for the link only.
  bool connection_names(std::string_view name) const;
};

bool is_token(std::string_view text);
bool same_name(std::string_view a, std::string_view b);  // ASCII, case does not count
std::optional<std::uint64_t> whole_number(std::string_view text);

// Bytes up to and with the empty line, 0 while it has not come. Throws BadMessage when it is too long.
std::size_t head_length(std::string_view raw);
Head read_query_head(std::string_view raw);
Head read_answer_head(std::string_view raw);

struct Framing {
  enum class Kind { length, chunked, to_end } kind = Kind::length;
  std::uint64_t length = 0;
  bool closes = false;  // the link ends after this message
};
// Throws BadMessage where it is not clear how long the body is, or a query's is over kMostBody.
Framing framing_of_query(const Head& head);
Framing framing_of_answer(const Head& head);

// Takes a body off the wire in whatever pieces it comes.
class BodyDecoder {
 public:
  explicit BodyDecoder(const Framing& framing);

  // Hands the body's bytes in `raw` to `sink` and returns how many bytes of `raw` it used: all, unless the
  // body is over before. Throws BadMessage.
  std::size_t feed(std::string_view raw, const std::function<void(std::string_view)>& sink);
  bool over() const { return state_ == State::over; }
  bool to_end() const { return state_ == State::to_end; }
  // Nothing of a chunk has come that is not whole.
  bool between_chunks() const { return state_ == State::size_line && line_.empty(); }

 private:
  enum class State { data, to_end, size_line, chunk, chunk_end, trailer, over };
  State state_;
  bool chunked_;
  std::uint64_t left_ = 0;  // of the body or of the chunk
  std::string line_;        // a size or trailer line as far as it has come
};

// Bytes that have come on a link and were not used yet. While there are none it holds no buffer: a worker may
// take seconds to say the next thing.
class Intake {
 public:
  static constexpr double kNoLimit = 1e12;
  static constexpr double kNoWait = -1;  // as a deadline: takes what has come, and is late at once
  Intake(Socket& socket, const core::Clock& clock, BufferPool& pool)
      : socket_(socket), clock_(clock), pool_(pool) {}

  std::string_view view() const {
    return buffer_ ? std::string_view(buffer_->data() + from_, to_ - from_) : std::string_view();
  }
  void use(std::size_t count) { from_ += count; }
  // Reads on until something comes. Io::broken when the buffer is full.
  Io more(double deadline);
  double now() const { return clock_.now(); }
  // Without waiting it reads kReadsAtOnce times from here on, at most.
  void begin_turn() { reads_ = 0; }
  // Late not for want of bytes, but of a buffer for them, or of its turn.
  bool starved() const { return starved_; }
  // A whole head; nullopt when the link ended or time ran out, `why` says which. Throws BadMessage.
  // What has begun to come must go on within `rest_ms` of its last byte.
  std::optional<std::size_t> head(double deadline, Io& why, double rest_ms = kNoLimit);

 private:
  Socket& socket_;
  const core::Clock& clock_;
  BufferPool& pool_;
  std::optional<Buffer> buffer_;
  std::size_t from_ = 0, to_ = 0;
  bool starved_ = false;
  int reads_ = 0;  // of this turn
};

// The lines of an answer's body, as a worker's events and discovery's changes come.
class LineReader {
 public:
  LineReader(Intake& intake, const Framing& framing) : intake_(intake), decoder_(framing) {}

  enum class Got { line, end, broken, late };
  // Got::line: `line` holds the next one without its end, also where that is empty. Got::end: the body was
  // whole. Throws BadMessage, also for a line over kMostBody. Got::late: also when a line or chunk that has
  // begun does not go on within `rest_ms` of its last byte.
  Got next(std::string& line, double deadline, double rest_ms = Intake::kNoLimit);
  // A line or chunk has begun and is not whole.
  bool begun() const { return !pending_.empty() || !decoder_.between_chunks(); }
  // The next line has come already.
  bool has_line();
  // Drops what has come of the body. True when that was all of it: the link may carry the next message.
  bool skip();
  // The same, and waits for the rest.
  bool skip_all(double deadline);

 private:
  void absorb();

  Intake& intake_;
  BodyDecoder decoder_;
  std::string pending_;
  std::optional<BadMessage> spoiled_;
};

}  // namespace woadtide::net
