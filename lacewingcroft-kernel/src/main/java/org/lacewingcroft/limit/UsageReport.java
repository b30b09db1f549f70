package org.lacewingcroft.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Quota used by the callers of one or more entries since a counter was started. Amounts are totals
 * rather than increments, so that a report may be lost, repeated or delayed: the next one contains
 * it.
 *
 * @param region the region of the entries
 * @param counter identifies the counter; a counter that starts again from zero has another id
 * @param ageMillis time since the first report of the counter, higher in each one
 * @param entryCount number of entries whose current usage is contained
 * @param knownEntryCount number of entries whose usage has been contained recently, at least {@code
 *     entryCount}
 * @param totals units used, by organisation name; lacks organisations without recent usage
 * @param includedAgeMillis the age of the latest report contained, by the counter of an entry; only
 *     in reports to entries of the same region, and only what has changed
 */
public record UsageReport(
    String region,
    long counter,
    long ageMillis,
    int entryCount,
    int knownEntryCount,
    Map<String, Long> totals,
    Map<Long, Long> includedAgeMillis) {
  /** Copies the maps. */
  public UsageReport {
    totals = Map.copyOf(totals);
    includedAgeMillis = Map.copyOf(includedAgeMillis);
  }

  /** Returns this report without what only entries of its region need. */
  public UsageReport forOtherRegions() {
    return new UsageReport(
        region, counter, ageMillis, entryCount, knownEntryCount, totals, Map.of());
  }

  /** Returns a report that replaces this one and a later one of the same counter. */
  public UsageReport mergedWith(UsageReport later) {
    if (later.ageMillis <= ageMillis) {
      return this;
    }
    Map<String, Long> mergedTotals = new HashMap<>(totals);
    mergedTotals.putAll(later.totals);
    Map<Long, Long> mergedIncluded = new HashMap<>(includedAgeMillis);
    mergedIncluded.putAll(later.includedAgeMillis);
    return new UsageReport(
        region,
        counter,
        later.ageMillis,
        later.entryCount,
        later.knownEntryCount,
        mergedTotals,
        mergedIncluded);
  }
}
