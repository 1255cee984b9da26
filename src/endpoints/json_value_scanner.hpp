// Finds the end of a JSON value (RFC 8259) that arrives byte by byte, and validates its grammar and UTF-8. It
// stores no text. The range of numbers and the pairing of \u surrogates are not checked here: a parser does
// so for the values that are kept.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "endpoints/utf8_checker.hpp"

namespace woadtide::endpoints {

// Scans one value at a time, from its first byte that is not white space.
class JsonValueScanner {
 public:
  // Maximum number of nested objects and arrays.
  static constexpr std::size_t kMaxNestingDepth = 16;

  // Result of scanning one byte.
  enum class Result {
    incomplete,
    complete,         // the value ends with this byte
    complete_before,  // a number ended before this byte, which is not part of it
    invalid,
    too_deep,
  };

  // Processes the next byte. After any result except `incomplete`, reset() must be called before the next
  // byte.
  Result scan(char byte);
  // Prepares for a new value.
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
    // States within a number.
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
  Result begin_literal(std::string_view remaining);
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
  Result advance_to(State next);

  State state_ = State::value;
  std::array<Container, kMaxNestingDepth> containers_ = {};
  std::size_t depth_ = 0;
  bool string_is_key_ = false;
  int remaining_hex_digits_ = 0;
  Utf8Checker utf8_;  // of the current string
  std::string_view remaining_literal_;
};

}  // namespace woadtide::endpoints
