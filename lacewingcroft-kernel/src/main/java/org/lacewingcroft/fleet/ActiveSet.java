package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Decides which entries of one region are active, that is, which ones callers of the region are
 * directed to.
 *
 * <p>An entry with few requests runs mostly interpreted code and takes ten times the processor time
 * for each, and all entries with load exchange updates. A third of the entries with three times the
 * load each needs much less in total. Each change of the list makes callers open connections, so
 * the set grows in large steps and shrinks slowly.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class ActiveSet {
  /** Number of entries up to which all entries of a region are listed. */
  static final int MAX_UNRESTRICTED_ENTRIES = 8;

  /**
   * Time after which a pressure report counts as missing: six reports of an active entry, two at a
   * control instance of another region.
   */
  private static final Duration REPORT_TTL = Duration.ofSeconds(3);

  /**
   * Time for which the last report of an entry determines its place in the order. It is as long as
   * a control instance lists an entry that follows others, so that one late report does not change
   * the list.
   */
  static final Duration REPORT_RETENTION = Duration.ofSeconds(5);

  /**
   * Time for which the reports must have been complete before the list is restricted. A control
   * instance that has just started or resumed has no report of some entries before.
   */
  private static final Duration COMPLETE_REPORTS_TIME = Duration.ofSeconds(3);

  /** Interval between two updates above which this instance is assumed to have been suspended. */
  private static final Duration MAX_UPDATE_INTERVAL = Duration.ofSeconds(2);

  /** Share of the entries whose reports may be missing, for example during a rolling upgrade. */
  private static final double MAX_MISSING_REPORTS_SHARE = 0.25;

  /** Period in which the largest number of ready entries counts as the size of the region. */
  private static final Duration REGION_SIZE_RETENTION = Duration.ofMinutes(10);

  private static final double MIN_CAPACITY_SHARE = 1.0 / 3;
  private static final int MIN_ENTRIES_PER_DOMAIN = 2;

  /** Average share of the event loop or link above which the set grows. */
  private static final double GROWTH_AVERAGE = 0.5;

  /** Share of any resource of an entry above which the entry counts as overloaded. */
  private static final double OVERLOADED_ENTRY = 0.8;

  private static final double OVERLOADED_ENTRIES_SHARE = 0.25;
  private static final double GROWTH_FACTOR = 1.5;

  /**
   * Minimum interval between two growth steps, the time over which pressure is averaged. From a
   * third of the entries, all of them are active after three steps, within the 3 s in which a peak
   * rises.
   */
  private static final Duration GROWTH_INTERVAL = Duration.ofSeconds(1);

  /** Averages below which the set may shrink. */
  private static final double SHRINK_AVERAGE = 0.2;

  /** Time for which the averages must have been low before the set shrinks by one step. */
  private static final Duration SHRINK_DELAY = Duration.ofSeconds(15);

  /**
   * Share of the active capacity that the current load may use after a shrink step. It is below
   * {@link #GROWTH_AVERAGE}, so that a shrink step does not cause the next growth step.
   */
  private static final double TARGET_SHARE = 0.4;

  /** Share of the remaining capacity that the load may use after the loss of a failure domain. */
  private static final double TARGET_SHARE_AFTER_LOSS = 0.8;

  private int size;
  private boolean restricted;
  private int regionSize;
  private Instant regionSizeAt = Instant.EPOCH;
  private Instant lastUpdateAt = Instant.EPOCH;
  private Instant lastGrowthAt = Instant.EPOCH;
  private Optional<Instant> completeSince = Optional.empty();
  private Optional<Instant> lowSince = Optional.empty();

  /** Why the active set is as it is. */
  public enum Cause {
    /** The region has few entries. */
    SMALL_REGION,
    /** Pressure reports are missing, or this instance has received them for a short time only. */
    REPORTS_INCOMPLETE,
    /** The region has lost most of its entries. */
    MOST_ENTRIES_LOST,
    /** The smallest set that serves the reported load. */
    REPORTED_LOAD,
    /** Pressure exceeded a bound. */
    PRESSURE,
    /** Pressure has been low. */
    LOW_PRESSURE,
    /** An entry was added to, or removed from, the entries that accept requests. */
    ENTRIES_CHANGED
  }

  /**
   * An entry that accepts requests.
   *
   * @param info the entry
   * @param report its last pressure report, if any
   */
  public record Member(EntryInfo info, Optional<ReportedPressure> report) {
    private boolean hasReportedWithin(Duration age, Instant now) {
      return report.filter(r -> r.receivedAt().plus(age).isAfter(now)).isPresent();
    }
  }

  /**
   * The active entries.
   *
   * @param names their names
   * @param cause why the set is as it is
   */
  public record Decision(Set<String> names, Cause cause) {}

  /**
   * Updates the active set.
   *
   * @param ready the entries of the region that accept requests
   * @param maxInFlight how many requests one entry may have in flight at the region's endpoints; 0
   *     if unknown
   */
  public Decision update(List<Member> ready, int maxInFlight, Instant now) {
    boolean suspended = lastUpdateAt.plus(MAX_UPDATE_INTERVAL).isBefore(now);
    lastUpdateAt = now;
    updateRegionSize(ready.size(), now);
    updateCompleteSince(ready, suspended, now);
    Optional<Cause> unrestrictedCause = unrestrictedCause(ready.size(), now);
    if (unrestrictedCause.isPresent()) {
      lowSince = Optional.empty();
      restricted = false;
      return new Decision(names(ready), unrestrictedCause.get());
    }
    Region region =
        new Region(ready.stream().filter(m -> m.hasReportedWithin(REPORT_RETENTION, now)).toList());
    Cause cause = resize(region, maxInFlight, now);
    return new Decision(names(region.active(size)), cause);
  }

  private void updateRegionSize(int count, Instant now) {
    if (count >= regionSize || regionSizeAt.plus(REGION_SIZE_RETENTION).isBefore(now)) {
      regionSize = count;
      regionSizeAt = now;
    }
  }

  private void updateCompleteSince(List<Member> ready, boolean suspended, Instant now) {
    long missing = ready.stream().filter(m -> !m.hasReportedWithin(REPORT_TTL, now)).count();
    if (suspended || missing > ready.size() * MAX_MISSING_REPORTS_SHARE) {
      completeSince = Optional.empty();
    } else if (completeSince.isEmpty()) {
      completeSince = Optional.of(now);
    }
  }

  private Optional<Cause> unrestrictedCause(int count, Instant now) {
    if (count * 2 < regionSize) {
      return Optional.of(Cause.MOST_ENTRIES_LOST);
    }
    if (count <= MAX_UNRESTRICTED_ENTRIES) {
      return Optional.of(Cause.SMALL_REGION);
    }
    boolean complete =
        completeSince.filter(since -> !since.plus(COMPLETE_REPORTS_TIME).isAfter(now)).isPresent();
    return complete ? Optional.empty() : Optional.of(Cause.REPORTS_INCOMPLETE);
  }

  private Cause resize(Region region, int maxInFlight, Instant now) {
    int count = region.order.size();
    if (!restricted) {
      restricted = true;
      size = Math.max(size, region.sizeForLoad());
      return Cause.REPORTED_LOAD;
    }
    size = Math.min(Math.max(size, region.minSize()), count);
    List<Member> active = region.active(size);
    if (isHigh(active) || isNearInFlightLimit(active, maxInFlight)) {
      lowSince = Optional.empty();
      if (size < count && !lastGrowthAt.plus(GROWTH_INTERVAL).isAfter(now)) {
        int grown = Math.max((int) Math.ceil(size * GROWTH_FACTOR), region.sizeForLoad());
        size = Math.min(grown, count);
        lastGrowthAt = now;
        return Cause.PRESSURE;
      }
      return Cause.ENTRIES_CHANGED;
    }
    return shrinkIfLow(region, active, maxInFlight, now);
  }

  private Cause shrinkIfLow(Region region, List<Member> active, int maxInFlight, Instant now) {
    boolean manyInFlight =
        maxInFlight > 0 && averageInFlight(active) > maxInFlight * SHRINK_AVERAGE;
    if (manyInFlight || !isLow(active)) {
      lowSince = Optional.empty();
      return Cause.ENTRIES_CHANGED;
    }
    lowSince = lowSince.or(() -> Optional.of(now));
    if (lowSince.get().plus(SHRINK_DELAY).isAfter(now)) {
      return Cause.ENTRIES_CHANGED;
    }
    lowSince = Optional.of(now);
    size = Math.min(size, Math.max((int) Math.ceil(size / GROWTH_FACTOR), region.sizeForLoad()));
    return Cause.LOW_PRESSURE;
  }

  private static boolean isHigh(List<Member> active) {
    long overloaded =
        active.stream()
            .map(m -> m.report().orElseThrow())
            .filter(
                r ->
                    Math.max(
                            r.callerEventLoop(),
                            Math.max(r.pressure().link(), r.pressure().fileDescriptors()))
                        > OVERLOADED_ENTRY)
            .count();
    return average(active, ReportedPressure::callerEventLoop) > GROWTH_AVERAGE
        || average(active, r -> r.pressure().link()) > GROWTH_AVERAGE
        || overloaded >= active.size() * OVERLOADED_ENTRIES_SHARE;
  }

  /**
   * Returns whether the active entries may soon have as many requests in flight as their share of
   * the endpoints' connections permits. The shares of entries on standby are not available to them.
   */
  private static boolean isNearInFlightLimit(List<Member> active, int maxInFlight) {
    return maxInFlight > 0 && averageInFlight(active) > maxInFlight * GROWTH_AVERAGE;
  }

  private static double averageInFlight(List<Member> active) {
    return average(active, r -> r.pressure().inFlight());
  }

  private static boolean isLow(List<Member> active) {
    return average(active, ReportedPressure::callerEventLoop) < SHRINK_AVERAGE
        && average(active, r -> r.pressure().link()) < SHRINK_AVERAGE;
  }

  private static double average(List<Member> members, ToDoubleFunction<ReportedPressure> share) {
    return members.stream()
        .mapToDouble(m -> share.applyAsDouble(m.report().orElseThrow()))
        .average()
        .orElse(0);
  }

  private static Set<String> names(List<Member> members) {
    return members.stream().map(m -> m.info().name()).collect(Collectors.toUnmodifiableSet());
  }

  /** The entries of the region that have reported, in the order in which they become active. */
  private static final class Region {
    private final List<Member> order;
    private final BitSet firstOfDomains;
    private final double cores;
    private final double usedCores;
    private final double usedLink;

    private Region(List<Member> members) {
      Map<String, Member> byName = new HashMap<>();
      members.forEach(m -> byName.put(m.info().name(), m));
      this.order =
          EntryOrder.of(
                  members.stream()
                      .map(
                          m ->
                              new EntryOrder.Candidate(
                                  m.info(), m.report().orElseThrow().capacity()))
                      .toList())
              .stream()
              .map(c -> byName.get(c.info().name()))
              .toList();
      this.firstOfDomains = firstOfDomains(order);
      this.cores = sum(order, r -> r.capacity().cores());
      this.usedCores = sum(order, ReportedPressure::usedCores);
      this.usedLink = sum(order, ReportedPressure::usedLink);
    }

    /** Returns the first entries in order, and the first two of each failure domain. */
    private List<Member> active(int count) {
      List<Member> active = new ArrayList<>();
      for (int i = 0; i < order.size(); i++) {
        if (i < count || firstOfDomains.get(i)) {
          active.add(order.get(i));
        }
      }
      return active;
    }

    private static BitSet firstOfDomains(List<Member> order) {
      BitSet first = new BitSet();
      Map<String, Integer> perDomain = new HashMap<>();
      for (int i = 0; i < order.size(); i++) {
        String domain = order.get(i).info().failureDomain();
        first.set(i, perDomain.merge(domain, 1, Integer::sum) <= MIN_ENTRIES_PER_DOMAIN);
      }
      return first;
    }

    /** Returns the smallest size whose entries have the minimum share of the capacity. */
    private int minSize() {
      int count = 1;
      while (count < order.size()
          && sum(active(count), r -> r.capacity().cores()) < cores * MIN_CAPACITY_SHARE) {
        count++;
      }
      return count;
    }

    /** Returns the smallest size that serves the reported load. */
    private int sizeForLoad() {
      int count = minSize();
      while (count < order.size() && !serves(active(count))) {
        count++;
      }
      return count;
    }

    private boolean serves(List<Member> active) {
      return servesWithHeadroom(active, r -> r.capacity().cores(), usedCores)
          && servesWithHeadroom(active, r -> r.capacity().linkBytesPerSecond(), usedLink);
    }

    /**
     * Returns whether a load leaves headroom for a peak, and can be served after the loss of the
     * failure domain with the most active capacity.
     */
    private static boolean servesWithHeadroom(
        List<Member> active, ToDoubleFunction<ReportedPressure> capacityOf, double used) {
      Map<String, Double> byDomain = new HashMap<>();
      for (Member member : active) {
        byDomain.merge(
            member.info().failureDomain(),
            capacityOf.applyAsDouble(member.report().orElseThrow()),
            Double::sum);
      }
      double capacity = byDomain.values().stream().mapToDouble(c -> c).sum();
      double largest = byDomain.values().stream().mapToDouble(c -> c).max().orElse(0);
      boolean survivesLoss =
          byDomain.size() < 2 || used <= TARGET_SHARE_AFTER_LOSS * (capacity - largest);
      return used <= TARGET_SHARE * capacity && survivesLoss;
    }

    private static double sum(List<Member> members, ToDoubleFunction<ReportedPressure> value) {
      return members.stream().mapToDouble(m -> value.applyAsDouble(m.report().orElseThrow())).sum();
    }
  }
}
