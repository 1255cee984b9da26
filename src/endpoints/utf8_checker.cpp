#include "endpoints/utf8_checker.hpp"

namespace woadtide::endpoints {

namespace {
constexpr unsigned char kMinContinuationByte = 0x80;
constexpr unsigned char kMaxContinuationByte = 0xBF;
}  // namespace

bool Utf8Checker::accept(char signed_byte) {
  const auto byte = static_cast<unsigned char>(signed_byte);
  if (remaining_continuations_ == 0) return begin_character(byte);
  if (byte < min_next_ || byte > max_next_) return false;
  return expect_continuations(remaining_continuations_ - 1, kMinContinuationByte, kMaxContinuationByte);
}

// The range of the first continuation byte excludes overlong forms, surrogates and code points above
// U+10FFFF.
bool Utf8Checker::begin_character(unsigned char byte) {
  if (byte < 0x80) return true;
  if (byte < 0xC2 || byte > 0xF4) return false;
  if (byte < 0xE0) return expect_continuations(1, kMinContinuationByte, kMaxContinuationByte);
  if (byte == 0xE0) return expect_continuations(2, 0xA0, kMaxContinuationByte);
  if (byte == 0xED) return expect_continuations(2, kMinContinuationByte, 0x9F);
  if (byte < 0xF0) return expect_continuations(2, kMinContinuationByte, kMaxContinuationByte);
  if (byte == 0xF0) return expect_continuations(3, 0x90, kMaxContinuationByte);
  if (byte == 0xF4) return expect_continuations(3, kMinContinuationByte, 0x8F);
  return expect_continuations(3, kMinContinuationByte, kMaxContinuationByte);
}

bool Utf8Checker::expect_continuations(int continuations, unsigned char min_next, unsigned char max_next) {
  remaining_continuations_ = continuations;
  min_next_ = min_next;
  max_next_ = max_next;
  return true;
}

}  // namespace woadtide::endpoints
