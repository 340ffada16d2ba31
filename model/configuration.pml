/* Commit of configuration changes by three control members.
 *
 * Two operators submit one change each, both with the same expected revision,
 * and resubmit it if the reply is lost. Any member may be isolated and return
 * with outdated state, or crash and restart. One member may lose its disk.
 *
 * Links lose, repeat and reorder messages: a message that was sent can be
 * delivered at any later time, many times or never. A leader's log only grows
 * within its term, so a message of term t carries any prefix of tlog[t].
 *
 * Each macro disables one guard:
 *   NO_PERSIST          votes and acknowledgements are sent before they are on
 *                       the disk
 *   NO_LOG_CHECK        a voter does not check the candidate's log
 *   NO_TERM_CHECK       a leader commits entries of earlier terms once a
 *                       majority has them
 *   NO_RECOVERY         a member that lost its disk votes and counts for a
 *                       quorum immediately
 *   NO_CHANGE_MEMORY    a resubmitted change is evaluated again
 *   NO_EXPECTED_CHECK   the expected revision is not compared
 *   NO_REVISION_GUARD   a host accepts an older revision
 */

#define N 3
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 3
#endif
#ifndef MAXSENDS
#define MAXSENDS 2
#endif
#ifndef MAXCRASHES
#define MAXCRASHES 1
#endif
#ifndef MAXLOSSES
#define MAXLOSSES 1
#endif

#define NONE 3
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is its term times four plus its kind: 1 and 2 are the operators'
 * changes, 3 readmits the member that lost its disk. */
#define READMIT 3
#define KIND(e) ((e) % 4)
#define TERM(e) ((e) / 4)
#define AT(i, x) log[(i) * MAXLOG + (x)]
#define SENT(t, x) tlog[(t) * MAXLOG + (x)]
#define LASTTERM(i) (size[i] == 0 -> 0 : TERM(AT(i, size[i] - 1)))
#define QUORUM(b) ((b) == 3 || (b) >= 5)

/* Unused slots of a log are zero. */
#if MAXLOG == 1
#define READMITS(i) (KIND(AT(i, 0)) == READMIT)
#elif MAXLOG == 2
#define READMITS(i) (KIND(AT(i, 0)) == READMIT || KIND(AT(i, 1)) == READMIT)
#else
#define READMITS(i) (KIND(AT(i, 0)) == READMIT || KIND(AT(i, 1)) == READMIT || \
                     KIND(AT(i, 2)) == READMIT)
#endif

#define ACCEPTED 1
#define REFUSED 2

byte term[N], voted[N], role[N], votes[N], size[N], commitIndex[N];
byte log[N * MAXLOG];
bool recovering[N], secondLife[N]; /* secondLife: since the loss of its disk */

/* Log that the leader of each term has sent, and acknowledged lengths. */
byte tleader[MAXTERM + 1], tlen[MAXTERM + 1], tcommit[MAXTERM + 1];
byte tlog[(MAXTERM + 1) * MAXLOG];
byte acks[(MAXTERM + 1) * N];     /* by the initial incarnation of a disk */
byte newAcks[MAXTERM + 1];        /* by the incarnation after a disk loss */
byte lost = NONE, crashes, losses;

#ifdef NO_PERSIST
byte dterm[N], dvoted[N], dlen[N];
byte dlog[N * MAXLOG];
#endif

/* State visible to operators and hosts. */
byte committed[MAXLOG], committedLen;
byte sends[3], answer[3], hostRevision;

/* Temporaries within one step. */
hidden byte x, y, count, ans, revision, remembered[3];
hidden byte flag;

/* Applies the first n entries of member m. Sets revision to the revision in
 * force and ans to the result of the last entry. */
inline replay(m, n) {
  revision = 0;
  ans = 0;
  remembered[1] = 0;
  remembered[2] = 0;
  x = 0;
  do
  :: x < n ->
     y = KIND(AT(m, x));
     ans = 0;
     if
     :: y == READMIT -> skip
     :: else ->
        if
#ifndef NO_CHANGE_MEMORY
        :: remembered[y] != 0 -> ans = remembered[y]
        :: remembered[y] == 0 &&
#else
        ::
#endif
#ifdef NO_EXPECTED_CHECK
           true -> ans = ACCEPTED; revision++
#else
           revision == 0 -> ans = ACCEPTED; revision++
        :: else -> ans = REFUSED
#endif
        fi;
        remembered[y] = ans
     fi;
     x++
  :: else -> break
  od;
  y = 0
}

inline forgetDurable(m) {
#ifdef NO_PERSIST
  term[m] = dterm[m];
  voted[m] = dvoted[m];
  size[m] = dlen[m];
  x = 0;
  do
  :: x < MAXLOG -> AT(m, x) = dlog[m * MAXLOG + x]; x++
  :: else -> break
  od
#else
  skip
#endif
}

inline append(m, e) {
  AT(m, size[m]) = e;
  SENT(term[m], size[m]) = e;
  size[m] = size[m] + 1;
  tlen[term[m]] = size[m];
  acks[term[m] * N + m] = size[m];
  if
  :: m == lost && secondLife[m] -> newAcks[term[m]] = size[m]
  :: else
  fi
}

/* Member m accepts the first p entries that the leader of term t has sent. */
inline takeEntries(m, t, p) {
  x = 0;
  flag = 0;
  do
  :: x < p ->
     if
     :: x < size[m] && AT(m, x) == SENT(t, x) -> skip
     :: else ->
        AT(m, x) = SENT(t, x);
        flag = 1
     fi;
     x++
  :: else -> break
  od;
  if
  :: flag -> /* a conflicting entry and all after it are removed */
     size[m] = p;
     do
     :: x < MAXLOG -> AT(m, x) = 0; x++
     :: else -> break
     od
  :: else
  fi;
  flag = 0
}

/* Leader m commits its first n entries if a quorum has them. */
inline tryCommit(m, n) {
  count = 0;
  x = 0;
  do
  :: x < N ->
     if
     :: x == m -> count++
     :: x != m && x == lost && READMITS(m) -> count = count + (newAcks[term[m]] >= n)
     :: else -> count = count + (acks[term[m] * N + x] >= n)
     fi;
     x++
  :: else -> break
  od;
  if
  :: count >= 2 ->
     x = 0;
     do
     :: x < n ->
        if
        :: x < committedLen -> assert(committed[x] == AT(m, x))
        :: else -> committed[x] = AT(m, x); committedLen = x + 1
        fi;
        x++
     :: else -> break
     od;
     commitIndex[m] = n;
     tcommit[term[m]] = n;
     replay(m, n);
     x = KIND(AT(m, n - 1));
     if
     :: x == READMIT -> skip
     :: x != READMIT && answer[x] == 0 -> answer[x] = ans
     :: else -> assert(answer[x] == ans)
     fi;
     assert(!(answer[1] == ACCEPTED && answer[2] == ACCEPTED))
  :: else
  fi;
  x = 0;
  count = 0
}

/* A recovering member takes part again once its readmission is committed. */
inline endRecovery(m) {
  x = 0;
  do
  :: x < commitIndex[m] ->
     if
     :: KIND(AT(m, x)) == READMIT -> recovering[m] = false
     :: else
     fi;
     x++
  :: else -> break
  od;
  x = 0
}

/* Member i votes for candidate j. A candidate counts the vote only if its own
 * log admits the incarnation of the voter's disk. */
#ifdef NO_LOG_CHECK
#define UPTODATE(j, i) true
#else
#define UPTODATE(j, i) (LASTTERM(j) > LASTTERM(i) || \
                        (LASTTERM(j) == LASTTERM(i) && size[j] >= size[i]))
#endif
#define MAYVOTE(i, j) (!recovering[i] && role[j] == CANDIDATE && \
  (term[j] > term[i] || (term[j] == term[i] && role[i] == FOLLOWER && \
                         (voted[i] == NONE || voted[i] == j))) && \
  UPTODATE(j, i))

inline vote(i, j) {
  term[i] = term[j];
  voted[i] = j;
  role[i] = FOLLOWER;
  if
  :: i != lost || READMITS(j) == secondLife[i] -> votes[j] = votes[j] | (1 << i)
  :: else
  fi
}

inline hearOfTerm(i, j) {
  term[i] = term[j];
  voted[i] = NONE;
  role[i] = FOLLOWER
}

inline propose(i, k) {
  sends[k] = sends[k] + 1;
  append(i, term[i] * 4 + k)
}

#define ARRIVES(i, t) (tleader[t] != NONE && tleader[t] != i && t >= term[i])

/* A prefix of the log of the leader of term t arrives at member i. */
inline receive(i, t) {
  p = tlen[t];
  do
  :: p > 0 -> p--
  :: break
  od;
  voted[i] = (t > term[i] -> NONE : voted[i]);
  term[i] = t;
  role[i] = FOLLOWER;
  takeEntries(i, t, p);
  if
  :: commitIndex[i] < p && commitIndex[i] < tcommit[t] ->
     commitIndex[i] = (p < tcommit[t] -> p : tcommit[t])
  :: else
  fi;
  endRecovery(i);
  if
  :: secondLife[i] && !recovering[i] && newAcks[t] < p -> newAcks[t] = p
  :: !secondLife[i] && acks[t * N + i] < p -> acks[t * N + i] = p
  :: else
  fi;
  p = 0
}

#ifdef NO_TERM_CHECK
#define MAYCOMMIT(i, n) (role[i] == LEADER && size[i] >= n && commitIndex[i] < n)
#else
#define MAYCOMMIT(i, n) (role[i] == LEADER && size[i] >= n && \
  commitIndex[i] < n && TERM(AT(i, n - 1)) == term[i])
#endif
#define NEXT ((i + 1) % N)
#define PREVIOUS ((i + 2) % N)
#define MAYPROPOSE(i, k) (role[i] == LEADER && size[i] < MAXLOG && \
                          sends[k] < MAXSENDS)

proctype Member(byte i) {
  byte p;
  do
  :: atomic { /* starts an election */
       role[i] != LEADER && !recovering[i] && term[i] < MAXTERM ->
       term[i] = term[i] + 1;
       voted[i] = i;
       role[i] = CANDIDATE;
       votes[i] = 1 << i
     }
  :: atomic { MAYVOTE(i, NEXT) -> vote(i, NEXT) }
  :: atomic { MAYVOTE(i, PREVIOUS) -> vote(i, PREVIOUS) }
  :: atomic { term[NEXT] > term[i] -> hearOfTerm(i, NEXT) }
  :: atomic { term[PREVIOUS] > term[i] -> hearOfTerm(i, PREVIOUS) }
  :: atomic { /* wins the election */
       role[i] == CANDIDATE && QUORUM(votes[i]) ->
       assert(tleader[term[i]] == NONE);
       role[i] = LEADER;
       tleader[term[i]] = i;
       tlen[term[i]] = size[i];
       acks[term[i] * N + i] = size[i];
       if
       :: i == lost && secondLife[i] -> newAcks[term[i]] = size[i]
       :: else
       fi;
       x = 0;
       do
       :: x < size[i] -> SENT(term[i], x) = AT(i, x); x++
       :: else -> break
       od;
       x = 0
     }
  :: atomic { MAYPROPOSE(i, 1) -> propose(i, 1) }
  :: atomic { MAYPROPOSE(i, 2) -> propose(i, 2) }
  :: atomic { /* readmits the member that lost its disk */
       role[i] == LEADER && size[i] < MAXLOG && lost != NONE && lost != i &&
       recovering[lost] && commitIndex[i] <= size[lost] && !READMITS(i) ->
       append(i, term[i] * 4 + READMIT)
     }
  :: atomic { ARRIVES(i, 1) -> receive(i, 1) }
  :: atomic { ARRIVES(i, 2) -> receive(i, 2) }
#if MAXTERM > 2
  :: atomic { ARRIVES(i, 3) -> receive(i, 3) }
#endif
#if MAXTERM > 3
  :: atomic { ARRIVES(i, 4) -> receive(i, 4) }
#endif
  :: atomic { MAYCOMMIT(i, 1) -> tryCommit(i, 1) }
#if MAXLOG > 1
  :: atomic { MAYCOMMIT(i, 2) -> tryCommit(i, 2) }
#endif
#if MAXLOG > 2
  :: atomic { MAYCOMMIT(i, 3) -> tryCommit(i, 3) }
#endif
  :: atomic { /* crashes and restarts */
       crashes < MAXCRASHES ->
       crashes++;
       role[i] = FOLLOWER;
       votes[i] = 0;
       commitIndex[i] = 0;
       forgetDurable(i);
       x = 0
     }
  :: atomic { /* loses its disk and restarts */
       losses < MAXLOSSES ->
       losses++;
       lost = i;
       term[i] = 0;
       voted[i] = NONE;
       role[i] = FOLLOWER;
       votes[i] = 0;
       size[i] = 0;
       commitIndex[i] = 0;
       x = 0;
       do
       :: x < MAXLOG -> AT(i, x) = 0; x++
       :: else -> break
       od;
       x = 0;
#ifdef NO_PERSIST
       dterm[i] = 0; dvoted[i] = NONE; dlen[i] = 0;
#endif
#ifndef NO_RECOVERY
       recovering[i] = true;
       secondLife[i] = true
#endif
     }
  :: atomic { /* a host receives the configuration from this member */
       replay(i, commitIndex[i]);
#ifdef NO_REVISION_GUARD
       assert(revision >= hostRevision);
#endif
       hostRevision = (revision > hostRevision -> revision : hostRevision)
     }
#ifdef NO_PERSIST
  :: atomic { /* the acknowledged state is written to the disk */
       dterm[i] != term[i] || dvoted[i] != voted[i] || dlen[i] != size[i] ->
       dterm[i] = term[i];
       dvoted[i] = voted[i];
       dlen[i] = size[i];
       x = 0;
       do
       :: x < MAXLOG -> dlog[i * MAXLOG + x] = AT(i, x); x++
       :: else -> break
       od;
       x = 0
     }
#endif
  od
}

init {
  atomic {
    x = 0;
    do
    :: x < N -> voted[x] = NONE; x++
    :: else -> break
    od;
    x = 0;
    do
    :: x <= MAXTERM -> tleader[x] = NONE; x++
    :: else -> break
    od;
#ifdef NO_PERSIST
    x = 0;
    do
    :: x < N -> dvoted[x] = NONE; x++
    :: else -> break
    od;
#endif
    x = 0;
    /* Member 0 leads term 1; it may be isolated from here on. */
    x = 0;
    do
    :: x < N -> term[x] = 1; voted[x] = 0; x++
    :: else -> break
    od;
#ifdef NO_PERSIST
    x = 0;
    do
    :: x < N -> dterm[x] = 1; dvoted[x] = 0; x++
    :: else -> break
    od;
#endif
    x = 0;
    role[0] = LEADER;
    tleader[1] = 0;
    run Member(0);
    run Member(1);
    run Member(2)
  }
}
