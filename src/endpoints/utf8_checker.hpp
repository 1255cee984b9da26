// Incremental check that a text is well-formed UTF-8 (Unicode Standard, table 3-7).
#pragma once

namespace woadtide::endpoints {

// Checks one text at a time.
class Utf8Checker {
 public:
  // Returns false if the byte is not allowed here; reset() must be called before the next text.
  bool accept(char byte);
  void reset() { remaining_continuations_ = 0; }

 private:
  bool begin_character(unsigned char byte);
  bool expect_continuations(int continuations, unsigned char min_next, unsigned char max_next);

  int remaining_continuations_ = 0;
  // Range of the next continuation byte.
  unsigned char min_next_ = 0;
  unsigned char max_next_ = 0;
};

}  // namespace woadtide::endpoints
