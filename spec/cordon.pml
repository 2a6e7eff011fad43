/* The bound of a cordon, with time: a start in a zone is carried out no later than BOUND after operators were told that the zone
 * is cordoned. The log, the leader's read, its answer to an agent's poll, the agent's order in hand and the call to the worker each take as
 * long as they like, and the leader or the agent may stand still in between; the agent sends a start only under the bound.
 *
 * model              code
 * acked              when the operators' record was acknowledged
 * read_sent, shown   jobstore.Tail: when a read was sent, and whether its answer held the cordon
 * proof              catalog.Follower.proof
 * age                assignment.Answer.OpenMillis: how old the proof is when the answer is made
 * poll_sent, held    runner: when the poll was sent; assignment.Answer.HeldMillis
 * open               runner.Runner.open: poll_sent + held - age, never later than the proof
 * WITHIN             runner.Settings.startWithin: BOUND less CALL
 *
 * Mutants (-D): NO_AGE     the answer says nothing of the proof's age: it counts from the answer
 *               NO_BOUND   the agent sends a start however old its proof is
 *               NO_CALL    the time of the call itself is not counted
 *               LATE_PROOF  the proof counts from when the read was answered
 *               LATE_POLL  the agent counts from when the answer came
 */
#define BOUND 2
#define CALL 1
#ifdef NO_BOUND
#define FRESH true
#else
#define FRESH (now - open <= WITHIN)
#endif
#define END 6
#ifdef NO_CALL
#define WITHIN BOUND
#else
#define WITHIN (BOUND - CALL)
#endif
#define NEVER 99

byte now = 0;
byte acked = NEVER;
bool cordoned = false;          /* the record is in the log */
/* The leader: a read under way, what it knows, and since when. All was open at time zero, so nothing read is a proof of then. */
bool reading = false, shown = false, knows = false;
byte read_sent = 0, proof = 0;
/* A poll, and the answer under way. */
bool polling = false, answered = false, says_open = false;
byte poll_sent = 0, poll_came = 0, held = 0, age = 0;
/* The agent: its proof, and a start under way. */
bool has_open = false, calling = false;
byte open = 0, call_sent = 0;

active proctype Zone() {
  do
  :: now < END && (acked == NEVER || now < acked + BOUND + 1) -> atomic { now++; if :: calling && now - call_sent > CALL -> calling = false; call_sent = 0 :: else -> skip fi }
  :: !cordoned -> cordoned = true                                    /* written, and told in any later step */
  :: cordoned && acked == NEVER -> acked = now
  /* A read: its answer is made at some moment after it was sent, and comes at a later one. */
  :: !reading -> atomic { reading = true; read_sent = now; shown = cordoned }
  :: reading && !shown && cordoned -> shown = true                   /* the record came while the read waited */
  :: reading ->
     atomic {
       reading = false;
       knows = knows || shown;
#ifdef LATE_PROOF
       proof = now;
#else
       proof = read_sent;
#endif
       read_sent = 0; shown = false
     }
  /* A poll, which arrives and is held as long as the leader likes. */
  :: !polling -> atomic { polling = true; poll_sent = now; poll_came = NEVER }
  :: polling && poll_came == NEVER -> poll_came = now
  :: polling && !answered && poll_came != NEVER ->
     atomic {
       answered = true; held = now - poll_came;
       says_open = !knows;
#ifdef NO_AGE
       age = 0
#else
       age = now - proof
#endif
     }
  :: polling && answered ->
     atomic {
       polling = false;
       if
       :: says_open && (!has_open || poll_sent + held > open + age) ->
          has_open = true;
#ifdef LATE_POLL
          open = (now >= age -> now - age : 0)
#else
          open = (poll_sent + held >= age -> poll_sent + held - age : 0)
#endif
       :: else -> skip
       fi;
       poll_sent = 0; poll_came = 0; held = 0; age = 0; says_open = false; answered = false
     }
  /* A start: sent while the proof is new enough, carried out at any moment until the call is over. */
  :: !calling && has_open && FRESH -> atomic { calling = true; call_sent = now }
  :: calling && now - call_sent <= CALL ->
     atomic {
       calling = false; call_sent = 0;
       assert(acked == NEVER || now - acked <= BOUND)
     }
  :: calling && now - call_sent <= CALL -> atomic { calling = false; call_sent = 0 }  /* the call comes to nothing */
  od
}
