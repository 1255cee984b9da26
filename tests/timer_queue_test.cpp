// Tests of the timer queue by itself.
#include "core/timer_queue.hpp"

#include <doctest/doctest.h>

#include <string>

namespace woadtide::core {
namespace {

TEST_CASE("timers come due in order of time, and of setting where the times are the same") {
  TimerQueue<std::string> timers;
  CHECK_FALSE(timers.next_time());
  timers.set("late", 30);
  timers.set("first", 10);
  timers.set("second", 10);
  CHECK(timers.next_time() == 10);
  CHECK_FALSE(timers.pop_due(9));
  CHECK(timers.pop_due(30) == "first");
  CHECK(timers.pop_due(30) == "second");
  CHECK(timers.pop_due(30) == "late");
  CHECK_FALSE(timers.pop_due(30));
  CHECK(timers.size() == 0);
}

TEST_CASE("a timer that is set again has its new time only, and a cancelled one never comes due") {
  TimerQueue<std::string> timers;
  timers.set("moved", 10);
  timers.set("moved", 20);
  timers.set("cancelled", 15);
  CHECK(timers.size() == 2);
  timers.cancel("cancelled");
  timers.cancel("cancelled");
  timers.cancel("never set");
  CHECK(timers.size() == 1);
  CHECK_FALSE(timers.pop_due(19));
  CHECK(timers.pop_due(20) == "moved");
  CHECK_FALSE(timers.next_time());
}

}  // namespace
}  // namespace woadtide::core
