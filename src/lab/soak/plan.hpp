// Plan of a soak run: load, faults, events and shutdown method, all drawn from one seed before the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::soak {

// Something that happens at a planned time during the load.
enum class EventKind {
  drain,                // `worker` starts to drain and does not come back
  hang_begins,          // `worker` accepts requests and answers none
  hang_ends,            // `worker` answers new requests again
  discovery_down,       // discovery refuses calls and closes open watches
  discovery_slow,       // discovery takes seconds to answer a call
  discovery_recovered,  // discovery answers again
  watches_silent,       // open watches stay open but send no more updates
  process_paused,       // the dispatcher process is stopped for a moment (SIGSTOP, SIGCONT)
  reload,               // SIGHUP with a configuration that names the other discovery address
};
// Name as it appears in the printed plan.
const char* name_of(EventKind kind);

// A planned event.
struct Event {
  double at_ms = 0;  // since the load started
  EventKind kind = EventKind::reload;
  int worker = 0;  // index of the affected worker, for events that affect one
};

// Which signals end the process, in this order; `upgrade` starts a successor before SIGTERM.
enum class ShutdownMethod { term, term_term, hup_term, term_hup, upgrade };
// Name as it appears in the printed plan.
const char* name_of(ShutdownMethod method);

// Everything that a run does. Members ending in _ms are milliseconds.
struct SoakPlan {
  std::uint64_t seed = 1;
  double load_ms = 5'000;
  int clients = 12, workers = 4, bad_clients = 0;
  double longest_deadline_ms = 2'000, payout_deadline_ms = 1'500;
  double worker_idle_ms = 60'000;  // workers close connections that have been idle for this long
  bool is_pushed = false;          // the dispatcher uses discovery in pushed mode
  // How long workers recognise a repeat of the safe class's queries; 0: such queries may be repeated freely.
  double repeat_window_ms = 0;
  bool clients_leave = false, clients_pause = false, short_budgets = false, workers_fail = false;
  std::string faults;  // value of $WOADTIDE_FAULTS for the preloaded fault library
  std::vector<Event> events;
  ShutdownMethod ending = ShutdownMethod::term;
};

// Draws all parameters of a run from the seed. The same seed gives the same plan.
SoakPlan draw_plan(std::uint64_t seed);
// Plan of one row of the fault table: plain load with the given system-call faults and no events.
SoakPlan make_fault_plan(const std::string& faults);
// One-line description, for reports.
std::string describe(const SoakPlan& plan);

}  // namespace woadtide::lab::soak
