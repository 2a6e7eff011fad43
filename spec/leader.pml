/* The leadership of dispatcher and the leases that its leader gives, with time. Two entries, of which the second may claim the
 * leadership at any moment; one agent whose worker runs a task; and a second worker on which a leader starts the task again
 * once it believes that the first run is over. The task must never run twice.
 *
 * model              code
 * leader, term       jobstore.Office: a write of a former leader is shut out
 * proof              desk.proof: when the leader's newest write that was acknowledged was sent
 * granted, took      place.granted, control.took
 * sealed             place.sealed: decided, and not published yet
 * until              Runner.until: the end of the lease; the worker kills the run then
 * doubled            run 2 was started while run 1 still ran
 *
 * Mutants (-D): NO_PROOF   a leader gives leases without a fresh proof of the leadership
 *               NO_WAIT   a new leader does not wait for what the former one may have leased
 *               NO_FENCE   a write of a former leader takes effect
 *               NO_SEAL   leases are given between the decision and its publication
 */
#define ENTRIES 2
#define PROOF 2
#define LEASE 3
#define END 10

#ifdef NO_PROOF
#define PROVEN(e) true
#else
#define PROVEN(e) (now - proof[e] < PROOF)
#endif
#ifdef NO_SEAL
#define OPEN(e) true
#else
#define OPEN(e) (!sealed[e])
#endif
#ifdef NO_FENCE
#define COUNTS(e) true
#else
#define COUNTS(e) (leader == e)
#endif

byte now = 0;
byte leader = 0;                          /* in the log */
bool believes[ENTRIES];                   /* in leadership, as far as the entry knows */
byte term[ENTRIES];
byte proof[ENTRIES], granted[ENTRIES], took[ENTRIES];
bool sealed[ENTRIES];
byte known = 1;                           /* the highest term that the agent has followed */
byte until = LEASE;                       /* run 1 lives before this time */
bool pending = false;                     /* the order to start run 1 has not reached the worker yet */
bool second = false, doubled = false;

/* The earliest time at which the entry may take run 1 for over. */
inline overAt(e, at) {
#ifdef NO_WAIT
  at = granted[e] + LEASE
#else
  if
  :: granted[e] > took[e] + PROOF -> at = granted[e] + LEASE
  :: else -> at = took[e] + PROOF + LEASE
  fi
#endif
}

active proctype System() {
  byte e, at;
  believes[0] = true; term[0] = 1;
  if :: pending = true; until = 0 :: skip fi;
  do
  :: now < END -> now++                   /* time passes */
  :: now < END && leader == 0 && !believes[1] ->   /* the second entry claims, at any moment */
     leader = 1; believes[1] = true; term[1] = 2; proof[1] = now; took[1] = now
  :: now < END ->                         /* a leader writes; a former one learns that it was succeeded */
     select (e : 0 .. 1);
     if
     :: believes[e] && leader == e -> proof[e] = now
     :: believes[e] && leader != e -> believes[e] = false
     :: else -> skip
     fi
  :: now < END && !second ->              /* the agent polls an entry, and is given a lease or not */
     select (e : 0 .. 1);
     if
     :: (believes[e] && term[e] >= known && PROVEN(e) && OPEN(e) && (now < until || pending)) ->
        pending = false;                   /* it still lives, or it is started only now */
        known = term[e]; granted[e] = now; until = now + LEASE
     :: else -> skip
     fi
  :: now < END && !second ->              /* an entry decides that run 1 is over */
     select (e : 0 .. 1);
     overAt(e, at);
     if
     :: believes[e] && !sealed[e] && now >= at -> sealed[e] = true
     :: else -> skip
     fi
  :: now < END && !second ->              /* what was decided is written, and run 2 starts */
     select (e : 0 .. 1);
     if
     :: (sealed[e] && COUNTS(e)) ->
        second = true;
        if :: now < until -> doubled = true :: else -> skip fi
     :: else -> skip
     fi;
     assert(!doubled)
  :: now >= END -> break
  od
}
