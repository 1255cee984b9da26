/* A rollout: a controller and the supervisors of two dispatchers, as implemented in src/control and
   src/supervise. The controller persists its state before it sends, may crash at any moment and then restarts
   from its disk. Orders may be lost, delayed and duplicated. A supervisor persists the newest order number
   that it has received, with the wanted version, and may crash with an order that it has not persisted. Status
   is polled, and a poll may fail.
   Checked: never do more dispatchers run the new version than the stage on disk allows, and the outcome that
   the controller persists is true. NO_NUMBER removes the supervisors' check of order numbers, and SEND_FIRST
   sends before the state is persisted; Spin has to find a violation for each. */
#define N 2
#define OLD 0
#define NEW 1

mtype = { moving_, back_, complete_, ended_back_ };
mtype = { on_old, to_new, on_new, to_old };

typedef Member { mtype place; bool outstanding; byte kind; byte num };
typedef ControllerState { mtype phase; byte allowed; byte numbers; Member m[N] };
ControllerState mem, disk;

chan order[N] = [3] of { byte, byte };  /* kind, number */

byte newest[N], wanted[N], running[N];  /* a supervisor's state on disk, and the version of its dispatcher */
bool done[N];

inline copy(to, from) {
  d_step {
    to.phase = from.phase; to.allowed = from.allowed; to.numbers = from.numbers;
    c = 0;
    do
    :: c < N ->
      to.m[c].place = from.m[c].place; to.m[c].outstanding = from.m[c].outstanding;
      to.m[c].kind = from.m[c].kind; to.m[c].num = from.m[c].num; c++
    :: else -> break
    od; c = 0
  }
}

inline issue_order(i, order_kind) {
  mem.numbers++; mem.m[i].outstanding = true; mem.m[i].kind = order_kind; mem.m[i].num = mem.numbers
}

#ifdef SEND_FIRST
#define SEND_SOURCE mem
#else
#define SEND_SOURCE disk
#endif

active proctype controller() {
  byte c = 0, i = 0, count = 0;
  byte crashes = 0;
  mem.phase = moving_; mem.allowed = 1;
  mem.m[0].place = on_old; mem.m[1].place = on_old;
  copy(disk, mem);
  do
  :: disk.phase == complete_ || disk.phase == ended_back_ -> break
  /* The controller crashes and restarts from its disk. */
  :: crashes < 2 -> crashes++; copy(mem, disk)
  /* One step of the state machine, in memory. */
  :: atomic {
      i = 0;
      if :: i = 0 :: i = 1 fi;
      count = (mem.m[0].place != on_old) + (mem.m[1].place != on_old);
      if
      :: mem.phase == moving_ && !mem.m[i].outstanding && mem.m[i].place == on_old && count < mem.allowed ->
        mem.m[i].place = to_new; issue_order(i, NEW)
      :: mem.phase == back_ && !mem.m[i].outstanding && mem.m[i].place == on_new ->
        mem.m[i].place = to_old; issue_order(i, OLD)
      :: mem.phase == moving_ && !mem.m[0].outstanding && !mem.m[1].outstanding && count == mem.allowed ->
        if
        :: mem.allowed < N -> mem.allowed = N           /* not worse: next stage */
        :: mem.allowed == N -> mem.phase = complete_
        :: mem.phase = back_                            /* worse: roll back */
        fi
      /* Aborted during a step: a member that is being moved may run either version. */
      :: mem.phase == moving_ && mem.numbers > 0 && mem.numbers < 4 ->
        mem.phase = back_;
        if :: mem.m[0].place == to_new -> mem.m[0].place = on_new; mem.m[0].outstanding = false :: else fi;
        if :: mem.m[1].place == to_new -> mem.m[1].place = on_new; mem.m[1].outstanding = false :: else fi
      :: mem.phase == back_ && mem.m[0].place == on_old && mem.m[1].place == on_old -> mem.phase = ended_back_
      :: else
      fi
     }
  :: copy(disk, mem)
  /* Unacknowledged orders are sent, repeatedly. */
  :: atomic {
      if :: i = 0 :: i = 1 fi;
      if
      :: SEND_SOURCE.m[i].outstanding && newest[i] < SEND_SOURCE.m[i].num && nfull(order[i]) ->
        order[i]!SEND_SOURCE.m[i].kind, SEND_SOURCE.m[i].num
      :: else
      fi
     }
  /* The supervisor reports that the order is done. */
  :: atomic {
      if :: i = 0 :: i = 1 fi;
      if
      :: mem.m[i].outstanding && newest[i] == mem.m[i].num && done[i] && wanted[i] == mem.m[i].kind ->
        mem.m[i].outstanding = false;
        if
        :: mem.m[i].kind == NEW -> mem.m[i].place = on_new
        :: else -> mem.m[i].place = on_old
        fi
      :: else
      fi
     }
  od;
  assert(disk.phase != complete_ || (running[0] == NEW && running[1] == NEW));
  assert(disk.phase != ended_back_ || (running[0] == OLD && running[1] == OLD))
}

proctype supervisor(byte i) {
  byte kind, num;
  do
  /* Accepted: persisted with its number. */
  :: atomic {
      order[i]?kind, num;
      if
#ifndef NO_NUMBER
      :: num > newest[i] -> newest[i] = num; wanted[i] = kind; done[i] = false
      :: else
#else
      :: newest[i] = num; wanted[i] = kind; done[i] = false
#endif
      fi
     }
  /* Lost in transit or by a supervisor's crash; or delivered once more. */
  :: atomic { order[i]?kind, num }
  :: atomic { nempty(order[i]) && nfull(order[i]) -> order[i]?kind, num; order[i]!kind, num; order[i]!kind, num }
  :: atomic { running[i] != wanted[i] -> running[i] = wanted[i]; done[i] = true;
              assert((running[0] == NEW) + (running[1] == NEW) <= disk.allowed);
              assert(disk.phase != ended_back_ || running[i] == OLD) }
  :: atomic { running[i] == wanted[i] && !done[i] -> done[i] = true }
  :: disk.phase == complete_ || disk.phase == ended_back_ -> break
  od
}

init { atomic { run supervisor(0); run supervisor(1) } }
