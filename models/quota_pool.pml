/* Shares of a quota that daemons lend to pools.
 *
 * Two lenders own one share each and lend it to one of two pools, which they
 * choose freely (views differ). Loans are lost, or arrive late by up to
 * TRANSIT ticks while the pool runs. A lender restarts without memory, while
 * loans of its earlier process are still under way. The process of a pool
 * pauses for any time, in which loans wait in its socket, and then reads them;
 * it knows only that the pause was long. Time passes in ticks; all clocks run
 * at the same rate.
 *
 * A loan that a pool reads counts for VALID ticks; the lender lends the share
 * to the other pool HOLD ticks after it last lent it. HOLD - VALID covers the
 * transit. A pool that has paused forgets its loans and reads its backlog
 * without counting it.
 *
 * Safety: the pools together never count a share twice.
 *
 * -DNO_HOLD: a lender lends to the other pool at once.
 * -DNO_START_WAIT: a restarted lender lends at once.
 * -DNO_EXPIRY: a pool counts a loan until another one replaces it.
 * -DCOUNT_BACKLOG: a pool counts loans that it reads after a pause.
 * -DNO_TRANSIT_TIME: a lender holds a loan only for as long as a pool.
 */
#define N 2
#define VALID 2
#define TRANSIT 1
#ifdef NO_TRANSIT_TIME
#define HOLD VALID
#else
#define HOLD (VALID + TRANSIT)
#endif

byte held[N];          /* rest of the time for which the share is lent */
byte lent_to[N];       /* the pool of that loan */
bool known[N];         /* the lender remembers that loan */
byte under_way[N * 2]; /* rest of a loan's transit plus one; 0 is none */
byte counted[N * 2];   /* rest of the loan at the pool */
bool paused[2];
bool backlog[2];       /* reads what arrived during a pause */
bool waiting[N * 2];   /* a loan waits in the socket of a paused pool */
byte i, a;

#define W(d, p) under_way[(d) * 2 + (p)]
#define C(d, p) counted[(d) * 2 + (p)]
#define Q(d, p) waiting[(d) * 2 + (p)]

#ifdef NO_HOLD
#define MAY_LEND(d, p) (held[d] == 0 || known[d])
#else
#define MAY_LEND(d, p) (held[d] == 0 || (known[d] && lent_to[d] == p))
#endif

inline down(value) {
    if
    :: value > 0 -> value--
    :: else -> skip
    fi
}

/* A loan that isn't read in its transit time is lost, or waits in the socket
 * of a pool that has paused. */
inline pass(d, p) {
    if
    :: W(d, p) == 1 && paused[p] -> Q(d, p) = true
    :: else -> skip
    fi;
    down(W(d, p));
#ifndef NO_EXPIRY
    down(C(d, p));
#endif
}

inline check() {
    assert(!(C(0, 0) > 0 && C(0, 1) > 0));
    assert(!(C(1, 0) > 0 && C(1, 1) > 0))
}

active proctype fleet() {
    held[0] = HOLD; held[1] = HOLD;
    do
    :: d_step { /* time */
        down(held[0]); down(held[1]);
        pass(0, 0); pass(0, 1); pass(1, 0); pass(1, 1)
       }
    :: atomic { /* a lender lends or renews a loan */
        select(i : 0 .. N - 1); select(a : 0 .. 1);
        if
        :: MAY_LEND(i, a) ->
            held[i] = HOLD; lent_to[i] = a; known[i] = true;
            W(i, a) = TRANSIT + 1
        :: else -> skip
        fi;
        i = 0; a = 0 }
    :: atomic { /* a pool that runs reads a loan */
        select(i : 0 .. N - 1); select(a : 0 .. 1);
        if
        :: W(i, a) > 0 && !paused[a] && !backlog[a] ->
            C(i, a) = VALID;
            if
            :: W(i, a) = 0
            :: skip /* a duplicate, or an earlier one, is still under way */
            fi
        :: else -> skip
        fi;
        check(); i = 0; a = 0 }
    :: atomic { /* a lender restarts and forgets its loan */
        select(i : 0 .. N - 1);
        known[i] = false;
#ifdef NO_START_WAIT
        held[i] = 0;
#else
        held[i] = HOLD;
#endif
        i = 0 }
    :: atomic { /* a pool pauses */
        select(a : 0 .. 1);
        if
        :: !backlog[a] -> paused[a] = true
        :: else -> skip
        fi;
        a = 0 }
    :: atomic { /* a pool resumes */
        select(a : 0 .. 1);
        if
        :: paused[a] ->
            paused[a] = false; backlog[a] = true;
            C(0, a) = 0; C(1, a) = 0
        :: else -> skip
        fi;
        a = 0 }
    :: atomic { /* a resumed pool reads a loan that waited */
        select(i : 0 .. N - 1); select(a : 0 .. 1);
        if
        :: backlog[a] && Q(i, a) ->
#ifdef COUNT_BACKLOG
            C(i, a) = VALID;
#endif
            Q(i, a) = false
        :: else -> skip
        fi;
        check(); i = 0; a = 0 }
    :: atomic { /* the backlog is read */
        select(a : 0 .. 1);
        if
        :: backlog[a] && !Q(0, a) && !Q(1, a) -> backlog[a] = false
        :: else -> skip
        fi;
        a = 0 }
    od
}
