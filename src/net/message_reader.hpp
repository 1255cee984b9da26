// Assembles complete HTTP requests from the bytes of one link, in whatever pieces they arrive. It does no
// I/O.
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

// One complete request. Its views are valid as long as `storage`, which owns the buffers.
struct IncomingMessage {
  std::shared_ptr<const void> storage;
  MessageHead head;
  bool closes_link = false;            // the link ends after the response
  double received_at = 0;              // arrival time of its last byte, ms on the clock
  std::vector<std::string_view> body;  // in pieces, with the chunk framing removed
};

// Incremental parser of the requests of one link. Use: read into free_space(), report the count by
// bytes_received(), and call take() when bytes_received() returns true.
class MessageReader {
 public:
  explicit MessageReader(BufferPool& pool) : pool_(pool) {}

  // Free space for the next bytes; empty if no buffer is available. From here on a buffer is held.
  std::span<char> free_space();
  // `count` bytes were written to free_space(). True when a message is complete: take() must be called before
  // more bytes are added. Throws BadMessage.
  bool bytes_received(std::size_t count);
  // Returns the complete message. Bytes behind it are kept for the next one.
  IncomingMessage take();
  // Bytes of the next message arrived together with the last one: free_space() and bytes_received(0) parse
  // them.
  bool has_surplus() const { return !surplus_.empty(); }
  // A message has arrived in part.
  bool has_partial_message() const { return storage_ && size_ + body_size_ > 0; }
  // Returns the buffer to the pool if it holds no byte of a message.
  void release_empty_buffer();
  // True once for each message with "Expect: 100-continue": its client waits for "100 Continue".
  bool wants_continue() { return std::exchange(expects_continue_, false); }

 private:
  struct Storage {
    std::vector<Buffer> buffers;
  };
  bool add_buffer();

  BufferPool& pool_;
  std::shared_ptr<Storage> storage_;
  // In the newest buffer: bytes received, bytes parsed, and offset and size of its piece of the body.
  std::size_t size_ = 0, parsed_ = 0, body_offset_ = 0, piece_size_ = 0;
  IncomingMessage message_;
  std::optional<BodyDecoder> decoder_;  // set once the head is complete
  std::size_t body_size_ = 0;           // of all buffers
  bool expects_continue_ = false;
  std::string surplus_;  // bytes behind the last message
};

}  // namespace woadtide::net
