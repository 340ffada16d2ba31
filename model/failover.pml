/*
 * Change of a group's primary: fence, end of the grants, reads, choice,
 * promotion and confirmation. The control leader may be replaced at any time.
 *
 * Each step of the loop is atomic. A step that models a delivery may happen at
 * any later time, many times or never, which models lost, repeated and
 * reordered messages. A write that a holder sent may reach any target that
 * considers itself the primary at the time of arrival.
 *
 * Checked: no write is acknowledged after a later term was chosen, and each
 * acknowledged write is in the log of every primary that is confirmed later.
 *
 * SPLIT_READS lets the leader read targets at different times, SPLIT_SYNC lets
 * a target receive log before it syncs it; without them each is one step.
 *
 * Each macro disables one guard; SPIN then finds a violation:
 *   NO_WAIT      the leader does not wait for the grants to end
 *   NO_READAFTER the leader uses reads from before the end of the grants
 *   NO_WRITTEN   targets are ranked by the term that they adopted
 *   NO_REBUILT   a target that returned without its data is included in
 *                majorities
 *   NO_SYNCED    log that a target received is regarded as synced
 *   NO_MAJORITY  one target that responds is enough for a choice
 *   NO_SAFE      any target of a majority that was read may be chosen
 *   NO_LEASE     a holder ignores the end of its lease
 *   NO_ASSUME    a new leader does not assume grants of its predecessor
 *   NO_CHECK     a chosen target that returned without its data is promoted
 *   NO_ACKMAJOR  the primary alone is enough for an acknowledgement
 */
#ifndef MAXLEN
#define MAXLEN 2
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef BLANKS
#define BLANKS 1
#endif
#ifndef REPLACES
#define REPLACES 1
#endif
#define TARGETS 3
#define TERMS 4 /* MAXTERM + 1 */

#ifdef NO_WAIT
#define IGNORE_GRANTS true
#else
#define IGNORE_GRANTS false
#endif

#define ENTRY(t, k) entry[(t) * MAXLEN + (k)]

/* Targets. The log contains the term of each entry. */
byte entry[TARGETS * MAXLEN];
byte size[TARGETS];
byte synced[TARGETS];
byte adopted[TARGETS];
bool leads[TARGETS];
bool up[TARGETS];
bool rebuilt[TARGETS]; /* lost its data; left out of majorities */

/* State decided in the replicated log of the control members. */
byte term = 1;
byte primary = 0;
byte chosen = 1; /* last term chosen; confirmed when equal to term */
byte chosenTarget = 0;
bool fenced = false;
byte start[TERMS];
byte parent[TERMS];
bool confirmed[TERMS];

/* Grants by term: in use by the holder; lease expired; known to the leader to
 * have ended. */
bool holds[TERMS];
bool leaseOver[TERMS];
bool ended[TERMS];

/* Results of the leader's reads. */
bool hasRead[TARGETS];
byte readAdopted[TARGETS];
byte readOffset[TARGETS];
bool readRebuilt[TARGETS];
bool readLeads[TARGETS];
bool onLine[TERMS]; /* the term is in the lineage of the primary's log */

/* Offset after the last acknowledged write of each term. */
byte acked[TERMS];

byte crashes = 0;
byte blanks = 0;
byte replaces = 0;

/* Temporaries. */
byte i, j, k, t, best, bestTerm, bestOffset, rank, votes;
bool prefix, found, usable;
byte ranks[TARGETS];
bool usables[TARGETS];

inline ClearReads()
{
  for (k : 0 .. TARGETS - 1) {
    hasRead[k] = false;
    readAdopted[k] = 0;
    readOffset[k] = 0;
    readRebuilt[k] = false;
    readLeads[k] = false
  }
  k = 0
}

#include "failoverlogs.pml"

inline CheckAcknowledged(aTarget)
{
  for (t : 1 .. MAXTERM) {
    assert(acked[t] == 0 ||
           (size[aTarget] >= acked[t] && ENTRY(aTarget, acked[t] - 1) == t))
  }
  t = 0
}

inline PickTarget(aVariable)
{
  if
  :: aVariable = 0
  :: aVariable = 1
  :: aVariable = 2
  fi
}

inline Append()
{
  PickTarget(i);
  if
  :: up[i] && leads[i] && size[i] < MAXLEN ->
     ENTRY(i, size[i]) = adopted[i];
     size[i]++;
     synced[i] = size[i]
  :: else
  fi
}

inline Follow()
{
  PickTarget(i);
  PickTarget(j);
  if
  :: i != j && up[i] && up[j] && leads[j] && adopted[j] > adopted[i] ->
     IsPrefix(i, j);
     if
     :: prefix -> adopted[i] = adopted[j]; leads[i] = false
     :: !prefix -> skip /* the target refuses to follow */
     :: !prefix -> /* the target rewinds by one entry */
        size[i]--;
        ENTRY(i, size[i]) = 0;
        if
        :: synced[i] > size[i] -> synced[i] = size[i]
        :: else
        fi
     fi
  :: i != j && up[i] && up[j] && leads[j] && !leads[i] &&
     adopted[j] == adopted[i] && size[i] < size[j] ->
     IsPrefix(i, j);
     if
     :: prefix ->
        ENTRY(i, size[i]) = ENTRY(j, size[i]);
        size[i]++;
#ifndef SPLIT_SYNC
        synced[i] = size[i]
#endif
     :: else
     fi
  :: else
  fi;
  prefix = false
}

inline Crash()
{
  PickTarget(i);
  if
  :: up[i] && crashes < CRASHES ->
     crashes++;
     up[i] = false;
     do
     :: size[i] > synced[i] -> size[i]--; ENTRY(i, size[i]) = 0
     :: else -> break
     od
  :: else
  fi
}

inline Return()
{
  PickTarget(i);
  if
  :: !up[i] -> up[i] = true
  :: !up[i] && blanks < BLANKS ->
     blanks++;
     up[i] = true;
     rebuilt[i] = true;
     leads[i] = false;
     adopted[i] = 1;
     do
     :: size[i] > 0 -> size[i]--; ENTRY(i, size[i]) = 0
     :: else -> break
     od;
     synced[i] = 0
  :: else
  fi
}

/* A rebuilt target is included in majorities again once it has caught up with a
 * live primary. */
inline Readmit()
{
  PickTarget(i);
  if
  :: up[i] && rebuilt[i] && !fenced && up[primary] && leads[primary] &&
     adopted[primary] == term && adopted[i] == term &&
     synced[i] >= size[primary] -> rebuilt[i] = false
  :: else
  fi
}

inline Acknowledge()
{
  t = 0;
  if
  :: holds[1] -> t = 1
  :: holds[2] -> t = 2
  :: holds[3] -> t = 3
  :: else
  fi;
  PickTarget(j);
#ifndef NO_LEASE
  skip;
  if
  :: t > 0 && leaseOver[t] -> t = 0
  :: else
  fi;
#endif
  /* The primary of the term, and a replica at or past the same offset. */
  PickTarget(i);
  if
  :: t > 0 && up[i] && leads[i] && adopted[i] == t && size[i] > start[t] &&
     ENTRY(i, size[i] - 1) == t ->
#ifdef NO_ACKMAJOR
     found = true;
#else
#ifdef NO_SYNCED
     found = i != j && up[j] && adopted[j] == t && size[j] >= size[i];
#else
     found = i != j && up[j] && adopted[j] == t && synced[j] >= size[i];
#endif
#ifndef NO_REBUILT
     found = found && !rebuilt[j];
#endif
#endif
     if
     :: found && acked[t] < size[i] ->
        acked[t] = size[i];
        assert(chosen <= t)
     :: else
     fi
  :: else
  fi;
  found = false;
  t = 0
}

/* The lease expires first at the holder, then at the leader. */
inline EndGrant()
{
  if
  :: holds[term] && fenced -> holds[term] = false; ended[term] = true
  :: !leaseOver[term] && fenced -> leaseOver[term] = true
  :: leaseOver[term] && fenced -> ended[term] = true
  :: else
  fi
}

inline ReplaceLeader()
{
  if
  :: replaces < REPLACES ->
     replaces++;
     ClearReads();
     /* The new leader waits for the longest lease again; it does not know of
      * earlier releases. */
#ifdef NO_ASSUME
     ended[term] = true
#else
     ended[term] = leaseOver[term]
#endif
  :: else
  fi
}

inline Read()
{
#ifdef NO_READAFTER
  found = fenced;
#else
  found = fenced && ended[term];
#endif
#ifdef NO_WAIT
  found = fenced;
#endif
  if
  :: !(found && up[i]) -> skip
  :: found && up[i] ->
     hasRead[i] = true;
     readAdopted[i] = adopted[i];
#ifdef NO_SYNCED
     readOffset[i] = size[i];
#else
     readOffset[i] = synced[i];
#endif
     readRebuilt[i] = rebuilt[i];
     readLeads[i] = leads[i]
#ifndef SPLIT_READS
  :: found && up[i] -> skip /* the target does not respond */
#endif
  fi;
  found = false
}

inline Choose()
{
  found = fenced && chosen < MAXTERM && (ended[term] || IGNORE_GRANTS);
  votes = 0;
  bestTerm = 0;
  bestOffset = 0;
  best = TARGETS;
#ifndef SPLIT_READS
  i = 0;
  Read();
  i = 1;
  Read();
  i = 2;
  Read();
  found = fenced && chosen < MAXTERM && (ended[term] || IGNORE_GRANTS);
#endif
  FindLineage();
  for (i : 0 .. TARGETS - 1) {
    RankOf(i);
    ranks[i] = rank;
    usables[i] = hasRead[i] && usable
  }
  /* Any candidate that ranks at least as high as a majority of targets, or the
   * current primary if it still leads its term, may be chosen. Which of them is
   * a preference that the model leaves open. */
  PickTarget(best);
  bestTerm = ranks[best];
  bestOffset = readOffset[best];
  for (i : 0 .. TARGETS - 1) {
    if
#ifdef NO_SAFE
    :: usables[i] && usables[best] -> votes++
#else
    :: usables[i] && usables[best] &&
       (ranks[i] < bestTerm ||
        (ranks[i] == bestTerm && readOffset[i] <= bestOffset)) -> votes++
#endif
    :: else
    fi
  }
  if
  :: usables[best] && best == primary && readLeads[best] &&
     readAdopted[best] == term -> votes = TARGETS
  :: else
  fi;
  if
#ifdef NO_MAJORITY
  :: found && votes >= 1 ->
#else
  :: found && votes >= 2 ->
#endif
     chosen++;
     chosenTarget = best;
     start[chosen] = bestOffset;
     parent[chosen] = bestTerm;
     ClearReads()
  :: else
#ifndef SPLIT_READS
     -> ClearReads()
#endif
  fi;
  found = false;
  usable = false;
  votes = 0;
  best = 0;
  bestTerm = 0;
  bestOffset = 0;
  rank = 0;
  for (i : 0 .. TARGETS - 1) {
    ranks[i] = 0;
    usables[i] = false
  }
  for (t : 0 .. MAXTERM) {
    onLine[t] = false
  }
  t = 0
}

inline Promote()
{
  i = chosenTarget;
  /* The conditions are checked on the connection that promotes. */
#ifdef NO_CHECK
  found = true;
#else
  found = !rebuilt[i] && synced[i] >= start[chosen];
#endif
  if
  :: found && chosen > term && up[i] && adopted[i] < chosen ->
     adopted[i] = chosen;
     leads[i] = true;
     synced[i] = size[i]
  :: else
  fi;
  found = false
}

inline Confirm()
{
  i = chosenTarget;
  if
  :: chosen > term && up[i] && leads[i] && adopted[i] == chosen &&
     !rebuilt[i] && synced[i] >= start[chosen] ->
     start[chosen] = synced[i];
     confirmed[chosen] = true;
     term = chosen;
     primary = i;
     fenced = false;
     ClearReads();
     CheckAcknowledged(i);
     holds[term] = true
  :: else
  fi
}

active proctype System()
{
  atomic {
    for (k : 0 .. TARGETS - 1) {
      up[k] = true;
      adopted[k] = 1
    }
    k = 0;
    leads[0] = true;
    confirmed[1] = true;
    holds[1] = true
  }
  do
  :: atomic { Append(); i = 0 }
  :: atomic { Follow(); i = 0; j = 0 }
#ifdef SPLIT_SYNC
  :: atomic { PickTarget(i); synced[i] = (up[i] -> size[i] : synced[i]); i = 0 }
#endif
  :: atomic { Crash(); i = 0 }
  :: atomic { Return(); i = 0 }
  :: atomic { Readmit(); i = 0 }
  :: atomic { Acknowledge(); i = 0; j = 0 }
  :: atomic { fenced = true }
  :: atomic { skip; EndGrant() }
  :: atomic { skip; ReplaceLeader() }
#ifdef SPLIT_READS
  :: atomic { PickTarget(i); Read(); i = 0 }
#endif
  :: atomic { Choose(); i = 0 }
  :: atomic { Promote(); i = 0 }
  :: atomic { Confirm(); i = 0 }
  od
}
