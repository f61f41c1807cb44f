/* Failover of one database group: three instances, one holder with a lease, leaders that
 * come and go, and the replicated log as one atomic value. An entry is known by its position
 * and the term that wrote it. One process takes all steps, so that every order is explored.
 *
 * Guards that a build can take away, each of which must then lead to a failed assertion:
 *   NOSEAL     the choice does not wait for the seal to be in force at the holder
 *   FEWANSWERS one answer suffices for the choice
 *   POSFIRST   the position decides before the term of the last entry
 *   ANYTERM    a replica of another term counts for an acknowledgment
 *   NOCUT      a returned instance keeps its tail when it follows
 *   BLINDLEASE a lease is renewed without the changes before it
 *   FRESHCOUNT an instance that lost its disk counts as an answer (with DISKS)
 *   EARLYADMIT it counts again by its own word, not by the log's (with DISKS)
 */
#define N 3
#ifndef MAXT
#define MAXT 3
#endif
#ifndef WRITES
#define WRITES 3
#endif
#ifndef DISKS
#define DISKS 0
#endif
#define LEN (WRITES + MAXT)
#define AT(i, p) lg[(i) * (LEN + 1) + (p)]
#define LAST(i) AT(i, top[i])

#define SEALED 1
#define CHOSEN 2
#define OPEN 3

byte top[N];
byte lg[N * (LEN + 1)];
byte term[N];
bool prim[N];
bool fol[N];
bool fresh[N];

byte T = 1;
byte phase = OPEN;
byte P;
byte fork[MAXT + 1];
byte lead[MAXT + 1];

byte hT = 1;
byte hPhase = OPEN;
byte hP;
byte hW = 1;
byte hA = 1;
bool valid = true;
bool expired;
byte rep[N];

bool ans[N];
byte acked[LEN + 1];

byte writes;
byte disks;

inline clearAnswers() {
	ans[0] = false; ans[1] = false; ans[2] = false
}

inline accept(i, t) {
	if
	:: term[i] < t -> term[i] = t; prim[i] = false; fol[i] = false
	:: else -> skip
	fi
}

/* cut drops what a later term does not have: entries after the lowest start of the terms
 * after the last entry's. */
inline cut(i, t) {
#ifndef NOCUT
	y = LAST(i) + 1;
	do
	:: y <= t ->
		if
		:: fork[y] < top[i] && fork[y] > 0 -> z = top[i]; top[i] = fork[y];
			do
			:: z > top[i] -> AT(i, z) = 0; z--
			:: else -> break
			od
		:: else -> skip
		fi;
		y++
	:: else -> break
	od
#else
	skip
#endif
}

inline learn() {
	if
	:: hT != T || hPhase != phase ->
		if
		:: phase == OPEN -> hW = fork[T] + 1; hA = hW
		:: else -> skip
		fi;
		if
		:: hT != T -> rep[0] = 0; rep[1] = 0; rep[2] = 0
		:: else -> skip
		fi;
		hT = T; hPhase = phase; hP = P
	:: else -> skip
	fi
}

#ifdef POSFIRST
#define BETTER(i, j) (top[i] > top[j] || (top[i] == top[j] && LAST(i) > LAST(j)))
#else
#define BETTER(i, j) (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && top[i] > top[j]))
#endif

#ifdef FEWANSWERS
#define ENOUGH (ans[0] + ans[1] + ans[2] >= 1)
#else
#define ENOUGH (ans[0] + ans[1] + ans[2] >= 2)
#endif

#ifdef NOSEAL
#define RELEASED true
#else
#define RELEASED (hT >= T || expired)
#endif

#ifdef ANYTERM
#define COUNTS(i) true
#else
#define COUNTS(i) (fol[i] && term[i] == hT)
#endif
#define COPY(i, p) (i != hP && rep[i] >= p)

active proctype system() {
	byte i, x, y, z;
	d_step {
		i = 0;
		do
		:: i < N -> top[i] = 1; AT(i, 1) = 1; term[i] = 1; fol[i] = (i != 0); i++
		:: else -> break
		od;
		prim[0] = true;
		i = 0
	}
end:
	do
	/* The holder writes at the instance that it takes for the primary. */
	:: d_step { valid && hPhase == OPEN && writes < WRITES && prim[hP] && term[hP] == hT && top[hP] < LEN ->
		top[hP] = top[hP] + 1; AT(hP, top[hP]) = hT; hW = top[hP]; writes++ }
	/* The holder acknowledges the next write. */
	:: d_step { valid && hPhase == OPEN && hA < hW && (COPY(0, hA + 1) || COPY(1, hA + 1) || COPY(2, hA + 1)) ->
		hA++;
		assert(!(T > hT && phase >= CHOSEN));
		assert(acked[hA] == 0 || acked[hA] == hT);
		acked[hA] = hT }
	/* The holder learns, loses its lease, gets it again. */
	:: d_step { hT != T || hPhase != phase -> learn() }
	:: d_step { valid -> valid = false }
	:: d_step { !valid && !expired -> expired = true }
#ifdef BLINDLEASE
	:: d_step { !valid -> valid = true; expired = false }
#else
	:: d_step { !valid -> learn(); valid = true; expired = false }
#endif
	/* The leader seals, chooses, opens. Another leader knows only the log: it asks for the
	 * answers anew, which the order of steps covers. */
	:: d_step { T < MAXT && phase != SEALED -> T++; phase = SEALED; clearAnswers() }
	:: d_step { phase == SEALED && RELEASED && ENOUGH ->
		i = 0; x = 255;
		do
		:: i < N ->
			if
			:: ans[i] && x == 255 -> x = i
			:: ans[i] && x != 255 && BETTER(i, x) -> x = i
			:: else -> skip
			fi;
			i++
		:: else -> break
		od;
		P = x; fork[T] = top[x]; phase = CHOSEN; clearAnswers(); i = 0; x = 0 }
	:: d_step { phase == CHOSEN && prim[P] && term[P] == T -> phase = OPEN; lead[T] = P }
	/* Instances. */
	:: atomic { i = 0; if :: i = 0 :: i = 1 :: i = 2 fi;
		if
		:: d_step { phase == SEALED && term[i] <= T && !ans[i] ->
			accept(i, T);
#ifdef FRESHCOUNT
			ans[i] = true }
#else
			ans[i] = !fresh[i] }
#endif
		:: d_step { phase == CHOSEN && i == P && term[i] <= T && top[i] == fork[T] && !prim[i] ->
			accept(i, T);
			fol[i] = false;
			y = 1;
			do
			:: y <= LEN -> assert(acked[y] == 0 || (y <= top[i] && AT(i, y) == acked[y])); y++
			:: else -> break
			od;
			top[i] = top[i] + 1; AT(i, top[i]) = T; prim[i] = true; y = 0 }
		:: d_step { hPhase == OPEN && i != hP && term[i] <= hT && !(term[i] == hT && fol[i]) ->
			accept(i, hT); cut(i, hT); fol[i] = true; y = 0; z = 0 }
#if DISKS > 0
		/* An order of the first term that comes late; only an instance that lost its term
		 * takes it. */
		:: d_step { term[i] == 0 && !fol[i] && i != lead[1] ->
			accept(i, 1); fol[i] = true }
#endif
		:: d_step { fol[i] && prim[lead[term[i]]] && term[lead[term[i]]] == term[i] && top[i] < top[lead[term[i]]] ->
			top[i] = top[i] + 1; AT(i, top[i]) = AT(lead[term[i]], top[i]) }
#if DISKS > 0
#ifdef EARLYADMIT
		:: d_step { fresh[i] && fol[i] && prim[lead[term[i]]] && term[lead[term[i]]] == term[i] && top[i] == top[lead[term[i]]] -> fresh[i] = false }
#else
		:: d_step { phase == OPEN && term[i] == T && fresh[i] && fol[i] && prim[P] && term[P] == T && top[i] == top[P] -> fresh[i] = false }
#endif
#endif
		:: d_step { i != hP && COUNTS(i) && rep[i] < top[i] -> rep[i] = top[i] }
		:: d_step { prim[i] || fol[i] -> prim[i] = false; fol[i] = false }
#if DISKS > 0
		:: d_step { disks < DISKS ->
			disks++; fresh[i] = true; ans[i] = false; term[i] = 0; prim[i] = false; fol[i] = false;
			do
			:: top[i] > 0 -> AT(i, top[i]) = 0; top[i] = top[i] - 1
			:: else -> break
			od;
			y = 0 }
#endif
		:: else -> skip
		fi;
		i = 0 }
	od
}
