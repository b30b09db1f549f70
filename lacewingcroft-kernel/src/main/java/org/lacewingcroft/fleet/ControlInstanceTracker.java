package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the control instances that an entry follows, that is, whose roster and entry list it
 * receives: those of its own region while one of them is connected to a quorum of the control
 * group, and otherwise all of them. The other control instances receive reports less often, just
 * enough to list the entry to callers.
 *
 * <p>In a large fleet, if every control instance sent the same lists to every entry, they would
 * saturate the narrow links of the entries, above all while many entries start or stop one after
 * the other.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class ControlInstanceTracker {
  /**
   * Time without a reply after which a control instance does not count as reachable. It replies to
   * each report, two a second; one reply may be lost.
   */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_200);

  private final String region;
  private final Map<String, Reply> lastReplies = new HashMap<>();

  private record Reply(String region, boolean inMajority, Instant receivedAt) {}

  /**
   * Creates a tracker that has no replies yet.
   *
   * @param region the entry's region
   */
  public ControlInstanceTracker(String region) {
    this.region = region;
  }

  /** Records a control instance's reply to a report. */
  public void onControlPulse(FleetMessage.ControlPulse pulse, Instant now) {
    lastReplies.put(pulse.from(), new Reply(pulse.region(), pulse.inMajority(), now));
  }

  /** Removes the replies of instances that are no longer control instances. */
  public void retain(Collection<String> addresses) {
    lastReplies.keySet().retainAll(addresses);
  }

  /** Returns whether no control instance has replied within a time span. */
  public boolean noReplyWithin(Duration span, Instant now) {
    return lastReplies.values().stream().noneMatch(r -> r.receivedAt.plus(span).isAfter(now));
  }

  /**
   * Returns the control instances that the entry follows.
   *
   * @param known all control instances known to the entry
   */
  public Set<String> followed(Collection<String> known, Instant now) {
    Set<String> sameRegion = new TreeSet<>();
    boolean hasQuorum = false;
    for (String address : known) {
      Reply reply = lastReplies.get(address);
      if (reply != null && reply.region.equals(region)) {
        sameRegion.add(address);
        hasQuorum |= reply.inMajority && reply.receivedAt.plus(REPLY_TIMEOUT).isAfter(now);
      }
    }
    return hasQuorum ? sameRegion : new TreeSet<>(known);
  }
}
