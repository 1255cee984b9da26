#include "endpoints/list_reader.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "endpoints/json_bytes.hpp"

namespace woadtide::endpoints {

using nlohmann::json;

namespace {

constexpr char kSequenceField[] = "seq";
constexpr char kSnapshotField[] = "whole";
constexpr char kEndpointsField[] = "hosts";
constexpr std::size_t kMaxQuotedBytes = 64;

// Quotes text so that it stays on one line of the log, whatever bytes it contains.
std::string quoted(const std::string& text) {
  return json(text.substr(0, kMaxQuotedBytes)).dump(-1, ' ', true, json::error_handler_t::replace);
}

// Returns nullopt, instead of throwing, if the text is not JSON.
std::optional<json> parse(const std::string& text) {
  json value = json::parse(text, nullptr, false);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

std::optional<std::int64_t> parse_sequence(const json& value) {
  if (!value.is_number_unsigned()) return std::nullopt;
  const auto sequence = value.get<std::uint64_t>();
  if (sequence > std::uint64_t{std::numeric_limits<std::int64_t>::max()}) return std::nullopt;
  return static_cast<std::int64_t>(sequence);
}

}  // namespace

EndpointListReader::EndpointListReader(const EndpointLimits& limits, EndpointListListener& listener)
    : limits_(limits), listener_(listener) {}

void EndpointListReader::feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (error_) return;
    read_byte(byte);
  }
}

void EndpointListReader::finish() {
  if (error_ || state_ == State::between_updates) return;
  fail(EndpointListErrorKind::truncated,
       "the body ended within an update, after " + std::to_string(update_bytes_) + " bytes of it");
}

void EndpointListReader::reset() {
  clear_update();
  error_.reset();
  state_ = State::between_updates;
  line_has_update_ = false;
}

void EndpointListReader::read_byte(char byte) {
  if (state_ == State::between_updates) return read_between_updates(byte);
  update_bytes_ += 1;
  if (update_bytes_ > limits_.max_update_bytes)
    return fail_bound(EndpointListErrorKind::update_too_large, "an update", limits_.max_update_bytes,
                      "bytes");
  if (state_ == State::in_token) return read_token(byte);
  if (!is_json_space(byte)) read_structure(byte);
}

void EndpointListReader::read_between_updates(char byte) {
  if (byte == '{') return begin_update();
  if (!is_json_space(byte)) return fail_not_json();
  if (byte != '\n') return;
  const bool is_empty = !std::exchange(line_has_update_, false);
  if (is_empty) listener_.on_keep_alive();
}

void EndpointListReader::read_structure(char byte) {
  switch (state_) {
    case State::first_key:
      return byte == '}' ? end_update() : begin_key(byte);
    case State::key:
      return begin_key(byte);
    case State::colon:
      if (byte != ':') return fail_not_json();
      state_ = State::value;
      return;
    case State::value:
      return read_value_start(byte);
    case State::after_value:
      if (byte == '}') return end_update();
      if (byte != ',') return fail_not_json();
      state_ = State::key;
      return;
    case State::first_entry:
      if (byte != ']') return begin_token(Token::entry, byte);
      state_ = State::after_value;
      return;
    case State::entry:
      return begin_token(Token::entry, byte);
    default:  // after_entry
      if (byte != ',' && byte != ']') return fail_not_json();
      state_ = byte == ',' ? State::entry : State::after_value;
  }
}

void EndpointListReader::read_value_start(char byte) {
  switch (member_) {
    case Member::sequence:
      return begin_token(Token::sequence, byte);
    case Member::whole:
      return begin_token(Token::whole, byte);
    case Member::unknown:
      return begin_token(Token::unknown, byte);
    case Member::endpoints:
      if (byte != '[') return fail_field(kEndpointsField, "must be an array");
      state_ = State::first_entry;
  }
}

void EndpointListReader::begin_update() {
  clear_update();
  update_bytes_ = 1;
  state_ = State::first_key;
}

void EndpointListReader::begin_key(char byte) {
  if (byte != '"') return fail_not_json();
  begin_token(Token::key, byte);
}

void EndpointListReader::begin_token(Token token, char byte) {
  token_ = token;
  token_text_.clear();
  scanner_.reset();
  state_ = State::in_token;
  if (token == Token::entry) entries_started_ += 1;
  if (entries_started_ > limits_.max_endpoints)
    return fail_bound(EndpointListErrorKind::too_many_endpoints, "an update", limits_.max_endpoints,
                      "endpoints");
  read_token(byte);
}

void EndpointListReader::read_token(char byte) {
  using Result = JsonValueScanner::Result;
  switch (scanner_.scan(byte)) {
    case Result::incomplete:
      append_to_token(byte);
      return;
    case Result::complete:
      if (append_to_token(byte)) end_token();
      return;
    case Result::complete_before:
      end_token();
      if (!error_ && !is_json_space(byte)) read_structure(byte);
      return;
    case Result::too_deep:
      return fail_bound(EndpointListErrorKind::too_deep, "a value", JsonValueScanner::kMaxNestingDepth,
                        "levels of nesting");
    case Result::invalid:
      return fail_not_json();
  }
}

// Returns false, after reporting the error, if the token is too long.
bool EndpointListReader::append_to_token(char byte) {
  if (token_ == Token::unknown) return true;
  if (token_text_.size() == limits_.max_entry_bytes) {
    fail_bound(EndpointListErrorKind::entry_too_large, "one entry, key or value", limits_.max_entry_bytes,
               "bytes");
    return false;
  }
  token_text_.push_back(byte);
  return true;
}

// Each handler moves to the next state if the token is valid.
void EndpointListReader::end_token() {
  switch (token_) {
    case Token::key:
      return end_key();
    case Token::sequence:
      return end_sequence();
    case Token::whole:
      return end_snapshot_flag();
    case Token::entry:
      return end_entry();
    case Token::unknown:
      state_ = State::after_value;
  }
}

void EndpointListReader::end_key() {
  const std::optional<json> key = parse(token_text_);
  if (!key) return fail_not_json();
  state_ = State::colon;
  member_ = Member::unknown;
  if (*key == kSequenceField) {
    member_ = Member::sequence;
    mark_member_read(sequence_read_, kSequenceField);
  } else if (*key == kSnapshotField) {
    member_ = Member::whole;
    mark_member_read(snapshot_flag_read_, kSnapshotField);
  } else if (*key == kEndpointsField) {
    member_ = Member::endpoints;
    mark_member_read(endpoints_read_, kEndpointsField);
  }
}

void EndpointListReader::mark_member_read(bool& read, const char* field) {
  if (read) return fail_field(field, "is given twice");
  read = true;
}

void EndpointListReader::end_sequence() {
  const std::optional<json> value = parse(token_text_);
  const std::optional<std::int64_t> sequence = value ? parse_sequence(*value) : std::nullopt;
  if (!sequence) return fail_field(kSequenceField, "must be an integer from 0 to 2^63 - 1");
  update_.sequence = *sequence;
  state_ = State::after_value;
}

void EndpointListReader::end_snapshot_flag() {
  const std::optional<json> value = parse(token_text_);
  if (!value || !value->is_boolean()) return fail_field(kSnapshotField, "must be true or false");
  update_.is_snapshot = value->get<bool>();
  state_ = State::after_value;
}

void EndpointListReader::end_entry() {
  const std::optional<json> value = parse(token_text_);
  if (!value) return fail_not_json();
  try {
    update_.endpoints.push_back(core::decode_endpoint(*value));
  } catch (const core::EndpointFieldError& error) {
    return fail(EndpointListErrorKind::wrong_field, error.what(), error.field());
  }
  const std::string& name = update_.endpoints.back().name();
  if (!names_.insert(name).second)
    return fail(EndpointListErrorKind::duplicate_endpoint, "endpoint " + quoted(name) + " appears twice");
  state_ = State::after_entry;
}

void EndpointListReader::end_update() {
  if (!sequence_read_) return fail_field(kSequenceField, "is missing");
  if (!snapshot_flag_read_) return fail_field(kSnapshotField, "is missing");
  if (!endpoints_read_) return fail_field(kEndpointsField, "is missing");
  EndpointUpdate complete = std::move(update_);
  clear_update();
  state_ = State::between_updates;
  line_has_update_ = true;
  listener_.on_update(std::move(complete));
}

void EndpointListReader::clear_update() {
  names_ = {};  // cleared before the endpoints that its views point into
  update_ = {};
  update_bytes_ = 0;
  entries_started_ = 0;
  sequence_read_ = false;
  snapshot_flag_read_ = false;
  endpoints_read_ = false;
}

void EndpointListReader::fail(EndpointListErrorKind kind, const std::string& text, const std::string& field) {
  error_ = EndpointListError{kind, "endpoint list: " + error_position() + text, field, entry_number()};
  clear_update();
  listener_.on_error(*error_);
}

void EndpointListReader::fail_not_json() {
  fail(EndpointListErrorKind::not_json,
       state_ == State::between_updates
           ? "not JSON: an object was expected"
           : "not JSON at byte " + std::to_string(update_bytes_) + " of the update");
}

void EndpointListReader::fail_field(const std::string& field, const std::string& problem) {
  fail(EndpointListErrorKind::wrong_field, "'" + field + "' " + problem, field);
}

void EndpointListReader::fail_bound(EndpointListErrorKind kind, const char* subject, std::size_t bound,
                                    const char* unit) {
  fail(kind, std::string(subject) + " has more than " + std::to_string(bound) + " " + unit);
}

std::string EndpointListReader::error_position() const {
  const std::optional<std::size_t> entry = entry_number();
  return entry ? "entry " + std::to_string(*entry) + ": " : "";
}

std::optional<std::size_t> EndpointListReader::entry_number() const {
  if (state_ != State::in_token || token_ != Token::entry) return std::nullopt;
  return entries_started_;
}

}  // namespace woadtide::endpoints
