/*
 * The deadline of an instance that leaves, and the hand-over of its group.
 *
 * The primary announces at some time that it leaves; the log commits that, and the platform counts
 * from then. Hosts learn of it with a grant of their lease, which carries what was committed
 * when the leader granted it. Time passes in ticks. Other instances answer or don't. Hosts do not
 * act on each other, so that one stands for all; the leader runs beside it.
 *
 * Asserted: a request of a host in touch with control reaches the instance at most BOUND ticks after
 * the commit; and a term is ended before the deadline only if a successor answers.
 */
#define BOUND 5         /* the platform's bound */
#define FLIGHT 1        /* the longest time from the check to the instance */
#define TOUCH 3         /* a host in touch was granted a lease within this time */
#define END 11

byte now = 0;
bool committed = false;
byte at = 0;            /* the time of the commit */
bool answers = false;   /* a successor answers */
bool open = true;

/* The host: when its last granted renewal was sent, what it said, and the renewal on its way. */
byte confirmed = 0;
bool knows = false;
byte since = 0;
bool asked = false;
byte sent = 0;
bool granted = false;
bool carries = false;
bool restarted = false; /* it knows no time */

/* A request that has passed the check, the time of that, and whether the host was in touch. */
bool flying = false;
byte checked = 0;
bool touch = false;

#define deadline (since + BOUND - FLIGHT)
#ifdef NOCHECK
#define may true
#else
#define may (!knows || (!restarted && now < deadline))
#endif
#ifdef FROMLEARNED
#define lowest now
#else
#define lowest confirmed
#endif
#ifdef NOANSWER
#define sure true
#else
#define sure answers
#endif

active proctype all()
{
  do
  /* A request is not on its way for longer than FLIGHT. */
  :: atomic { now < END && !(flying && now >= checked + FLIGHT) -> now++ }
  :: atomic { !committed -> committed = true; at = now }
  :: atomic { answers = !answers }
  /* The lease. An answer may be lost, and the host may start anew. */
  :: atomic { !asked -> asked = true; granted = false; sent = now; carries = false }
  :: atomic { asked && !granted -> granted = true; carries = committed }
  :: atomic { asked && granted ->
       asked = false;
       if
       :: carries && !knows -> knows = true; since = lowest
       :: else -> skip
       fi;
       confirmed = sent; granted = false; carries = false; sent = 0 }
  :: atomic { asked = false; granted = false; carries = false; sent = 0 }
  :: atomic { knows -> restarted = true }
  /* Requests. */
  :: atomic { !flying && open && may -> flying = true; checked = now; touch = (now <= confirmed + TOUCH) }
  :: atomic { flying ->
       flying = false; checked = 0;
       assert(!touch || !committed || now <= at + BOUND);
       touch = false }
  /* The leader. */
  :: atomic { open && knows && !restarted && now < deadline && sure -> assert(answers); open = false }
  :: atomic { open && knows && (restarted || now >= deadline) -> open = false }
  od
}
