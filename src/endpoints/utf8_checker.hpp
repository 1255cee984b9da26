// Checks byte by byte that a text is well-formed UTF-8 (Unicode, table 3-7).
#pragma once

namespace woadtide::endpoints {

class Utf8Checker {
 public:
  // False where the byte cannot come here; reset() comes before the next text.
  bool accept(char byte);
  void reset() { continuations_left_ = 0; }

 private:
  bool begin_character(unsigned char byte);
  bool expect(int continuations, unsigned char first_least, unsigned char first_most);

  int continuations_left_ = 0;
  // The next continuation byte lies between these.
  unsigned char least_ = 0;
  unsigned char most_ = 0;
};

}  // namespace woadtide::endpoints
