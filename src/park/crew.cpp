#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "park/park.hpp"

namespace woadtide::park {

ThreadPool::ThreadPool(Limits limits, ThreadFactory start)
    : limits_(limits),
      thread_factory_(start ? std::move(start) : [](const std::string& name, std::function<void()> body) {
        return Thread(name, std::move(body));
      }) {}

ThreadPool::~ThreadPool() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (const auto& thread : idle_) thread->wake.notify_one();
  thread_ended_.wait(lock, [this] {
    return std::all_of(threads_.begin(), threads_.end(), [](const auto& thread) { return thread->ended; });
  });
}

bool ThreadPool::try_submit(std::function<void()> job, bool urgent) {
  std::unique_lock lock(mutex_);
  if (stopping_) return false;
  if (!idle_.empty()) {
    const auto pool_thread = std::move(idle_.back());
    idle_.pop_back();
    pool_thread->job = std::move(job);
    lock.unlock();  // otherwise the thread would wake up only to wait for the mutex
    pool_thread->wake.notify_one();
    return true;
  }
  remove_ended_threads();
  if (threads_.size() >= limits_.max_threads + (urgent ? limits_.urgent_reserve : 0)) return false;
  const auto pool_thread = threads_.emplace_back(std::make_shared<PoolThread>());
  pool_thread->job = std::move(job);
  try {
    pool_thread->thread =
        thread_factory_("crew", [this, pool_thread = pool_thread.get()] { run_jobs(*pool_thread); });
  } catch (const std::exception& error) {
    threads_.pop_back();
    if (start_failure_log_.allow(clock_.now())) core::log_line(std::string("crew: ") + error.what());
    return false;
  }
  return true;
}

void ThreadPool::run_jobs(PoolThread& pool_thread) {
  std::unique_lock lock(mutex_);
  const std::chrono::duration<double, std::milli> idle_timeout(limits_.idle_timeout_ms);
  while (pool_thread.job) {
    lock.unlock();
    try {
      pool_thread.job();
    } catch (const std::exception& error) {
      core::log_line(std::string("crew: ") + error.what());
    }
    pool_thread.job = nullptr;  // destroys what the job holds before this thread becomes idle
    lock.lock();
    if (stopping_) break;
    idle_.push_back(pool_thread.shared_from_this());
    while (!pool_thread.job && !stopping_) {
      if (idle_.size() <= limits_.kept_idle_threads)
        pool_thread.wake.wait(lock);
      else if (pool_thread.wake.wait_for(lock, idle_timeout) == std::cv_status::timeout && !pool_thread.job &&
               idle_.size() > limits_.kept_idle_threads)
        break;
    }
    if (!pool_thread.job)
      std::erase_if(idle_, [&pool_thread](const auto& idle) { return idle.get() == &pool_thread; });
  }
  pool_thread.ended = true;
  thread_ended_.notify_all();
}

void ThreadPool::remove_ended_threads() {
  std::erase_if(threads_, [](const auto& thread) { return thread->ended; });
}

void ThreadPool::set_max_threads(std::size_t most) {
  const std::lock_guard lock(mutex_);
  limits_.max_threads = most;
}

std::size_t ThreadPool::thread_count() {
  const std::lock_guard lock(mutex_);
  remove_ended_threads();
  return threads_.size();
}

}  // namespace woadtide::park
