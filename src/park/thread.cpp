#include "park/thread.hpp"

#include <exception>
#include <memory>
#include <system_error>
#include <utility>

#include "core/log.hpp"

namespace woadtide::park {

namespace {

struct StartArguments {
  std::string name;
  std::function<void()> body;
};

// An exception that left a thread would terminate the process, and with it all accepted queries.
void* run(void* argument) {
  const std::unique_ptr<StartArguments> arguments(static_cast<StartArguments*>(argument));
  pthread_setname_np(pthread_self(), arguments->name.substr(0, 15).c_str());
  try {
    arguments->body();
  } catch (const std::exception& failure) {
    core::log_line("thread " + arguments->name + ": " + failure.what());
  }
  return nullptr;
}

class Attributes {
 public:
  Attributes() { pthread_attr_init(&attributes_); }
  ~Attributes() { pthread_attr_destroy(&attributes_); }
  Attributes(const Attributes&) = delete;
  Attributes& operator=(const Attributes&) = delete;
  pthread_attr_t* get() { return &attributes_; }

 private:
  pthread_attr_t attributes_;
};

}  // namespace

Thread::Thread(const std::string& name, std::function<void()> body) {
  auto arguments = std::make_unique<StartArguments>(StartArguments{name, std::move(body)});
  Attributes attributes;
  pthread_attr_setstacksize(attributes.get(), kStackBytes);
  const int error = pthread_create(&handle_, attributes.get(), run, arguments.get());
  if (error != 0) throw std::system_error(error, std::generic_category(), "thread " + name);
  (void)arguments.release();
  joinable_ = true;
}

Thread::Thread(Thread&& other) noexcept
    : handle_(other.handle_), joinable_(std::exchange(other.joinable_, false)) {}

Thread& Thread::operator=(Thread&& other) noexcept {
  join();
  handle_ = other.handle_;
  joinable_ = std::exchange(other.joinable_, false);
  return *this;
}

void Thread::join() {
  if (std::exchange(joinable_, false)) pthread_join(handle_, nullptr);
}

}  // namespace woadtide::park
