/* Fences of the requests that successive control leaders send for a promotion.
 *
 * Any leader, also a replaced one, may send its request again at any time. A
 * request that was sent can arrive at any later time, many times or never. The
 * receiver carries out a request only if its fence is not below one that it has
 * seen.
 *
 * Checked: no two leaders use the same fence, and no request of a leader is
 * carried out after one of a later leader.
 *
 * The macro disables a guard:
 *   NO_OWN_FENCE   the fence is the log index of the choice only
 */
#ifndef MAXTERM
#define MAXTERM 4
#endif
#ifndef MAXINDEX
#define MAXINDEX 8
#endif

byte leader = 0;              /* term of the last leader elected */
byte last = 0;                /* index of the last committed entry */
byte choice = 0;              /* index of the last committed choice */
byte first[MAXTERM + 1];      /* index of each leader's first entry */
byte known[MAXTERM + 1];      /* last choice that each leader has applied */
byte holder[MAXINDEX + 1];    /* leader that has used each fence; 0 for none */
byte highest = 0;             /* fence that the receiver has seen */
byte carriedOut = 0;          /* leader whose request was carried out last */
byte t, fence;

inline PickLeader()
{
  t = 1;
  do
  :: t < leader -> t++
  :: break
  od
}

inline Request()
{
  PickLeader();
  if
  :: t <= leader && known[t] > 0 ->
     fence = known[t];
#ifndef NO_OWN_FENCE
     fence = (first[t] > fence -> first[t] : fence);
#endif
     assert(holder[fence] == 0 || holder[fence] == t);
     holder[fence] = t
  :: else
  fi
}

inline Arrive()
{
  fence = 1;
  do
  :: fence < MAXINDEX -> fence++
  :: break
  od;
  if
  :: holder[fence] > 0 && fence >= highest ->
     assert(holder[fence] >= carriedOut);
     highest = fence;
     carriedOut = holder[fence]
  :: else
  fi
}

active proctype System()
{
  do
  :: atomic {
       leader < MAXTERM && last < MAXINDEX ->
       leader++;
       last++;
       first[leader] = last;
       known[leader] = choice
     }
  :: atomic {
       leader > 0 && last < MAXINDEX ->
       last++;
       choice = last;
       if
       :: known[leader] = choice
       :: skip /* the leader is replaced before it learns of the commit */
       fi
     }
  :: atomic { Request(); t = 0; fence = 0 }
  :: atomic { Arrive(); fence = 0 }
  od
}
