// A bounded pool of receive buffers of one size. One buffer holds the largest head that the protocol allows
// together with a usual, small body; a large body takes several.
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

constexpr std::size_t kMaxHeadBytes = 8 * 1024;
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kBufferBytes = 16 * 1024;
static_assert(kBufferBytes > kMaxHeadBytes);
// On the event loop's thread: how many reads of up to one buffer a link makes before other links have their
// turn. That is enough for the largest message and some more.
constexpr int kMaxReadsPerTurn = 8;
// When a link reads on that had to stop, because its turn was over or no buffer was free.
constexpr double kResumeReadDelayMs = 5;

class BufferPool;

// kBufferBytes bytes that return to their pool on destruction.
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

// Allocates buffers on demand and reuses them. Thread-safe. It must outlive its buffers.
class BufferPool {
 public:
  explicit BufferPool(std::size_t max_buffers) : max_buffers_(max_buffers) {}

  // Waits while `max_buffers` are in use, but not beyond `deadline` (ms on `clock`); then returns nullopt. So
  // memory stays bounded whatever arrives.
  std::optional<Buffer> take(double deadline, const core::Clock& clock) {
    std::unique_lock lock(mutex_);
    while (free_.empty() && allocated_ >= max_buffers_) {
      const double remaining_ms = deadline - clock.now();
      if (remaining_ms <= 0) return std::nullopt;
      returned_.wait_for(lock,
                         std::chrono::duration<double, std::milli>(std::min(remaining_ms, kClockPollMs)));
    }
    return take_locked();
  }
  // Does not wait: nullopt where no buffer is free.
  std::optional<Buffer> take() {
    const std::lock_guard lock(mutex_);
    if (free_.empty() && allocated_ >= max_buffers_) return std::nullopt;
    return take_locked();
  }
  // Changes the limit. Buffers above it are freed as they are returned.
  void set_max_buffers(std::size_t max_buffers) {
    const std::lock_guard lock(mutex_);
    max_buffers_ = max_buffers;
    while (allocated_ > max_buffers_ && !free_.empty()) free_.pop_back(), allocated_ -= 1;
    returned_.notify_all();
  }
  // Number of buffers in use.
  std::size_t in_use() const {
    const std::lock_guard lock(mutex_);
    return allocated_ - free_.size();
  }

 private:
  friend class Buffer;
  static constexpr double kClockPollMs = 100;  // the clock may be set while take() waits
  // The mutex is held, and a buffer is available.
  Buffer take_locked() {
    if (free_.empty()) {
      allocated_ += 1;
      return Buffer{*this, std::make_unique_for_overwrite<char[]>(kBufferBytes)};
    }
    std::unique_ptr<char[]> bytes = std::move(free_.back());
    free_.pop_back();
    return Buffer{*this, std::move(bytes)};
  }
  void give_back(std::unique_ptr<char[]> bytes) {
    const std::lock_guard lock(mutex_);
    if (allocated_ > max_buffers_)
      allocated_ -= 1;
    else
      free_.push_back(std::move(bytes));
    returned_.notify_one();
  }

  std::size_t max_buffers_;
  mutable std::mutex mutex_;
  std::condition_variable returned_;
  std::size_t allocated_ = 0;  // in use and free
  std::vector<std::unique_ptr<char[]>> free_;
};

inline Buffer::~Buffer() {
  if (bytes_) pool_->give_back(std::move(bytes_));
}

}  // namespace woadtide::net
