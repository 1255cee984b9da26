#include "net/message_reader.hpp"

#include <cstring>
#include <utility>

namespace woadtide::net {

bool MessageReader::add_buffer() {
  auto buffer = pool_.take();
  if (!buffer) return false;
  if (!storage_) storage_ = std::make_shared<Storage>();
  storage_->buffers.push_back(std::move(*buffer));
  size_ = parsed_ = body_offset_ = piece_size_ = 0;
  return true;
}

std::span<char> MessageReader::free_space() {
  const bool first = !storage_;
  if ((first || size_ == kBufferBytes) && !add_buffer()) return {};
  char* const data = storage_->buffers.back().data();
  if (first) {
    std::memcpy(data, surplus_.data(), surplus_.size());
    size_ = std::exchange(surplus_, {}).size();
  }
  return {data + size_, kBufferBytes - size_};
}

// The body is stored right behind the head, then in further buffers. Chunk framing is removed, so the write
// position never passes the position of the input that is being decoded.
bool MessageReader::bytes_received(std::size_t count) {
  char* const data = storage_->buffers.back().data();
  size_ += count;
  if (!decoder_) {
    const std::size_t length = head_length({data, size_});
    if (length == 0) return false;
    message_.head = parse_request_head({data, length});
    const Framing framing = request_framing(message_.head);
    message_.closes_link = framing.closes_link;
    expects_continue_ = equals_ignore_case(message_.head.find("Expect").value_or(""), "100-continue");
    decoder_.emplace(framing);
    body_offset_ = parsed_ = length;
  }
  parsed_ += decoder_->decode({data + parsed_, size_ - parsed_}, [&](std::string_view piece) {
    if (body_size_ + piece.size() > kMaxBodyBytes) throw BadMessage(413, "body over 64 KiB");
    std::memmove(data + body_offset_ + piece_size_, piece.data(), piece.size());
    piece_size_ += piece.size();
    body_size_ += piece.size();
  });
  const bool complete = decoder_->complete();
  if (complete || body_offset_ + piece_size_ == kBufferBytes)
    message_.body.emplace_back(data + body_offset_, piece_size_);
  if (complete)
    surplus_.assign(data + parsed_, size_ - parsed_);
  else
    parsed_ = size_ = body_offset_ + piece_size_;
  return complete;
}

IncomingMessage MessageReader::take() {
  message_.storage = std::exchange(storage_, nullptr);
  decoder_.reset();
  size_ = parsed_ = body_offset_ = piece_size_ = body_size_ = 0;
  expects_continue_ = false;
  return std::exchange(message_, {});
}

void MessageReader::release_empty_buffer() {
  if (!has_partial_message()) storage_.reset();
}

}  // namespace woadtide::net
