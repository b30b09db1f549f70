package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the control instances that an entry follows, that is, whose roster and entry list it receives: those of its own region while one of them is connected to a majority of the control group, and otherwise all of them. The other control instances receive reports less often, just enough to list the entry to callers.
 *
 * <p>In a large fleet, if every control instance sent the same lists to every entry, they would saturate the narrow links of the entries, above all while many entries start or stop one after the other.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class ControlContacts {
  /** Time without a reply after which a control instance does not count as reachable. It replies to each report, two a second; one reply may be lost. */
  private static final Duration PULSE_VALID = Duration.ofMillis(1_200);

  private final String region;
  private final Map<String, Contact> contacts = new HashMap<>();

  private record Contact(String region, boolean inMajority, Instant at) {}

  /**
   * Creates a tracker that has no replies yet.
   *
   * @param region the entry's region
   */
  public ControlContacts(String region) {
    this.region = region;
  }

  /** Records a control instance's reply to a report. */
  public void pulse(FleetMessage.ControlPulse pulse, Instant now) {
    contacts.put(pulse.from(), new Contact(pulse.region(), pulse.inMajority(), now));
  }

  /** Removes the replies of instances that are no longer control instances. */
  public void retain(Collection<String> addresses) {
    contacts.keySet().retainAll(addresses);
  }

  /** Returns whether no control instance has replied within a time span. */
  public boolean allSilentFor(Duration silence, Instant now) {
    return contacts.values().stream().noneMatch(c -> c.at.plus(silence).isAfter(now));
  }

  /**
   * Returns the control instances that the entry follows.
   *
   * @param known all control instances that the entry knows
   */
  public Set<String> relied(Collection<String> known, Instant now) {
    Set<String> near = new TreeSet<>();
    boolean majority = false;
    for (String address : known) {
      Contact contact = contacts.get(address);
      if (contact != null && contact.region.equals(region)) {
        near.add(address);
        majority |= contact.inMajority && contact.at.plus(PULSE_VALID).isAfter(now);
      }
    }
    return majority ? near : new TreeSet<>(known);
  }
}
