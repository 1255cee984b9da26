/* A change on its way: a controller and the supervisors of two dispatchers, as src/control and src/supervise do it.
   The controller writes its state down before it sends, may die at any moment and knows then what is on its disk;
   orders are lost, held up and doubled; a supervisor keeps the newest number that it has heard, with what is wanted,
   and may die with an order that it has not written down. Status is asked for, and may fail to come.
   Checked: never more run the new version than the stage on the disk allows, and the end that the controller
   writes down is the truth. NO_NUMBER leaves out the supervisors' guard by number, SEND_FIRST the order of write
   and send: each has to be found wrong. */
#define N 2
#define OLD 0
#define NEW 1

mtype = { moving_, back_, complete_, ended_back_ };
mtype = { on_old, to_new, on_new, to_old };

typedef Member { mtype place; bool out; byte kind; byte num };
typedef Book { mtype phase; byte allowed; byte numbers; Member m[N] };
Book mem, disk;

chan order[N] = [3] of { byte, byte };  /* kind, number */

byte newest[N], wanted[N], running[N];  /* a supervisor's disk, and its dispatcher */
bool done[N];

inline copy(to, from) {
  d_step {
    to.phase = from.phase; to.allowed = from.allowed; to.numbers = from.numbers;
    c = 0;
    do
    :: c < N ->
      to.m[c].place = from.m[c].place; to.m[c].out = from.m[c].out;
      to.m[c].kind = from.m[c].kind; to.m[c].num = from.m[c].num; c++
    :: else -> break
    od; c = 0
  }
}

inline give(i, what) { mem.numbers++; mem.m[i].out = true; mem.m[i].kind = what; mem.m[i].num = mem.numbers }

#ifdef SEND_FIRST
#define FROM mem
#else
#define FROM disk
#endif

active proctype controller() {
  byte c = 0, i = 0, count = 0;
  byte lives = 0;
  mem.phase = moving_; mem.allowed = 1;
  mem.m[0].place = on_old; mem.m[1].place = on_old;
  copy(disk, mem);
  do
  :: disk.phase == complete_ || disk.phase == ended_back_ -> break
  /* It dies, and finds its disk. */
  :: lives < 2 -> lives++; copy(mem, disk)
  /* One step of the core, in memory. */
  :: atomic {
      i = 0;
      if :: i = 0 :: i = 1 fi;
      count = (mem.m[0].place != on_old) + (mem.m[1].place != on_old);
      if
      :: mem.phase == moving_ && !mem.m[i].out && mem.m[i].place == on_old && count < mem.allowed ->
        mem.m[i].place = to_new; give(i, NEW)
      :: mem.phase == back_ && !mem.m[i].out && mem.m[i].place == on_new -> mem.m[i].place = to_old; give(i, OLD)
      :: mem.phase == moving_ && !mem.m[0].out && !mem.m[1].out && count == mem.allowed ->
        if
        :: mem.allowed < N -> mem.allowed = N           /* not worse: on to the next stage */
        :: mem.allowed == N -> mem.phase = complete_
        :: mem.phase = back_                            /* worse */
        fi
      /* Aborted in the midst of a step: whoever is on the way may be on either. */
      :: mem.phase == moving_ && mem.numbers > 0 && mem.numbers < 4 ->
        mem.phase = back_;
        if :: mem.m[0].place == to_new -> mem.m[0].place = on_new; mem.m[0].out = false :: else fi;
        if :: mem.m[1].place == to_new -> mem.m[1].place = on_new; mem.m[1].out = false :: else fi
      :: mem.phase == back_ && mem.m[0].place == on_old && mem.m[1].place == on_old -> mem.phase = ended_back_
      :: else
      fi
     }
  :: copy(disk, mem)
  /* What is out and not heard of goes out, again and again. */
  :: atomic {
      if :: i = 0 :: i = 1 fi;
      if
      :: FROM.m[i].out && newest[i] < FROM.m[i].num && nfull(order[i]) -> order[i]!FROM.m[i].kind, FROM.m[i].num
      :: else
      fi
     }
  /* Its supervisor says that it is done. */
  :: atomic {
      if :: i = 0 :: i = 1 fi;
      if
      :: mem.m[i].out && newest[i] == mem.m[i].num && done[i] && wanted[i] == mem.m[i].kind ->
        mem.m[i].out = false;
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
  /* Taken: written down with its number. */
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
  /* Lost on the way, or with a supervisor that died; or it comes once more. */
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
