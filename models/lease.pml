/* The lease protocol of an at-most-once job: a dispatcher that may crash at any point and restart from its
   disk, two workers that answer inquiries (docs/worker-leases.md) and may be killed and restarted with their
   ledger, and a network that loses and delays messages. Checked exhaustively by models/check.sh:

     the job never starts twice, whatever is lost, delayed or killed.

   With -DNO_EPOCH an inquiry does not raise the epoch, so a worker does not reject a delayed start; Spin then
   finds a run in which the job starts twice. */

#define W 2          /* workers */
#define CRASHES 2    /* of the dispatcher, at most */
#define KILLS 1      /* of workers, at most */
#define LEASES 3     /* maximum epoch at which another lease is issued */

mtype = { START, ASK, NEVER, BEGUN };

/* Messages in transit: START and ASK to a worker, NEVER and BEGUN from it. Each uses a connection of its own,
   so messages may overtake each other and be received late. The sender cannot detect a lost message. */
chan to[W] = [3] of { mtype, byte };
chan from[W] = [3] of { mtype, byte };

/* The dispatcher's state on disk. */
bool d_leased;       /* a lease is held, or its worker is being asked */
byte d_epoch;
byte d_worker;
bool d_final;        /* final state: in doubt or finished */

/* The workers' ledgers, on disk. */
bool w_started[W];
byte w_fence[W];

byte starts;         /* number of starts on any worker */
byte crashes, kills;

proctype Worker(byte me) {
  byte epoch;
end:
  do
  :: to[me] ?? START(epoch) ->
     /* Starts nothing with an epoch below its fence, and no job twice according to its own ledger. */
     atomic {
       if
       :: epoch >= w_fence[me] && !w_started[me] ->
          w_started[me] = true; w_fence[me] = epoch; starts++;
          assert(starts <= 1)
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
       :: w_started[me] ->
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
       /* Killed: the messages on its connections are lost, its ledger is kept. */
       do
       :: to[me] ? _, _
       :: empty(to[me]) -> break
       od }
  od
}

proctype Dispatcher() {
  byte epoch, who;
restart:
  /* Restart from disk. Messages sent before a crash may still arrive. */
  if
  :: d_final -> goto stop
  :: else -> skip
  fi;
  if
  :: d_leased -> goto inquire
  :: else -> goto lease
  fi;

lease:
  if
  :: d_epoch >= LEASES -> goto stop
  :: else -> skip
  fi;
  if
  :: crashes < CRASHES -> crashes++; goto restart
  :: who = 0
  :: who = 1
  fi;
  /* The lease is written to disk before the execution is sent. */
  atomic { d_epoch++; d_leased = true; d_worker = who };
  if
  :: crashes < CRASHES -> crashes++; goto restart
  :: nfull(to[who]) -> to[who] ! START(d_epoch)
  :: skip                       /* lost in transit, which the dispatcher cannot detect */
  fi;
  if
  :: crashes < CRASHES -> crashes++; goto restart
  :: goto inquire               /* no heartbeat was received, or the connection broke */
  :: d_final = true; goto stop   /* the result was received */
  fi;

inquire:
  /* The epoch of the inquiry is written to disk before the inquiry is sent. */
#ifndef NO_EPOCH
  d_epoch++;
#endif
  if
  :: crashes < CRASHES -> crashes++; goto restart
  :: nfull(to[d_worker]) -> to[d_worker] ! ASK(d_epoch)
  :: skip
  fi;
  do
  :: from[d_worker] ?? NEVER(epoch) ->
     if
     :: epoch == d_epoch -> d_leased = false; goto lease
     :: else -> skip            /* answer to an older inquiry */
     fi
  :: from[d_worker] ?? BEGUN(epoch) ->
     if
     :: epoch == d_epoch -> d_final = true; goto stop
     :: else -> skip
     fi
  :: crashes < CRASHES -> crashes++; goto restart
  :: d_final = true; goto stop   /* no answer in time: in doubt */
  od;

stop:
  skip
}

init {
  atomic { run Worker(0); run Worker(1); run Dispatcher() }
}
