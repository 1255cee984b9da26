// Buffers of one size, used again. One holds any whole message that the protocol allows: head and body.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace woadtide::net {

constexpr std::size_t kMostHead = 8 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kBufferBytes = kMostHead + kMostBody + 1024;  // room for a chunked body's last marks

class BufferPool;

class Buffer {
 public:
  Buffer(Buffer&& other) noexcept : pool_(other.pool_), bytes_(std::move(other.bytes_)) {}
  Buffer& operator=(Buffer&&) = delete;
  ~Buffer();
  char* data() { return bytes_.get(); }
  const char* data() const { return bytes_.get(); }

 private:
  friend class BufferPool;
  Buffer(BufferPool& pool, std::unique_ptr<char[]> bytes) : pool_(&pool), bytes_(std::move(bytes)) {}
  BufferPool* pool_;
  std::unique_ptr<char[]> bytes_;
};

class BufferPool {
 public:
  explicit BufferPool(std::size_t most) : most_(most) {}

  // Waits while `most` are out: memory stays bounded whatever comes in.
  Buffer take() {
    std::unique_lock lock(mutex_);
    came_back_.wait(lock, [this] { return !free_.empty() || made_ < most_; });
    if (free_.empty()) {
      made_ += 1;
      return {*this, std::make_unique_for_overwrite<char[]>(kBufferBytes)};
    }
    std::unique_ptr<char[]> bytes = std::move(free_.back());
    free_.pop_back();
    return {*this, std::move(bytes)};
  }
  std::size_t made() const {
    const std::lock_guard lock(mutex_);
    return made_;
  }

 private:
  friend class Buffer;
  void put_back(std::unique_ptr<char[]> bytes) {
    const std::lock_guard lock(mutex_);
    free_.push_back(std::move(bytes));
    came_back_.notify_one();
  }

  const std::size_t most_;
  mutable std::mutex mutex_;
  std::condition_variable came_back_;
  std::size_t made_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

inline Buffer::~Buffer() {
  if (bytes_) pool_->put_back(std::move(bytes_));
}

}  // namespace woadtide::net
