/*
 * Logs and their lineage. Included by failover.pml, which declares the
 * variables used here.
 */

inline IsPrefix(aShort, aLong)
{
  prefix = size[aShort] <= size[aLong];
  k = 0;
  do
  :: prefix && k < size[aShort] ->
     prefix = ENTRY(aShort, k) == ENTRY(aLong, k);
     k++
  :: else -> break
  od;
  k = 0
}

/* Finds the terms whose logs form the log of the current primary. */
inline FindLineage()
{
  for (t : 0 .. MAXTERM) {
    onLine[t] = false
  }
  t = term;
  do
  :: t > 0 -> onLine[t] = true; t = parent[t]
  :: else -> break
  od;
  t = 0
}

/* Finds the term that the log of a target belongs to when a primary is chosen,
 * and whether the target may be used for the choice. */
inline RankOf(aTarget)
{
#ifdef NO_WRITTEN
  rank = readAdopted[aTarget];
#else
  rank = 1;
  for (t : 2 .. MAXTERM) {
    if
    :: onLine[t] && t <= readAdopted[aTarget] &&
       start[t] < readOffset[aTarget] -> rank = t
    :: else
    fi
  }
#endif
  t = readAdopted[aTarget];
  usable = t > term || onLine[t] ||
           (confirmed[t] && readOffset[aTarget] <= start[t]);
  t = 0;
#ifndef NO_REBUILT
  usable = usable && !readRebuilt[aTarget];
#endif
}
