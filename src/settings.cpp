// Refuses settings that cannot be right; nothing is decided here.
#include <stdexcept>

#include "woadtide/balance.hpp"

namespace woadtide {

void check(const Settings& settings) {
  const auto require = [](bool holds, const char* setting) {
    if (!holds) throw std::invalid_argument(std::string("settings: ") + setting + " cannot be right");
  };
  require(settings.dispatchers >= 1, "dispatchers");
  require(!settings.classes.empty(), "classes");
  require(settings.max_attempts >= 1, "max_attempts");
  require(settings.tick.count() >= 0, "tick");
  require(settings.start_capacity > 0 && settings.start_capacity <= 1, "start_capacity");
  require(settings.cold_time.count() >= 0, "cold_time");
  require(settings.must_ask_within.count() >= 0, "must_ask_within");
  require(settings.list_binds_after.count() >= 0, "list_binds_after");
  for (const ClassSettings& kind : settings.classes) {
    require(kind.deadline.count() > 0, "class deadline");
    require(!kind.aim || kind.aim->count() >= 0, "class aim");
    require(kind.stretch >= 0, "class stretch");
    require(kind.window.count() >= 0, "class window");
  }
}

}  // namespace woadtide
