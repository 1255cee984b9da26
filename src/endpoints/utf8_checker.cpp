#include "endpoints/utf8_checker.hpp"

namespace woadtide::endpoints {

namespace {
constexpr unsigned char kLeastContinuation = 0x80;
constexpr unsigned char kMostContinuation = 0xBF;
}  // namespace

bool Utf8Checker::accept(char signed_byte) {
  const auto byte = static_cast<unsigned char>(signed_byte);
  if (continuations_left_ == 0) return begin_character(byte);
  if (byte < least_ || byte > most_) return false;
  return expect(continuations_left_ - 1, kLeastContinuation, kMostContinuation);
}

// Overlong forms, surrogates and what is over U+10FFFF are shut out by the first continuation byte's range.
bool Utf8Checker::begin_character(unsigned char byte) {
  if (byte < 0x80) return true;
  if (byte < 0xC2 || byte > 0xF4) return false;
  if (byte < 0xE0) return expect(1, kLeastContinuation, kMostContinuation);
  if (byte == 0xE0) return expect(2, 0xA0, kMostContinuation);
  if (byte == 0xED) return expect(2, kLeastContinuation, 0x9F);
  if (byte < 0xF0) return expect(2, kLeastContinuation, kMostContinuation);
  if (byte == 0xF0) return expect(3, 0x90, kMostContinuation);
  if (byte == 0xF4) return expect(3, kLeastContinuation, 0x8F);
  return expect(3, kLeastContinuation, kMostContinuation);
}

bool Utf8Checker::expect(int continuations, unsigned char first_least, unsigned char first_most) {
  continuations_left_ = continuations;
  least_ = first_least;
  most_ = first_most;
  return true;
}

}  // namespace woadtide::endpoints
