package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which control instances an entry goes by: those of its own region while one of them is in touch
 * with a majority of its group, all others as well while none is. The rest hear of it less often,
 * just so that they can name it to callers.
 *
 * <p>In a large fleet every instance telling every entry the same lists fills the small links of
 * the entries, most of all when many entries start or stop one after the other.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class ControlContacts {
  /** A control instance answers each report, two a second; one answer may be missing. */
  private static final Duration PULSE_VALID = Duration.ofMillis(1_200);

  private final String region;
  private final Map<String, Contact> contacts = new HashMap<>();

  private record Contact(String region, boolean inMajority, Instant at) {}

  /**
   * Creates the contacts.
   *
   * @param region the entry's region
   */
  public ControlContacts(String region) {
    this.region = region;
  }

  /** Notes a control instance's answer. */
  public void pulse(FleetMessage.ControlPulse pulse, Instant now) {
    contacts.put(pulse.from(), new Contact(pulse.region(), pulse.inMajority(), now));
  }

  /** Drops the contacts that are not among the control instances any more. */
  public void retain(Collection<String> addresses) {
    contacts.keySet().retainAll(addresses);
  }

  /** Returns whether no control instance has answered for a while. */
  public boolean allSilentFor(Duration silence, Instant now) {
    return contacts.values().stream().noneMatch(c -> c.at.plus(silence).isAfter(now));
  }

  /**
   * Returns the control instances that the entry goes by.
   *
   * @param known all that it knows
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
