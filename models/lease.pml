/* The lease protocol of an at-most-once job: a dispatcher that may crash at any point and start again from its disk,
   two workers that answer (docs/worker-leases.md) and may be killed and started again with their ledger, and a network
   that loses messages and delivers them late. Checked exhaustively by models/check.sh:

     the job never begins twice, whatever is lost, late or killed;

   and with -DNO_EPOCH (the question raises no epoch, so a worker does not refuse what is late) Spin finds the run in
   which it does. */

#define W 2          /* workers */
#define CRASHES 2    /* of the dispatcher */
#define KILLS 1      /* of a worker */
#define LEASES 3     /* most epochs that are given out */

mtype = { START, ASK, NEVER, BEGUN };

/* On the way: START and ASK to a worker, NEVER and BEGUN from it, each on a link of its own: one overtakes another, and the
   receiver may take its time. Lost: the sender cannot know. */
chan to[W] = [3] of { mtype, byte };
chan from[W] = [3] of { mtype, byte };

/* The dispatcher's disk. */
bool d_out;          /* a lease is out, or its worker is asked */
byte d_epoch;
byte d_worker;
bool d_over;         /* a final state: in doubt or finished */

/* The workers' ledgers, on their disks. */
bool w_begun[W];
byte w_fence[W];

byte begun;          /* how often it has begun, anywhere */
byte crashes, kills;

proctype Worker(byte me) {
  byte epoch;
end:
  do
  :: to[me] ?? START(epoch) ->
     /* Begins nothing below its fence, and no payout twice by its own ledger. */
     atomic {
       if
       :: epoch >= w_fence[me] && !w_begun[me] ->
          w_begun[me] = true; w_fence[me] = epoch; begun++;
          assert(begun <= 1)
       :: else -> skip
       fi
     }
  :: to[me] ?? ASK(epoch) ->
     atomic {
#ifndef NO_EPOCH
       if
       :: epoch > w_fence[me] -> w_fence[me] = epoch
       :: else -> skip
       fi;
#endif
       if
       :: w_begun[me] ->
          if
          :: nfull(from[me]) -> from[me] ! BEGUN(epoch)
          :: skip               /* the answer is lost */
          fi
       :: else ->
          if
          :: nfull(from[me]) -> from[me] ! NEVER(epoch)
          :: skip
          fi
       fi
     }
  :: atomic { kills < KILLS -> kills++;
       /* Killed: what is on its links is gone, its ledger is not. */
       do
       :: to[me] ? _, _
       :: empty(to[me]) -> break
       od }
  od
}

proctype Dispatcher() {
  byte epoch, who;
start:
  /* From the disk. What an earlier life sent may still come. */
  if
  :: d_over -> goto stop
  :: else -> skip
  fi;
  if
  :: d_out -> goto doubt
  :: else -> goto take
  fi;

take:
  if
  :: d_epoch >= LEASES -> goto stop
  :: else -> skip
  fi;
  if
  :: crashes < CRASHES -> crashes++; goto start
  :: who = 0
  :: who = 1
  fi;
  /* The lease is on the disk before the execution goes out. */
  atomic { d_epoch++; d_out = true; d_worker = who };
  if
  :: crashes < CRASHES -> crashes++; goto start
  :: nfull(to[who]) -> to[who] ! START(d_epoch)
  :: skip                       /* lost on the way, which nobody here can know */
  fi;
  if
  :: crashes < CRASHES -> crashes++; goto start
  :: goto doubt                 /* no heartbeat came, or the link broke */
  :: d_over = true; goto stop   /* the result came */
  fi;

doubt:
  /* The question's epoch is on the disk before it goes out. */
#ifndef NO_EPOCH
  d_epoch++;
#endif
  if
  :: crashes < CRASHES -> crashes++; goto start
  :: nfull(to[d_worker]) -> to[d_worker] ! ASK(d_epoch)
  :: skip
  fi;
  do
  :: from[d_worker] ?? NEVER(epoch) ->
     if
     :: epoch == d_epoch -> d_out = false; goto take
     :: else -> skip            /* of an older question */
     fi
  :: from[d_worker] ?? BEGUN(epoch) ->
     if
     :: epoch == d_epoch -> d_over = true; goto stop
     :: else -> skip
     fi
  :: crashes < CRASHES -> crashes++; goto start
  :: d_over = true; goto stop   /* nobody answered in time: in doubt */
  od;

stop:
  skip
}

init {
  atomic { run Worker(0); run Worker(1); run Dispatcher() }
}
