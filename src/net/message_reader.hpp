// Makes whole HTTP queries of the bytes of one link, in whatever pieces they come. It does no I/O.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/buffer_pool.hpp"
#include "net/http.hpp"

namespace woadtide::net {

// One whole query. Its views last as long as `hold`.
struct Message {
  std::shared_ptr<const void> hold;
  Head head;
  bool closes = false;                 // the link ends after its answer
  double received = 0;                 // when its last byte came, ms of the clock
  std::vector<std::string_view> body;  // in pieces, chunk marks taken out
};

class MessageReader {
 public:
  explicit MessageReader(BufferPool& pool) : pool_(pool) {}

  // Where the next bytes go; empty where no buffer can be had now. Holds a buffer from here on.
  std::span<char> room();
  // So many bytes have come there. True when a message is whole: it is taken before more bytes go in. Throws
  // BadMessage.
  bool came(std::size_t count);
  // The whole message. Bytes behind it stay, for the next one.
  Message take();
  // Some of the next message is here already, from behind the last one: came(0) reads it.
  bool has_rest() const { return !rest_.empty(); }
  // A part of a message has come, not all.
  bool begun() const { return held_ && size_ + body_size_ > 0; }
  // Gives back a buffer that nothing has come into.
  void let_go();
  // Once for each message that asks for it: its client waits to be told to go on.
  bool wants_continue() { return std::exchange(continue_, false); }

 private:
  struct Held {
    std::vector<Buffer> buffers;
  };
  bool next_buffer();

  BufferPool& pool_;
  std::shared_ptr<Held> held_;
  // Of the newest buffer: bytes in it, of these used, and the body's piece in it.
  std::size_t size_ = 0, used_ = 0, start_ = 0, kept_ = 0;
  Message message_;
  std::optional<BodyDecoder> decoder_;  // once the head is whole
  std::size_t body_size_ = 0;
  bool continue_ = false;
  std::string rest_;
};

}  // namespace woadtide::net
