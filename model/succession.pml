/*
 * The replacement of a primary by a call to the platform whose effect may come late.
 *
 * Two control hosts act on one replicated log; both may believe that they lead. Two entry hosts
 * hold leases and views of the log. Three instances; the platform knows which one leads. An
 * order to promote is carried out at any later time, or its answer is lost. Entry hosts write
 * where their view says, lease or not: an instance that does not lead refuses. They read at the
 * primary of their view under a lease only.
 *
 * Asserted: a read that counts is answered by the instance that leads, or nothing was
 * acknowledged since that instance led; and no two control hosts use one fencing token.
 */
#ifndef MAXT
#define MAXT 3
#endif
#ifndef MAXF
#define MAXF 5
#endif
#define ORDERS 3

mtype = { SEALED, CHOSEN, OPENED };

/* The log. */
mtype phase = OPENED;
byte term = 1;
byte primary = 0;
byte chooser = 0;
byte fence = 0;

/* The platform. */
byte leads = 0;
byte seen = 0;
bool acked = false;     /* something was acknowledged since the last change of leader */

/* Orders on their way. */
byte toinst[ORDERS];
byte token[ORDERS];
bool busy[ORDERS];
byte usedby[8];         /* which control host used a token; 0 is nobody */
bool confirmed = false; /* the order with the newest token was confirmed */

/* Entry hosts. */
bool lease[2];
byte vterm[2];
bool vopen[2];
byte vprim[2];
bool reading[2];
byte rterm[2];
byte rinst[2];
bool rlate[2];          /* the instance did not lead while it read, and others acknowledged */

#define inforce(i) (!lease[i] || vterm[i] == term)
#ifdef NORELEASE
#define released true
#else
#define released (inforce(0) && inforce(1))
#endif

#ifdef NOCONFIRM
#define sure true
#else
#define sure confirmed
#endif
#ifdef SAMETOKEN
#define nexttoken 1
#else
#define nexttoken (fence + 1)
#endif
/* An answer counts if the lease and the term still stand when it comes. */
#ifdef NOPOST
#define counts(i) true
#else
#define counts(i) (lease[i] && vterm[i] == rterm[i] && vopen[i])
#endif

inline learn(i) { vterm[i] = term; vopen[i] = (phase == OPENED); vprim[i] = primary }

inline choose(h, p) {
  phase = CHOSEN; primary = p; chooser = h; confirmed = false; fence = nexttoken
}

active proctype all()
{
  byte i, p, h;
  atomic { lease[0] = true; lease[1] = true; vterm[0] = 1; vterm[1] = 1; vopen[0] = true; vopen[1] = true }
  do
  /* Control. */
  :: atomic { phase == OPENED && term < MAXT -> term++; phase = SEALED }
  :: atomic { phase == SEALED && released && fence < MAXF -> select(p : 0 .. 2); select(h : 1 .. 2); choose(h, p) }
  :: atomic { phase == CHOSEN && fence < MAXF -> select(h : 1 .. 2);
       p = primary; choose(h, p) }
  :: atomic { phase == CHOSEN && term < MAXT -> term++; phase = SEALED }
  :: atomic { phase == CHOSEN && !confirmed ->
       select(i : 0 .. ORDERS - 1);
       if
       :: !busy[i] ->
            assert(usedby[fence] == 0 || usedby[fence] == chooser);
            usedby[fence] = chooser;
            busy[i] = true; toinst[i] = primary; token[i] = fence
       :: else -> skip
       fi; i = 0 }
  :: atomic { phase == CHOSEN && leads == primary && sure -> phase = OPENED }
  /* The platform. */
  :: atomic { select(i : 0 .. ORDERS - 1);
       if
       :: busy[i] && token[i] >= seen ->
            seen = token[i]; busy[i] = false;
            if
            :: leads != toinst[i] -> leads = toinst[i]; acked = false
            :: else -> skip
            fi;
            if
            :: token[i] == fence && phase == CHOSEN -> confirmed = true
            :: skip                       /* the answer is lost */
            fi
       :: busy[i] && token[i] < seen -> busy[i] = false
       :: else -> skip
       fi; i = 0 }
  /* Entry hosts. */
  :: atomic { select(i : 0 .. 1); if :: lease[i] -> learn(i) :: else -> skip fi; i = 0 }
  :: atomic { select(i : 0 .. 1); lease[i] = false; i = 0 }
  :: atomic { select(i : 0 .. 1); learn(i); lease[i] = true; i = 0 }
  :: atomic { select(i : 0 .. 1);
       if
       :: vopen[i] && vprim[i] == leads -> acked = true;
            if :: reading[0] && rinst[0] != leads -> rlate[0] = true :: else -> skip fi;
            if :: reading[1] && rinst[1] != leads -> rlate[1] = true :: else -> skip fi
       :: else -> skip
       fi; i = 0 }
  :: atomic { select(i : 0 .. 1);
       if
       :: !reading[i] && lease[i] && vopen[i] ->
            reading[i] = true; rterm[i] = vterm[i]; rinst[i] = vprim[i]; rlate[i] = (leads != vprim[i] && acked)
       :: else -> skip
       fi; i = 0 }
  :: atomic { select(i : 0 .. 1);
       if
       :: reading[i] ->
            reading[i] = false;
            if
            :: counts(i) -> assert(!rlate[i])
            :: else -> skip
            fi
       :: else -> skip
       fi; i = 0 }
  od
}
