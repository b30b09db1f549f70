package org.lacewingcroft.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The order in which the entries of a region become active. It depends only on the entries' names,
 * failure domains and capacities, so that all control instances determine the same order without a
 * message. It alternates between failure domains and takes entries with more capacity first; after
 * the loss of an entry the next one of its failure domain takes its place, and the others keep
 * theirs.
 *
 * <p>Callers pick a random address of their list, so every active entry gets the same number of
 * connections. Entries with less than half of the largest capacity therefore come last: they would
 * be overloaded while the others have capacity left.
 */
public final class EntryOrder {
  /** Share of the largest capacity below which an entry comes last. */
  private static final double SMALL_ENTRY_SHARE = 0.5;

  private EntryOrder() {}

  /**
   * An entry with the capacity that it reported.
   *
   * @param info the entry
   * @param capacity its capacity
   */
  public record Candidate(EntryInfo info, EntryCapacity capacity) {}

  /** Returns the candidates of one region in the order in which they become active. */
  public static List<Candidate> of(List<Candidate> candidates) {
    double maxCores = candidates.stream().mapToDouble(c -> c.capacity().cores()).max().orElse(0);
    double maxLink =
        candidates.stream().mapToDouble(c -> c.capacity().linkBytesPerSecond()).max().orElse(0);
    List<Candidate> large = new ArrayList<>();
    List<Candidate> small = new ArrayList<>();
    for (Candidate candidate : candidates) {
      boolean isSmall =
          candidate.capacity().cores() < maxCores * SMALL_ENTRY_SHARE
              || candidate.capacity().linkBytesPerSecond() < maxLink * SMALL_ENTRY_SHARE;
      (isSmall ? small : large).add(candidate);
    }
    List<Candidate> order = new ArrayList<>(alternatingDomains(large));
    order.addAll(alternatingDomains(small));
    return order;
  }

  private static List<Candidate> alternatingDomains(List<Candidate> candidates) {
    Map<String, Deque<Candidate>> byDomain = new TreeMap<>();
    candidates.stream()
        .sorted(
            Comparator.comparingDouble((Candidate c) -> -c.capacity().cores())
                .thenComparingLong(c -> -c.capacity().linkBytesPerSecond())
                .thenComparing(c -> c.info().name()))
        .forEach(
            c ->
                byDomain.computeIfAbsent(c.info().failureDomain(), d -> new ArrayDeque<>()).add(c));
    List<Candidate> order = new ArrayList<>();
    while (!byDomain.isEmpty()) {
      byDomain.values().forEach(domain -> order.add(domain.remove()));
      byDomain.values().removeIf(Deque::isEmpty);
    }
    return order;
  }
}
