package org.lacewingcroft.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.lacewingcroft.fleet.FleetMessage.News;

/**
 * Buffers updates for the entries of a region. Entries on standby receive about one batch a second,
 * the others several. Each entry receives every update once, also when it changes between the two
 * groups, because receivers add up the usage of services.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class RegionUpdateBuffer {
  private final UpdateBuffer regular = new UpdateBuffer();
  private final UpdateBuffer reduced = UpdateBuffer.forStandbyEntries();
  private Set<String> standby = Set.of();

  /**
   * A batch to send.
   *
   * @param receivers the peer addresses of its receivers
   * @param updates the updates, which may be empty
   */
  public record Batch(List<String> receivers, News updates) {}

  /** Adds updates. */
  public void add(News updates, boolean urgent) {
    regular.add(updates, urgent);
    reduced.add(updates, urgent);
  }

  /**
   * Removes and returns the batches that are due.
   *
   * @param entries returns the peer addresses of the region's entries
   * @param standbyEntries those that need updates less often
   */
  public List<Batch> drainDue(
      Supplier<Collection<String>> entries, Set<String> standbyEntries, Instant now) {
    List<Batch> batches = new ArrayList<>();
    if (!standbyEntries.equals(standby)) {
      batches.add(new Batch(regularReceivers(entries), regular.drain(now)));
      batches.add(new Batch(List.copyOf(standby), reduced.drain(now)));
      standby = Set.copyOf(standbyEntries);
    }
    regular.drainIfDue(now).ifPresent(u -> batches.add(new Batch(regularReceivers(entries), u)));
    reduced.drainIfDue(now).ifPresent(u -> batches.add(new Batch(List.copyOf(standby), u)));
    batches.removeIf(b -> b.receivers().isEmpty());
    return batches;
  }

  private List<String> regularReceivers(Supplier<Collection<String>> entries) {
    return entries.get().stream().filter(e -> !standby.contains(e)).toList();
  }
}
