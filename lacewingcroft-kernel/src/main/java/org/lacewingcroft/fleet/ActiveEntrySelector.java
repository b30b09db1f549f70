package org.lacewingcroft.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntBiFunction;
import java.util.stream.Collectors;

/**
 * Selects the active entries of all regions from the entries' pressure reports, as one control
 * instance has received them.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class ActiveEntrySelector {
  private final Map<String, ReportedPressure> reports = new HashMap<>();
  private final Map<String, ActiveSet> regions = new TreeMap<>();

  /**
   * The active entries of a region.
   *
   * @param region the region
   * @param names their names
   * @param ready number of entries that accept requests
   * @param cause why the set is as it is
   */
  public record Selection(String region, Set<String> names, int ready, ActiveSet.Cause cause) {
    /** Returns whether some entries of the region are on standby. */
    public boolean hasStandbyEntries() {
      return names.size() < ready;
    }
  }

  /** Records a pressure report. */
  public void onReport(FleetMessage.PressureReport report, Instant now) {
    reports.put(report.entry(), new ReportedPressure(report.capacity(), report.pressure(), now));
  }

  /**
   * Returns the active entries by region.
   *
   * @param ready the entries of all regions that accept requests
   * @param maxInFlight returns how many requests one entry may have in flight, given its region and
   *     the number of entries there
   */
  public Map<String, Selection> select(
      List<EntryInfo> ready, ToIntBiFunction<String, Integer> maxInFlight, Instant now) {
    reports.values().removeIf(r -> !r.receivedAt().plus(ActiveSet.REPORT_RETENTION).isAfter(now));
    Map<String, List<EntryInfo>> byRegion =
        ready.stream().collect(Collectors.groupingBy(EntryInfo::region));
    // A region that has lost all of its entries keeps its state.
    Set<String> names = new LinkedHashSet<>(regions.keySet());
    names.addAll(byRegion.keySet());
    Map<String, Selection> selections = new TreeMap<>();
    for (String region : names) {
      List<ActiveSet.Member> members =
          byRegion.getOrDefault(region, List.of()).stream()
              .map(e -> new ActiveSet.Member(e, Optional.ofNullable(reports.get(e.name()))))
              .toList();
      ActiveSet.Decision decision =
          regions
              .computeIfAbsent(region, r -> new ActiveSet())
              .update(members, maxInFlight.applyAsInt(region, members.size()), now);
      selections.put(
          region, new Selection(region, decision.names(), members.size(), decision.cause()));
    }
    return selections;
  }
}
