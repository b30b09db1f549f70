package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What an entry knows of the active entries. Without a recent message of a control instance, all
 * entries are active. If control instances differ, an entry that one of them lists is active: it
 * costs little to participate without need, whereas an active entry on standby would serve callers
 * with an old view.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class StandbyState {
  /** Time after which a list of active entries that is not repeated is no longer used. */
  private static final Duration LIST_TTL = Duration.ofSeconds(5);

  /**
   * Time for which an entry participates after it has served a request: callers use a list for up
   * to this time.
   */
  public static final Duration REQUEST_RETENTION = Duration.ofSeconds(5);

  private final String self;
  private final Map<String, ReceivedList> lists = new HashMap<>();
  private Optional<Instant> lastRequestAt = Optional.empty();

  private record ReceivedList(Set<String> names, Instant receivedAt) {}

  /** Creates the state of an active entry. */
  public StandbyState(String self) {
    this.self = self;
  }

  /** Applies a control instance's list of active entries. */
  public void onActiveEntries(FleetMessage.ActiveEntries message, Instant now) {
    lists.values().removeIf(l -> !l.receivedAt().plus(LIST_TTL).isAfter(now));
    lists.put(message.from(), new ReceivedList(Set.copyOf(message.names()), now));
  }

  /** Records a request of a caller or of another entry. */
  public void onRequest(Instant now) {
    lastRequestAt = Optional.of(now);
  }

  /** Returns whether this entry is on standby and has not served requests recently. */
  public boolean isStandby(Instant now) {
    boolean serving =
        lastRequestAt.filter(at -> at.plus(REQUEST_RETENTION).isAfter(now)).isPresent();
    return !serving
        && recentLists(now).findAny().isPresent()
        && recentLists(now).noneMatch(names -> names.contains(self));
  }

  /** Returns the active ones of some entries, or all of them if none is known to be active. */
  public List<EntryInfo> activeOf(List<EntryInfo> entries, Instant now) {
    List<EntryInfo> active = entries.stream().filter(e -> isListed(e.name(), now)).toList();
    return active.isEmpty() ? entries : active;
  }

  /** Returns some names with those of the active entries first, otherwise in the given order. */
  public List<String> activeFirst(List<String> names, Instant now) {
    return Stream.concat(
            names.stream().filter(n -> isListed(n, now)),
            names.stream().filter(n -> !isListed(n, now)))
        .toList();
  }

  /** Returns the number of active entries among some, or all of them if none is known. */
  public int activeCount(List<String> names, Instant now) {
    int active = (int) names.stream().filter(n -> isListed(n, now)).count();
    return active == 0 ? names.size() : active;
  }

  private boolean isListed(String name, Instant now) {
    return recentLists(now).anyMatch(names -> names.contains(name));
  }

  private Stream<Set<String>> recentLists(Instant now) {
    return lists.values().stream()
        .filter(l -> l.receivedAt().plus(LIST_TTL).isAfter(now))
        .map(ReceivedList::names);
  }
}
