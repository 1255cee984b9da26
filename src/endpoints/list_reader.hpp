// Reads the body of service discovery's answer as it comes, entry by entry. Each entry is decoded at its own
// closing brace, so that beside the decoded entries one entry's text is held. No sockets, no threads, no
// clock; what the list means is not known here. Invariants are in README.md.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "endpoints/json_value_scanner.hpp"
#include "endpoints/limits.hpp"
#include "endpoints/list_error.hpp"
#include "endpoints/update.hpp"

namespace woadtide::endpoints {

// Hears what the reader has read. It must not call the reader from within. An exception of its passes through
// feed(), and the rest of that piece is lost: reset() comes next.
class EndpointListListener {
 public:
  virtual ~EndpointListListener() = default;
  // An empty line between two updates.
  virtual void on_keep_alive() = 0;
  // At the update's closing brace.
  virtual void on_update(EndpointUpdate&& update) = 0;
  // Once; nothing follows until reset().
  virtual void on_error(const EndpointListError& error) = 0;
};

// One body after the other; in one, any number of updates.
class EndpointListReader {
 public:
  EndpointListReader(const EndpointLimits& limits, EndpointListListener& listener);

  // The body's bytes, without the transfer coding, in pieces of any size.
  void feed(std::string_view bytes);
  // The body has ended: an error where it did so within an update.
  void finish();
  // Forgets an unfinished update and an error: a new body begins.
  void reset();
  // While it is there, all bytes are refused.
  const std::optional<EndpointListError>& error() const { return error_; }

 private:
  enum class State {
    between_updates,
    first_key,  // or the update's end
    key,
    colon,
    value,
    after_value,
    first_entry,  // or the array's end
    entry,
    after_entry,
    in_token,  // a key, an entry or another value, up to its end
  };
  // What a token's text is for.
  enum class Token { key, sequence, whole, entry, unknown };
  // The member whose key was read last.
  enum class Member { sequence, whole, endpoints, unknown };

  void read(char byte);
  void read_between_updates(char byte);
  void read_structure(char byte);
  void read_value_start(char byte);
  void begin_update();
  void begin_key(char byte);
  void begin_token(Token token, char byte);
  void read_token(char byte);
  bool keep(char byte);
  void end_token();
  void end_key();
  void end_sequence();
  void end_whole();
  void end_entry();
  void end_update();
  void clear_update();
  void mark_read(bool& read, const char* field);

  void fail(EndpointListErrorKind kind, const std::string& text, const std::string& field = "");
  void fail_not_json();
  void fail_field(const std::string& field, const std::string& problem);
  void fail_bound(EndpointListErrorKind kind, const char* what, std::size_t bound, const char* unit);
  std::string position() const;
  std::optional<std::size_t> entry_number() const;

  const EndpointLimits limits_;
  EndpointListListener& listener_;
  std::optional<EndpointListError> error_;
  State state_ = State::between_updates;
  bool update_on_line_ = false;  // between updates: one has ended on this line, which is no keep-alive

  EndpointUpdate update_;
  std::unordered_set<std::string_view> names_;  // of update_, which owns them
  std::size_t update_bytes_ = 0;
  std::size_t entries_begun_ = 0;
  Member member_ = Member::unknown;
  bool sequence_read_ = false;
  bool whole_read_ = false;
  bool endpoints_read_ = false;

  JsonValueScanner scanner_;
  Token token_ = Token::unknown;
  std::string token_text_;
};

}  // namespace woadtide::endpoints
