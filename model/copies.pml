/*
 * A group whose writes are acknowledged once one replica has received them, and the choice of its
 * next primary.
 *
 * Three addresses, each with a log. An instance crashes and comes back with its log, or it
 * deregisters, runs on for a while, ends, and another one may start with its log. One that never
 * does so is one that is lost. One address may have no instance at first; one that starts there, in
 * an open or a sealed term, receives at once, while the leader does not know it. The leader of the
 * control hosts may be replaced at any time; all it has not recorded is lost with it. Hosts that have
 * not heard of a seal go on writing, and tell callers so until the term is revoked. That replicas are
 * held is left out: a late order, a restart or a start undoes it.
 *
 * Assumed: an instance that started before a term was revoked is known before a choice without the
 * former primary, which waits for that. A former primary that has stepped down does not lead again
 * unless it is promoted.
 *
 * Asserted: an instance that is promoted has every acknowledged write.
 */
#ifndef WRITES
#define WRITES 2
#endif
#ifndef MAXT
#define MAXT 2
#endif
#define N 3

mtype = { UP, DOWN, LEAVING, ENDED, ABSENT };

/* The instances: LEAVING has deregistered and still runs. */
mtype st[N] = UP;
byte log[N];            /* the writes of a log, one bit each */
byte lterm[N], lnum[N]; /* the end of a log */

/* The platform. */
byte term = 1;
byte lead = 0;
bool leads = true;      /* lead has not become a replica */
byte writes = 0;
byte acked = 0;

/* What the control hosts have recorded. */
byte primary = 0;
bool opened = true;
bool chosen = false;    /* in a sealed term, the primary is the one that is to be promoted */
byte former = 0;        /* the primary of the term that was ended last */
bool copied[N];         /* the log of an ended instance is copied */
bool revoked = false;   /* hosts tell no caller that a write of the former primary was carried out */

/* What the leader knows. */
bool unknown[N];        /* has started and is not known yet */
bool early[N];          /* started before the term was revoked */
bool answered[N];
byte rterm[N], rnum[N];
bool known[N];          /* an end that bounds the acknowledged writes of an ended log */
byte endterm[N], endnum[N];

#define runs(i) (st[i] == UP || st[i] == LEAVING)
#define gone(i) (st[i] == LEAVING || st[i] == ENDED)
#define reaches(t1, n1, t2, n2) (t1 > t2 || (t1 == t2 && n1 >= n2))

#define here(i) (st[i] != ABSENT && !unknown[i])
#ifdef NOENDED
#define waited(i) (here(i) && !gone(i))
#else
#define waited(i) (here(i) && !(gone(i) && copied[i]))
#endif
#ifdef EARLYEND
#define final(i) gone(i)
#else
#define final(i) (st[i] == ENDED)
#endif
#ifdef NOCOMPARE
#define holds(j, i) true
#else
#define holds(j, i) reaches(lterm[j], lnum[j], endterm[i], endnum[i])
#endif
#ifdef NOREVOKE
#define passed true
#else
#define passed (!revoked)
#endif
#ifdef NOANNOUNCE
#define announced true
#else
#define announced (!(unknown[0] && early[0]) && !(unknown[1] && early[1]) && !(unknown[2] && early[2]))
#endif
#ifdef EARLYCHOICE
#define out true
#else
#define out revoked
#endif
#ifdef NOSTEP
#define stepped (answered[former])
#else
#define stepped (answered[former] && !(leads && lead == former))
#endif

#define free(i) (i != former && waited(i) && !answered[i])
#define enough (!free(0) && !free(1) && !free(2))
/* A replica's report that the next primary c must reach. */
#define covers(c, j) (!answered[j] || (j == former && !stepped) || reaches(rterm[c], rnum[c], rterm[j], rnum[j]))
#define may(c) (answered[c] && st[c] == UP && (out && enough && announced || stepped) && covers(c, 0) && covers(c, 1) && covers(c, 2))

inline forget() {
  d_step {
    answered[0] = false; answered[1] = false; answered[2] = false;
    rterm[0] = 0; rterm[1] = 0; rterm[2] = 0; rnum[0] = 0; rnum[1] = 0; rnum[2] = 0
  }
}

inline forgetends() {
  d_step {
    known[0] = false; known[1] = false; known[2] = false;
    endterm[0] = 0; endterm[1] = 0; endterm[2] = 0; endnum[0] = 0; endnum[1] = 0; endnum[2] = 0
  }
}

/* i, j and c are any addresses. */
inline instance(i) {
  if
  :: d_step { leads && i != lead && runs(lead) && runs(i) &&
       (log[i] != log[lead] || lterm[i] != lterm[lead] || lnum[i] != lnum[lead]) ->
       log[i] = log[lead]; lterm[i] = lterm[lead]; lnum[i] = lnum[lead];
       if :: passed -> acked = acked | log[lead] :: else fi }
  :: d_step { st[i] == UP -> st[i] = DOWN; answered[i] = false; rterm[i] = 0; rnum[i] = 0 }
  :: d_step { st[i] == DOWN -> st[i] = UP }
  :: d_step { st[i] == ABSENT -> st[i] = UP; unknown[i] = true; early[i] = !revoked }
  :: d_step { unknown[i] -> unknown[i] = false; early[i] = false }
  :: d_step { st[i] == UP -> st[i] = LEAVING }
  :: d_step { st[i] == LEAVING -> st[i] = ENDED }
  :: d_step { st[i] == ENDED ->
       st[i] = UP; copied[i] = false; known[i] = false; endterm[i] = 0; endnum[i] = 0;
       answered[i] = false; rterm[i] = 0; rnum[i] = 0;
       if :: i == lead -> leads = false :: else fi }
  fi
}

inline leader(i, j) {
  if
  /* The open term: are the logs of ended instances copied? */
  :: d_step { opened && gone(i) && !copied[i] && !known[i] && final(i) && leads && lead == primary && runs(lead) ->
       known[i] = true; endterm[i] = lterm[lead]; endnum[i] = lnum[lead] }
  :: d_step { opened && gone(i) && !copied[i] && known[i] && i != j && j != primary && st[j] == UP && holds(j, i) ->
       copied[i] = true }
  /* The sealed term: queries of any instance, and the order to step down, which may never arrive. */
  :: d_step { !opened && st[i] == UP && !unknown[i] ->
       answered[i] = true; rterm[i] = lterm[i]; rnum[i] = lnum[i] }
  :: d_step { !opened && st[i] == UP && leads && i == lead && answered[i] ->
       leads = false; rterm[i] = lterm[i]; rnum[i] = lnum[i] }
  :: d_step { !opened && !chosen && may(i) -> primary = i; chosen = true }
  fi
}

active proctype group() {
  lterm[0] = 1; lterm[1] = 1; lterm[2] = 1;
  if :: skip :: st[2] = ABSENT; lterm[2] = 0 fi;
  do
  :: d_step { leads && runs(lead) && writes < WRITES ->
       log[lead] = log[lead] | (1 << writes); writes++;
       if :: lterm[lead] == term -> lnum[lead]++ :: else -> lterm[lead] = term; lnum[lead] = 1 fi }
  :: instance(0)
  :: instance(1)
  :: instance(2)
  :: leader(0, 1)
  :: leader(0, 2)
  :: leader(1, 0)
  :: leader(1, 2)
  :: leader(2, 0)
  :: leader(2, 1)
  :: atomic { opened -> opened = false; former = primary; forget() }
  :: atomic { !opened -> chosen = false; primary = former; forget() }
#ifdef STALEANSWERS
  :: atomic { !opened && !revoked -> revoked = true }
#else
  :: atomic { !opened && !chosen && !revoked -> revoked = true; forget() }
#endif
  :: atomic { forget(); forgetends() }
  :: atomic { !opened && chosen && st[primary] == UP && term < MAXT ->
       assert((acked & (255 - log[primary])) == 0);
       if :: lead != primary || !leads -> term++ :: else fi;
       lead = primary; leads = true; opened = true; chosen = false; former = primary;
       revoked = false; early[0] = unknown[0]; early[1] = unknown[1]; early[2] = unknown[2]; forget() }
  od
}
