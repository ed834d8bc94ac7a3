/* Configuration spread among N daemons.
 *
 * Digests of every revision that was ever announced may arrive at any daemon
 * at any time, any number of times, or never: this covers loss, duplication
 * and reordering. Daemons restart without memory, the store fails and comes
 * back, and a fetch takes time in which everything else may happen.
 *
 * Safety: within one incarnation the revision in force never falls, and a
 * ready daemon has a configuration.
 * Progress: after the faults, one round in which each daemon exchanges
 * digests with each other one brings the highest revision to all of them,
 * even when the store stays down.
 *
 * -DAPPLY_ANY_REVISION: a fetched revision is applied without comparing it
 * with the one in force. -DNO_DIGESTS: the last round has announcements of
 * new revisions only.
 */
#define N 3
#define REVISIONS 3
#ifdef APPLY_ANY_REVISION
#define NEWER(number, other) (number != other)
#else
#define NEWER(number, other) (number > other)
#endif

byte head = 0;            /* last accepted revision */
bool store_up = true;
byte in_force[N];         /* 0: nothing */
byte fetching[N];         /* 0: nothing */
bool ready[N];
bool announced[REVISIONS + 1];
bool met[N * N];          /* pairs that exchanged digests in the last round */
byte i, j, r;

inline apply(daemon, number) {
    if
    :: !NEWER(number, in_force[daemon]) -> skip
    :: else ->
        assert(number >= in_force[daemon]);
        in_force[daemon] = number;
        announced[number] = true
    fi
}

/* A peer or the store can supply the chunks of a revision. */
#define PEER_HAS(number) (in_force[0] == number || in_force[1] == number || \
                          in_force[2] == number)
#define AVAILABLE(number) (store_up || PEER_HAS(number))

inline clear() { i = 0; j = 0; r = 0 }

active proctype fleet() {
    /* Faults. */
    do
    :: atomic { store_up && head < REVISIONS -> head++ }
    :: atomic { store_up = !store_up }
    :: atomic { /* a watcher reads the head: daemon 0 */
        store_up && head > 0 && fetching[0] == 0 -> fetching[0] = head }
    :: atomic { /* a digest arrives */
        select(i : 0 .. N - 1); select(r : 1 .. REVISIONS);
        if
        :: announced[r] && fetching[i] == 0 && NEWER(r, in_force[i]) ->
            fetching[i] = r
        :: else -> skip
        fi; clear() }
    :: atomic { /* a fetch ends, with or without success */
        select(i : 0 .. N - 1);
        if
        :: fetching[i] > 0 && AVAILABLE(fetching[i]) ->
            apply(i, fetching[i]); fetching[i] = 0
        :: fetching[i] > 0 -> fetching[i] = 0
        :: else -> skip
        fi; clear() }
    :: atomic { /* a daemon becomes ready */
        select(i : 0 .. N - 1);
        if
        :: in_force[i] > 0 && ((store_up && in_force[i] >= head) ||
            (!store_up && in_force[i] >= in_force[0] &&
             in_force[i] >= in_force[1] && in_force[i] >= in_force[2])) ->
            ready[i] = true
        :: else -> skip
        fi;
        assert(!ready[i] || in_force[i] > 0); clear() }
    :: atomic { /* a daemon restarts with nothing */
        select(i : 0 .. N - 1);
        in_force[i] = 0; fetching[i] = 0; ready[i] = false; clear() }
    :: break
    od;

    /* The faults end; running fetches end too. */
    skip;
    d_step {
        fetching[0] = 0; fetching[1] = 0; fetching[2] = 0;
        if
        :: store_up && head > 0 -> in_force[0] = head
        :: else -> skip
        fi;
        r = 0; i = 0;
        do
        :: i < N -> r = (in_force[i] > r -> in_force[i] : r); i++
        :: else -> break
        od;
        i = 0
    }
#ifndef NO_DIGESTS
    /* One round of pings in any order; the ping and its ack carry digests. */
    do
    :: atomic {
        select(i : 0 .. N - 1); select(j : 0 .. N - 1);
        if
        :: i != j && !met[i * N + j] ->
            met[i * N + j] = true;
            if
            :: in_force[j] > in_force[i] -> in_force[i] = in_force[j]
            :: in_force[i] > in_force[j] -> in_force[j] = in_force[i]
            :: else -> skip
            fi
        :: else -> skip
        fi; i = 0; j = 0 }
    :: met[1] && met[2] && met[3] && met[5] && met[6] && met[7] -> break
    od;
#endif
    assert(in_force[0] == r && in_force[1] == r && in_force[2] == r)
}
