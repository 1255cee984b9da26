// Validates the settings of the dispatcher module.
#include <stdexcept>

#include "woadtide/balance.hpp"

namespace woadtide {

void check(const Settings& settings) {
  const auto require = [](bool valid, const char* setting) {
    if (!valid) throw std::invalid_argument(std::string("settings: ") + setting + " is out of range");
  };
  require(settings.dispatchers >= 1, "dispatchers");
  require(!settings.classes.empty(), "classes");
  require(settings.max_attempts >= 1, "max_attempts");
  require(settings.tick.count() >= 0, "tick");
  require(settings.start_capacity > 0 && settings.start_capacity <= 1, "start_capacity");
  require(settings.cold_time.count() >= 0, "cold_time");
  require(settings.must_ask_within.count() >= 0, "must_ask_within");
  require(settings.list_binds_after.count() >= 0, "list_binds_after");
  for (const ClassSettings& job_class : settings.classes) {
    require(job_class.deadline.count() > 0, "class deadline");
    require(!job_class.aim || job_class.aim->count() >= 0, "class aim");
    require(job_class.stretch >= 0, "class stretch");
    require(job_class.window.count() >= 0, "class window");
  }
}

}  // namespace woadtide
