/* Fleet-wide bound of ejected slots of one service.
 *
 * N home daemons support one of two arbiters by exclusive leases. Reports and
 * tables are lost and delayed without bound, daemons and arbiters restart
 * without memory, and each daemon chooses its arbiter freely (views differ).
 * Time passes in ticks; all clocks run at the same rate.
 *
 * promise[i, a] is the rest of the lease that daemon i promised to arbiter a,
 * under any of its incarnations. A report that arrives late proves only what
 * is left of it, since it echoes a table that was sent before the promise.
 * A table that arbiter a computes now ejects its slots at receivers for at
 * most VALID ticks from now, because validity counts from the receiver's
 * report, which the arbiter had before.
 *
 * A restarted arbiter grants as soon as supporters count again; the model
 * shows that the bound needs no further wait.
 *
 * Safety: the slots that both arbiters, and their earlier incarnations, may
 * keep ejected anywhere never exceed the budget.
 *
 * -DNO_RESTART_WAIT: a restarted daemon promises support at once.
 * -DNO_TAKEOVER_WAIT: an arbiter counts a new supporter at once, while the
 * previous arbiter's grants may still be valid.
 * -DLEASE_FROM_RECEIPT: an arbiter counts a whole lease from the receipt of a
 * report.
 */
#define N 3
#define LEASE 3
#define VALID 2
#define MARGIN 0 /* ticks are synchronous, so that clocks need no margin */
#define UNBROKEN (VALID + MARGIN)
#define BUDGET 2

byte promise[N * 2];
byte blocked[N];       /* rest of the wait after a restart */
#ifdef LEASE_FROM_RECEIPT
bool under_way[N * 2]; /* a report that promised support may still arrive */
#endif
#ifdef NO_RESTART_WAIT
bool forgot[N];        /* restarted since its last promise */
#endif
byte until[N * 2];     /* arbiter's view of the promise */
byte unbroken[N * 2];  /* ticks for which it has held, up to UNBROKEN */
byte mine[2 * BUDGET]; /* rest of each slot's ejection, by arbiter */
byte lost[2 * BUDGET]; /* the same for earlier incarnations */
byte i, a, k, s;
int x, y;

#define P(d, r) promise[(d) * 2 + (r)]
#define U(d, r) until[(d) * 2 + (r)]
#define AGE(d, r) unbroken[(d) * 2 + (r)]
#define COUNTS(d, r) (U(d, r) > 0 && AGE(d, r) >= UNBROKEN)

inline down(value) {
    if
    :: value > 0 -> value--
    :: else -> skip
    fi
}

inline count_supporters(r) {
    s = 0; i = 0;
    do
    :: i < N ->
#ifdef NO_TAKEOVER_WAIT
        if
        :: U(i, r) > 0 -> s++
        :: else -> skip
        fi;
#else
        if
        :: COUNTS(i, r) -> s++
        :: else -> skip
        fi;
#endif
        i++
    :: else -> break
    od;
    i = 0
}

/* Daemons are alike and so are slots: states that differ by their order only
 * are the same state. */
#ifdef LEASE_FROM_RECEIPT
#define EXTRA(d) (under_way[(d) * 2] * 2 + under_way[(d) * 2 + 1])
#else
#ifdef NO_RESTART_WAIT
#define EXTRA(d) forgot[d]
#else
#define EXTRA(d) 0
#endif
#endif
#define KEY(d) ((((((((P(d, 0) * 4 + P(d, 1)) * 4 + blocked[d]) * 4 + \
    U(d, 0)) * 4) + U(d, 1)) * 4 + AGE(d, 0)) * 4 + AGE(d, 1)) * 4 + EXTRA(d))

inline swap(one, other) { x = one; one = other; other = x }

inline order(d, e) {
    x = KEY(d); y = KEY(e);
    if
    :: x < y ->
        swap(P(d, 0), P(e, 0)); swap(P(d, 1), P(e, 1));
        swap(U(d, 0), U(e, 0)); swap(U(d, 1), U(e, 1));
        swap(AGE(d, 0), AGE(e, 0)); swap(AGE(d, 1), AGE(e, 1));
#ifdef LEASE_FROM_RECEIPT
        swap(under_way[(d) * 2], under_way[(e) * 2]);
        swap(under_way[(d) * 2 + 1], under_way[(e) * 2 + 1]);
#endif
#ifdef NO_RESTART_WAIT
        swap(forgot[d], forgot[e]);
#endif
        swap(blocked[d], blocked[e])
    :: else -> skip
    fi;
    x = 0; y = 0
}

inline order_slots(one, other) {
    if
    :: one < other -> x = one; one = other; other = x
    :: else -> skip
    fi;
    x = 0
}

inline canonical() {
    order(0, 1); order(1, 2); order(0, 1);
    order_slots(mine[0], mine[1]); order_slots(mine[2], mine[3]);
    order_slots(lost[0], lost[1]); order_slots(lost[2], lost[3])
}

/* Slots that an arbiter with s supporters may eject; see budget.hpp. */
#define PERMITTED (s >= N -> BUDGET : \
    (2 * s > N -> (BUDGET * s + N - 1) / N : (BUDGET * s) / N))

inline tick() {
    i = 0;
    do
    :: i < N ->
        down(blocked[i]);
        a = 0;
        do
        :: a < 2 ->
            down(P(i, a));
            if
            :: U(i, a) > 0 ->
                U(i, a)--;
                if
                :: U(i, a) == 0 -> AGE(i, a) = 0
                :: U(i, a) > 0 && AGE(i, a) < UNBROKEN -> AGE(i, a)++
                :: else -> skip
                fi
            :: else -> skip
            fi;
            a++
        :: else -> break
        od;
        i++
    :: else -> break
    od;
    k = 0;
    do
    :: k < 2 * BUDGET -> down(mine[k]); down(lost[k]); k++
    :: else -> break
    od;
    i = 0; a = 0; k = 0
}

inline check() {
    s = 0; k = 0;
    do
    :: k < 2 * BUDGET ->
        s = s + (mine[k] > 0 -> 1 : 0) + (lost[k] > 0 -> 1 : 0); k++
    :: else -> break
    od;
    assert(s <= BUDGET);
    s = 0; k = 0
}

active proctype fleet() {
#ifndef NO_RESTART_WAIT
    blocked[0] = LEASE; blocked[1] = LEASE; blocked[2] = LEASE;
#endif
    do
    :: d_step { tick(); canonical() }
    :: atomic { /* a daemon promises or renews its support */
        select(i : 0 .. N - 1); select(a : 0 .. 1);
        if
#ifdef NO_RESTART_WAIT
        :: P(i, 1 - a) == 0 || forgot[i] ->
            forgot[i] = false;
#else
        :: blocked[i] == 0 && P(i, 1 - a) == 0 ->
#endif
#ifdef LEASE_FROM_RECEIPT
            under_way[i * 2 + a] = true;
#endif
            P(i, a) = LEASE
        :: else -> skip
        fi;
        skip;
        d_step { i = 0; a = 0; canonical() } }
    :: atomic { /* a report of a daemon arrives */
        select(i : 0 .. N - 1); select(a : 0 .. 1);
        if
#ifdef LEASE_FROM_RECEIPT
        :: under_way[i * 2 + a] -> U(i, a) = LEASE
#else
        :: P(i, a) > U(i, a) -> U(i, a) = P(i, a)
#endif
        :: else -> skip
        fi;
        skip;
        d_step { i = 0; a = 0; canonical() } }
    :: atomic { /* an arbiter computes a table: renews some, adds some */
        select(a : 0 .. 1);
        skip;
        d_step { count_supporters(a); s = PERMITTED };
        /* Slots in use come first, then new ones, up to the permit. */
        k = 0;
        do
        :: k < BUDGET && mine[a * BUDGET + k] > 0 && s > 0 ->
            if
            :: mine[a * BUDGET + k] = VALID
            :: skip
            fi;
            s--; k++
        :: k < BUDGET && mine[a * BUDGET + k] > 0 && s == 0 -> k++
        :: k < BUDGET && mine[a * BUDGET + k] == 0 -> k++
        :: else -> break
        od;
        k = 0;
        do
        :: k < BUDGET && mine[a * BUDGET + k] == 0 && s > 0 ->
            mine[a * BUDGET + k] = VALID; s--; k++
        :: k < BUDGET && (mine[a * BUDGET + k] > 0 || s == 0) -> k++
        :: k >= BUDGET || s == 0 -> break
        od;
        skip;
        d_step { a = 0; k = 0; s = 0; check(); canonical() } }
    :: atomic { /* a daemon restarts and forgets its promise */
        select(i : 0 .. N - 1);
#ifdef NO_RESTART_WAIT
        forgot[i] = true;
#else
        blocked[i] = LEASE;
#endif
        skip;
        d_step { i = 0; canonical() } }
    :: atomic { /* an arbiter restarts and forgets grants and supporters */
        select(a : 0 .. 1);
        skip;
        d_step {
            k = 0;
            do
            :: k < BUDGET ->
                if
                :: mine[a * BUDGET + k] > lost[a * BUDGET + k] ->
                    lost[a * BUDGET + k] = mine[a * BUDGET + k]
                :: else -> skip
                fi;
                mine[a * BUDGET + k] = 0; k++
            :: else -> break
            od;
            i = 0;
            do
            :: i < N -> U(i, a) = 0; AGE(i, a) = 0; i++
            :: else -> break
            od;
            i = 0; k = 0; a = 0; canonical()
        } }
    od
}
