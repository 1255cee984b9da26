// Finds the end of one JSON value (RFC 8259) that comes byte by byte, and checks its grammar and UTF-8 on the
// way. It keeps no text. The size of numbers and the pairing of \u surrogates are not checked here: a parser
// does so for the values that are kept.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "endpoints/utf8_checker.hpp"

namespace woadtide::endpoints {

// One value after the other, each from its first byte that is not white space.
class JsonValueScanner {
 public:
  // Objects and arrays within each other.
  static constexpr std::size_t kMaxDepth = 16;

  enum class Result {
    incomplete,
    complete,         // with this byte
    complete_before,  // a number, before this byte, which is not part of it
    invalid,
    too_deep,
  };

  // After any result but `incomplete`, reset() comes before the next byte.
  Result scan(char byte);
  void reset();

 private:
  enum class State {
    value,
    value_or_array_end,
    key,
    key_or_object_end,
    colon,
    comma_or_end,
    string,
    escape,
    hex_digits,
    literal,
    // Numbers
    minus,
    zero,
    integer,
    point,
    fraction,
    exponent,
    exponent_sign,
    exponent_digits,
  };
  enum class Container : unsigned char { object, array };

  Result scan_structure(char byte);
  Result begin_value(char byte);
  Result begin_container(Container container);
  Result begin_literal(std::string_view rest);
  Result begin_key(char byte);
  Result end_container(char byte);
  Result end_value();
  Result scan_string(char byte);
  Result scan_escape(char byte);
  Result scan_hex_digit(char byte);
  Result scan_literal(char byte);
  Result scan_number(char byte);
  Result scan_integer_end(char byte);
  Result scan_exponent_start(char byte);
  Result expect_digit(char byte, State next);
  Result end_number(char byte);
  Result go_on(State next);

  State state_ = State::value;
  std::array<Container, kMaxDepth> containers_ = {};
  std::size_t depth_ = 0;
  bool string_is_key_ = false;
  int hex_digits_left_ = 0;
  Utf8Checker utf8_;  // of the string
  std::string_view literal_rest_;
};

}  // namespace woadtide::endpoints
