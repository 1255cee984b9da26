// Incremental reader of the endpoint list in the response body of service discovery. Each entry is decoded at
// its closing brace, so that at most one entry is held as text beside the decoded ones. Uses no sockets,
// threads or clocks, and does not interpret the list. Invariants are in README.md.
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

// Receives the events of a reader, and must not call the reader from within them. An exception it throws
// passes through feed(), and the rest of that piece is lost: reset() must be called next.
class EndpointListListener {
 public:
  virtual ~EndpointListListener() = default;
  // An empty line between two updates.
  virtual void on_keep_alive() = 0;
  // An update, called at its closing brace.
  virtual void on_update(EndpointUpdate&& update) = 0;
  // An error. Called once; no event follows until reset().
  virtual void on_error(const EndpointListError& error) = 0;
};

// Reads one body at a time; a body contains any number of updates.
class EndpointListReader {
 public:
  EndpointListReader(const EndpointLimits& limits, EndpointListListener& listener);

  // Reads the next bytes of the body, without transfer coding, in pieces of any size.
  void feed(std::string_view bytes);
  // Ends the body; reports an error if it ended within an update.
  void finish();
  // Discards an unfinished update and an error, and begins a new body.
  void reset();
  // The error, if any. All further bytes are ignored while it is set.
  const std::optional<EndpointListError>& error() const { return error_; }

 private:
  enum class State {
    between_updates,
    first_key,  // or the end of the update
    key,
    colon,
    value,
    after_value,
    first_entry,  // or the end of the array
    entry,
    after_entry,
    in_token,  // within a key, an entry or another value
  };
  // Meaning of the current token.
  enum class Token { key, sequence, whole, entry, unknown };
  // The member whose key was read last.
  enum class Member { sequence, whole, endpoints, unknown };

  void read_byte(char byte);
  void read_between_updates(char byte);
  void read_structure(char byte);
  void read_value_start(char byte);
  void begin_update();
  void begin_key(char byte);
  void begin_token(Token token, char byte);
  void read_token(char byte);
  bool append_to_token(char byte);
  void end_token();
  void end_key();
  void end_sequence();
  void end_snapshot_flag();
  void end_entry();
  void end_update();
  void clear_update();
  void mark_member_read(bool& read, const char* field);

  void fail(EndpointListErrorKind kind, const std::string& text, const std::string& field = "");
  void fail_not_json();
  void fail_field(const std::string& field, const std::string& problem);
  void fail_bound(EndpointListErrorKind kind, const char* subject, std::size_t bound, const char* unit);
  std::string error_position() const;
  std::optional<std::size_t> entry_number() const;

  const EndpointLimits limits_;
  EndpointListListener& listener_;
  std::optional<EndpointListError> error_;
  State state_ = State::between_updates;
  // Between updates: an update ended on this line, so the line is no keep-alive.
  bool line_has_update_ = false;

  EndpointUpdate update_;
  std::unordered_set<std::string_view> names_;  // views into update_, which owns the names
  std::size_t update_bytes_ = 0;
  std::size_t entries_started_ = 0;
  Member member_ = Member::unknown;
  bool sequence_read_ = false;
  bool snapshot_flag_read_ = false;
  bool endpoints_read_ = false;

  JsonValueScanner scanner_;
  Token token_ = Token::unknown;
  std::string token_text_;
};

}  // namespace woadtide::endpoints
