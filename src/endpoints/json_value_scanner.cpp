#include "endpoints/json_value_scanner.hpp"

#include "endpoints/json_bytes.hpp"

namespace woadtide::endpoints {

namespace {

constexpr int kHexDigitsPerEscape = 4;

bool is_digit(char byte) { return byte >= '0' && byte <= '9'; }

bool is_hex_digit(char byte) {
  return is_digit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

bool is_control(char byte) { return static_cast<unsigned char>(byte) < 0x20; }

}  // namespace

void JsonValueScanner::reset() {
  state_ = State::value;
  depth_ = 0;
  utf8_.reset();
}

JsonValueScanner::Result JsonValueScanner::scan(char byte) {
  switch (state_) {
    case State::string:
      return scan_string(byte);
    case State::escape:
      return scan_escape(byte);
    case State::hex_digits:
      return scan_hex_digit(byte);
    case State::literal:
      return scan_literal(byte);
    case State::minus:
    case State::zero:
    case State::integer:
    case State::point:
    case State::fraction:
    case State::exponent:
    case State::exponent_sign:
    case State::exponent_digits:
      return scan_number(byte);
    default:
      return is_json_space(byte) ? Result::incomplete : scan_structure(byte);
  }
}

JsonValueScanner::Result JsonValueScanner::advance_to(State next) {
  state_ = next;
  return Result::incomplete;
}

JsonValueScanner::Result JsonValueScanner::scan_structure(char byte) {
  switch (state_) {
    case State::value_or_array_end:
      return byte == ']' ? end_container(byte) : begin_value(byte);
    case State::key:
      return begin_key(byte);
    case State::key_or_object_end:
      return byte == '}' ? end_container(byte) : begin_key(byte);
    case State::colon:
      return byte == ':' ? advance_to(State::value) : Result::invalid;
    case State::comma_or_end:
      if (byte != ',') return end_container(byte);
      return advance_to(containers_[depth_ - 1] == Container::object ? State::key : State::value);
    default:
      return begin_value(byte);
  }
}

JsonValueScanner::Result JsonValueScanner::begin_value(char byte) {
  switch (byte) {
    case '{':
      return begin_container(Container::object);
    case '[':
      return begin_container(Container::array);
    case '"':
      string_is_key_ = false;
      return advance_to(State::string);
    case 't':
      return begin_literal("rue");
    case 'f':
      return begin_literal("alse");
    case 'n':
      return begin_literal("ull");
    case '-':
      return advance_to(State::minus);
    case '0':
      return advance_to(State::zero);
    default:
      return expect_digit(byte, State::integer);
  }
}

JsonValueScanner::Result JsonValueScanner::begin_container(Container container) {
  if (depth_ == kMaxNestingDepth) return Result::too_deep;
  containers_[depth_] = container;
  depth_ += 1;
  return advance_to(container == Container::object ? State::key_or_object_end : State::value_or_array_end);
}

JsonValueScanner::Result JsonValueScanner::begin_literal(std::string_view remaining) {
  remaining_literal_ = remaining;
  return advance_to(State::literal);
}

JsonValueScanner::Result JsonValueScanner::begin_key(char byte) {
  if (byte != '"') return Result::invalid;
  string_is_key_ = true;
  return advance_to(State::string);
}

JsonValueScanner::Result JsonValueScanner::end_container(char byte) {
  const char closing = containers_[depth_ - 1] == Container::object ? '}' : ']';
  if (byte != closing) return Result::invalid;
  depth_ -= 1;
  return end_value();
}

JsonValueScanner::Result JsonValueScanner::end_value() {
  if (depth_ == 0) return Result::complete;
  return advance_to(State::comma_or_end);
}

JsonValueScanner::Result JsonValueScanner::scan_string(char byte) {
  if (!utf8_.accept(byte) || is_control(byte)) return Result::invalid;
  if (byte == '\\') return advance_to(State::escape);
  if (byte != '"') return Result::incomplete;
  return string_is_key_ ? advance_to(State::colon) : end_value();
}

JsonValueScanner::Result JsonValueScanner::scan_escape(char byte) {
  constexpr std::string_view kEscapedCharacters = "\"\\/bfnrt";
  if (kEscapedCharacters.find(byte) != std::string_view::npos) return advance_to(State::string);
  if (byte != 'u') return Result::invalid;
  remaining_hex_digits_ = kHexDigitsPerEscape;
  return advance_to(State::hex_digits);
}

JsonValueScanner::Result JsonValueScanner::scan_hex_digit(char byte) {
  if (!is_hex_digit(byte)) return Result::invalid;
  remaining_hex_digits_ -= 1;
  return advance_to(remaining_hex_digits_ == 0 ? State::string : State::hex_digits);
}

JsonValueScanner::Result JsonValueScanner::scan_literal(char byte) {
  if (byte != remaining_literal_.front()) return Result::invalid;
  remaining_literal_.remove_prefix(1);
  return remaining_literal_.empty() ? end_value() : Result::incomplete;
}

JsonValueScanner::Result JsonValueScanner::scan_number(char byte) {
  switch (state_) {
    case State::minus:
      return byte == '0' ? advance_to(State::zero) : expect_digit(byte, State::integer);
    case State::integer:
      return is_digit(byte) ? Result::incomplete : scan_integer_end(byte);
    case State::point:
      return expect_digit(byte, State::fraction);
    case State::fraction:
      return is_digit(byte) ? Result::incomplete : scan_exponent_start(byte);
    case State::exponent:
      if (byte == '+' || byte == '-') return advance_to(State::exponent_sign);
      return expect_digit(byte, State::exponent_digits);
    case State::exponent_sign:
      return expect_digit(byte, State::exponent_digits);
    case State::exponent_digits:
      return is_digit(byte) ? Result::incomplete : end_number(byte);
    default:
      return scan_integer_end(byte);
  }
}

JsonValueScanner::Result JsonValueScanner::scan_integer_end(char byte) {
  return byte == '.' ? advance_to(State::point) : scan_exponent_start(byte);
}

JsonValueScanner::Result JsonValueScanner::scan_exponent_start(char byte) {
  return byte == 'e' || byte == 'E' ? advance_to(State::exponent) : end_number(byte);
}

JsonValueScanner::Result JsonValueScanner::expect_digit(char byte, State next) {
  return is_digit(byte) ? advance_to(next) : Result::invalid;
}

JsonValueScanner::Result JsonValueScanner::end_number(char byte) {
  if (depth_ == 0) return Result::complete_before;
  state_ = State::comma_or_end;
  return scan(byte);
}

}  // namespace woadtide::endpoints
