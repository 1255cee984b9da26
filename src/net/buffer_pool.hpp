// Buffers of one size, used again. One holds any head that the protocol allows with the usual small body; a
// large body takes several.
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace woadtide::net {

constexpr std::size_t kMostHead = 8 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kBufferBytes = 16 * 1024;
static_assert(kBufferBytes > kMostHead);
// On the park's thread: how many buffers of one link are read before others have their turn, the largest
// message and some; and when one goes on that had to stop, for others or for want of a buffer.
constexpr int kReadsAtOnce = 8;
constexpr double kGoOnMs = 5;

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

  // Waits while `most` are out, until `until` at the longest: memory stays bounded whatever comes in.
  std::optional<Buffer> take(double until, const core::Clock& clock) {
    std::unique_lock lock(mutex_);
    while (free_.empty() && made_ >= most_) {
      const double left = until - clock.now();
      if (left <= 0) return std::nullopt;
      came_back_.wait_for(lock, std::chrono::duration<double, std::milli>(std::min(left, kLookMs)));
    }
    return take_here();
  }
  // Does not wait.
  std::optional<Buffer> take() {
    const std::lock_guard lock(mutex_);
    if (free_.empty() && made_ >= most_) return std::nullopt;
    return take_here();
  }
  // Another bound from here on: buffers over it go as they come back.
  void set_most(std::size_t most) {
    const std::lock_guard lock(mutex_);
    most_ = most;
    while (made_ > most_ && !free_.empty()) free_.pop_back(), made_ -= 1;
    came_back_.notify_all();
  }
  std::size_t out() const {
    const std::lock_guard lock(mutex_);
    return made_ - free_.size();
  }

 private:
  friend class Buffer;
  static constexpr double kLookMs = 100;  // the clock may have been set meanwhile
  // Under the mutex, where there is one to be had.
  Buffer take_here() {
    if (free_.empty()) {
      made_ += 1;
      return Buffer{*this, std::make_unique_for_overwrite<char[]>(kBufferBytes)};
    }
    std::unique_ptr<char[]> bytes = std::move(free_.back());
    free_.pop_back();
    return Buffer{*this, std::move(bytes)};
  }
  void put_back(std::unique_ptr<char[]> bytes) {
    const std::lock_guard lock(mutex_);
    if (made_ > most_)
      made_ -= 1;
    else
      free_.push_back(std::move(bytes));
    came_back_.notify_one();
  }

  std::size_t most_;
  mutable std::mutex mutex_;
  std::condition_variable came_back_;
  std::size_t made_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

inline Buffer::~Buffer() {
  if (bytes_) pool_->put_back(std::move(bytes_));
}

}  // namespace woadtide::net
