/* Replacement of a voter by a newcomer with joint quorums.
 *
 * Members 0, 1 and 2 are the voters, member 3 takes the place of member 0. The
 * change takes two entries: the first one names both sets of voters, and from
 * then on a quorum of each is needed; the second one, once the first is
 * committed, names the new set only. One member may lose its disk at any time.
 * It neither votes nor counts from then on (its readmission is in
 * configuration.pml). Member 0 may be gone for good once the change is complete.
 *
 * A leader's log only grows within its term, so a message of its term carries
 * any prefix of it. A member that stands still is one that takes no step.
 *
 * Checked: committed entries are in the log of every later leader, a term has
 * one leader, and after the loss of one disk some member could be elected if all
 * others were back.
 *
 * Each macro disables one guard, or plays another plan:
 *   NO_OLD         the first entry needs a quorum of the new set only
 *   NO_NEW         the first entry needs a quorum of the old set only
 *   NO_WAIT        the second entry is appended before the first is committed
 *   NO_ADDED       the newcomer compares its log although it isn't a voter in it
 *   NO_LINGER      member 0 is gone before the change is complete
 *   DEMOTE_FIRST   the first entry only removes member 0, the second one adds
 *                  member 3 (the former plan)
 */

#define N 4
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 3
#endif

#define NONE 4
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is its term times four plus its kind. */
#define PLAIN 1
#define FIRST 2
#define SECOND 3
#define KIND(e) ((e) % 4)
#define TERM(e) ((e) / 4)
#define AT(i, x) log[(i) * MAXLOG + (x)]
#define LASTTERM(i) (size[i] == 0 -> 0 : TERM(AT(i, size[i] - 1)))

#define HAS(b, h) (((b) >> (h)) & 1)
#define OLDQUORUM(b) (HAS(b, 0) + HAS(b, 1) + HAS(b, 2) >= 2)
#define NEWQUORUM(b) (HAS(b, 1) + HAS(b, 2) + HAS(b, 3) >= 2)

#ifdef DEMOTE_FIRST
#define BETWEENQUORUM(b) (HAS(b, 1) + HAS(b, 2) >= 2)
#else
#ifdef NO_OLD
#define BETWEENQUORUM(b) NEWQUORUM(b)
#else
#ifdef NO_NEW
#define BETWEENQUORUM(b) OLDQUORUM(b)
#else
#define BETWEENQUORUM(b) (OLDQUORUM(b) && NEWQUORUM(b))
#endif
#endif
#endif

/* Step of the change in the log of member i: 0, FIRST or SECOND. */
#define QUORUM(i, b) \
  ((step[i] == 0 && OLDQUORUM(b)) || (step[i] == FIRST && BETWEENQUORUM(b)) || \
   (step[i] == SECOND && NEWQUORUM(b)))
/* A member that an uncommitted entry removes may be the only one that the others
 * can elect. */
#define ISVOTER(i) ((i) == 1 || (i) == 2 || ((i) == 3 && step[i] != 0) || \
                    ((i) == 0 && (step[i] != SECOND || \
                                  commitIndex[i] < stepAt[i])))
/* The answers of a member that its own log does not have as a voter have counted
 * for nothing, so what it holds is no reason to refuse a candidate that adds it. */
#ifdef NO_ADDED
#define ADDED(j, i) false
#else
#define ADDED(j, i) (step[j] == FIRST && (i) == 3 && step[i] == 0)
#endif
#define UPTODATE(j, i) (ADDED(j, i) || LASTTERM(j) > LASTTERM(i) || \
                        (LASTTERM(j) == LASTTERM(i) && size[j] >= size[i]))

/* Whether member j could be elected by all that have their disks. */
#define WOULDVOTE(i, j) (!blank[i] && UPTODATE(j, i))
#define SUPPORT(j) (WOULDVOTE(0, j) + 2 * WOULDVOTE(1, j) + \
                    4 * WOULDVOTE(2, j) + 8 * WOULDVOTE(3, j))
#define ELECTABLE(j) (!blank[j] && ISVOTER(j) && QUORUM(j, SUPPORT(j)))

byte term[N], voted[N], role[N], votes[N], size[N], commitIndex[N], step[N];
byte stepAt[N]; /* length of the log up to the step */
byte log[N * MAXLOG];
bool blank[N], lost;
byte leaderOf[MAXTERM + 1], acks[(MAXTERM + 1) * N];
byte committed[MAXLOG], committedLen;
hidden byte x;

inline findStep(i) {
  step[i] = 0;
  stepAt[i] = 0;
  x = 0;
  do
  :: x < size[i] ->
     if
     :: KIND(AT(i, x)) > PLAIN -> step[i] = KIND(AT(i, x)); stepAt[i] = x + 1
     :: else
     fi;
     x++
  :: else -> break
  od;
  x = 0
}

inline append(i, k) {
  AT(i, size[i]) = term[i] * 4 + k;
  size[i] = size[i] + 1;
  acks[term[i] * N + i] = size[i];
  findStep(i)
}

/* Member i takes the first p entries of leader l. */
inline take(i, l, p) {
  x = 0;
  do
  :: x < p && x < size[i] && AT(i, x) == AT(l, x) -> x++
  :: else -> break
  od;
  if
  :: x < p -> /* entries are missing, or conflict */
     do
     :: x < p -> AT(i, x) = AT(l, x); x++
     :: else -> break
     od;
     size[i] = p;
     do
     :: x < MAXLOG -> AT(i, x) = 0; x++
     :: else -> break
     od
  :: else
  fi;
  findStep(i)
}

inline hear(i, l) {
  voted[i] = (term[l] > term[i] -> NONE : voted[i]);
  term[i] = term[l];
  role[i] = FOLLOWER;
  p = size[l];
  do
  :: p > 0 -> p--
  :: break
  od;
  take(i, l, p);
  if
  :: acks[term[i] * N + i] < p -> acks[term[i] * N + i] = p
  :: else
  fi;
  p = 0
}

#define ACKED(t, i, n) (acks[(t) * N + (i)] >= (n))
#define ACKS(t, n) (ACKED(t, 0, n) + 2 * ACKED(t, 1, n) + 4 * ACKED(t, 2, n) + \
                    8 * ACKED(t, 3, n))

inline commit(i, n) {
  x = 0;
  do
  :: x < n ->
     if
     :: x < committedLen -> assert(committed[x] == AT(i, x))
     :: else -> committed[x] = AT(i, x); committedLen = x + 1
     fi;
     x++
  :: else -> break
  od;
  commitIndex[i] = n;
  x = 0
}

#define MAYVOTE(i, j) (i != j && !blank[i] && role[j] == CANDIDATE && \
  (term[j] > term[i] || (term[j] == term[i] && role[i] == FOLLOWER && \
                         (voted[i] == NONE || voted[i] == j))) && \
  UPTODATE(j, i))
#define ARRIVES(i, l) (i != l && !blank[i] && role[l] == LEADER && \
                       term[l] >= term[i])
#define MAYCOMMIT(i, n) (role[i] == LEADER && size[i] >= n && \
  commitIndex[i] < n && TERM(AT(i, n - 1)) == term[i] && \
  QUORUM(i, ACKS(term[i], n)))
#ifdef NO_WAIT
#define FIRSTCOMMITTED(i) true
#else
#define FIRSTCOMMITTED(i) (commitIndex[i] == size[i] && size[i] > 0 && \
                           TERM(AT(i, size[i] - 1)) == term[i])
#endif

inline vote(i, j) {
  term[i] = term[j];
  voted[i] = j;
  role[i] = FOLLOWER;
  votes[j] = votes[j] | (1 << i)
}

proctype Member(byte i) {
  byte p;
end:
  do
  :: atomic { /* starts an election */
       role[i] != LEADER && !blank[i] && ISVOTER(i) && term[i] < MAXTERM ->
       term[i] = term[i] + 1;
       voted[i] = i;
       role[i] = CANDIDATE;
       votes[i] = 1 << i
     }
  :: atomic { MAYVOTE(i, 0) -> vote(i, 0) }
  :: atomic { MAYVOTE(i, 1) -> vote(i, 1) }
  :: atomic { MAYVOTE(i, 2) -> vote(i, 2) }
  :: atomic { MAYVOTE(i, 3) -> vote(i, 3) }
  :: atomic { ARRIVES(i, 0) -> hear(i, 0) }
  :: atomic { ARRIVES(i, 1) -> hear(i, 1) }
  :: atomic { ARRIVES(i, 2) -> hear(i, 2) }
  :: atomic { ARRIVES(i, 3) -> hear(i, 3) }
  :: atomic { /* wins the election */
       role[i] == CANDIDATE && !blank[i] && QUORUM(i, votes[i]) ->
       assert(leaderOf[term[i]] == NONE);
       leaderOf[term[i]] = i;
       role[i] = LEADER;
       acks[term[i] * N + i] = size[i];
       x = 0;
       do
       :: x < committedLen -> assert(x < size[i] && AT(i, x) == committed[x]); x++
       :: else -> break
       od;
       x = 0
     }
  :: atomic { role[i] == LEADER && size[i] < MAXLOG && step[i] == 0 ->
              append(i, FIRST) }
  :: atomic { role[i] == LEADER && size[i] < MAXLOG && step[i] == FIRST &&
              FIRSTCOMMITTED(i) -> append(i, SECOND) }
  :: atomic { role[i] == LEADER && size[i] < MAXLOG && LASTTERM(i) != term[i] ->
              append(i, PLAIN) }
  :: atomic { MAYCOMMIT(i, 1) -> commit(i, 1) }
  :: atomic { MAYCOMMIT(i, 2) -> commit(i, 2) }
#if MAXLOG > 2
  :: atomic { MAYCOMMIT(i, 3) -> commit(i, 3) }
#endif
  :: atomic { /* loses its disk */
       !lost && !blank[i] ->
       lost = true;
       blank[i] = true;
       role[i] = FOLLOWER;
       votes[i] = 0;
       size[i] = 0;
       commitIndex[i] = 0;
       step[i] = 0;
       stepAt[i] = 0;
       x = 0;
       do
       :: x < MAXLOG -> AT(i, x) = 0; x++
       :: else -> break
       od;
       x = 0
     }
  od
}

/* Member 0 ends for good, once it knows that the change is complete. */
proctype End() {
end:
  atomic {
#ifdef NO_LINGER
    committedLen > 0 && KIND(committed[committedLen - 1]) == FIRST ->
#else
    committedLen > 0 && KIND(committed[committedLen - 1]) == SECOND ->
#endif
    if
    :: !blank[0] -> blank[0] = true; role[0] = FOLLOWER; votes[0] = 0
    :: else
    fi
  }
}

proctype Monitor() {
end:
  atomic {
    lost -> assert(ELECTABLE(0) || ELECTABLE(1) || ELECTABLE(2) || ELECTABLE(3))
  }
}

init {
  atomic {
    x = 0;
    do
    :: x < N -> voted[x] = NONE; term[x] = 1; x++
    :: else -> break
    od;
    x = 0;
    do
    :: x <= MAXTERM -> leaderOf[x] = NONE; x++
    :: else -> break
    od;
    x = 0;
    /* Member 1 leads term 1, by the votes of all voters. */
    voted[0] = 1;
    voted[1] = 1;
    voted[2] = 1;
    role[1] = LEADER;
    leaderOf[1] = 1;
    run Member(0);
    run Member(1);
    run Member(2);
    run Member(3);
    run End();
    run Monitor()
  }
}
