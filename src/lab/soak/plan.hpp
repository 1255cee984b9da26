// What one seed of a soak run plays, drawn before the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::soak {

enum class EventKind {
  drain,        // `worker` begins to drain, for good
  hang_begins,  // `worker` takes requests and answers none
  hang_ends,
  discovery_down,  // calls are refused, watches end
  discovery_slow,  // calls are answered after seconds
  discovery_well,
  watches_silent,  // open watches tell nothing more
  held_up,         // the process stands still for a moment
  reload,          // a new configuration: discovery has its other address
};
const char* name_of(EventKind kind);

struct Event {
  double at_ms = 0;  // from the begin of the load
  EventKind kind = EventKind::reload;
  int worker = 0;
};

// How the process is told to end.
enum class Ending { term, term_term, hup_term, term_hup, upgrade };
const char* name_of(Ending ending);

struct SoakPlan {
  std::uint64_t seed = 1;
  double load_ms = 5'000;
  int clients = 12, workers = 4, bad_clients = 0;
  double longest_deadline_ms = 2'000, payout_deadline_ms = 1'500;
  double worker_idle_ms = 60'000;  // workers close connections that have stood idle for so long
  bool is_pushed = false;          // discovery is an agent that pushes its lists
  double repeat_window_ms =
      0;  // of the safe class, where its workers know repeats; 0: it may be repeated freely
  bool clients_leave = false, clients_pause = false, short_budgets = false, workers_fail = false;
  std::string faults;  // as the preloaded library reads them
  std::vector<Event> events;
  Ending ending = Ending::term;
};

// Everything from the seed.
SoakPlan draw_plan(std::uint64_t seed);
// Nothing but load and these faults of system calls: a row of the table of faults.
SoakPlan plan_of_faults(const std::string& faults);
std::string text_of(const SoakPlan& plan);

}  // namespace woadtide::lab::soak
