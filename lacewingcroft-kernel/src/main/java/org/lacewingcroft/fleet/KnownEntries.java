package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The entries that one entry knows, as the control instances list them, and which of them it may
 * relay a request to. An entry may be partitioned from the endpoints of its region while it is
 * reachable itself; such entries say so, and no request is relayed to them that they could not send
 * on.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class KnownEntries {
  /** Time after which a report of unreachable services is no longer used. */
  private static final Duration REACH_TTL = Duration.ofMillis(1_500);

  private final EntryInfo self;
  private final StandbyState activeEntries;
  private final UnreachableEntries unreachable = new UnreachableEntries();
  private FleetMessage.EntryList list = new FleetMessage.EntryList("", List.of());

  /** The last report of unreachable services from each control instance. */
  private final Map<String, ReachReport> reachReports = new HashMap<>();

  private List<String> regionNames;

  private record ReachReport(FleetMessage.EntryReach reach, Instant receivedAt) {}

  /** Creates a view that contains no other entry, all of whose entries are active. */
  public KnownEntries(EntryInfo self) {
    this(self, new StandbyState(self.name()));
  }

  /**
   * Creates a view that contains no other entry.
   *
   * @param activeEntries which entries are active
   */
  public KnownEntries(EntryInfo self, StandbyState activeEntries) {
    this.self = self;
    this.activeEntries = activeEntries;
    this.regionNames = List.of(self.name());
  }

  /**
   * Applies a list of the entries that accept requests.
   *
   * @return whether it differs from the current one
   */
  public boolean update(FleetMessage.EntryList newList) {
    if (newList.digest() == list.digest()) {
      return false;
    }
    list = newList;
    Set<String> names = new TreeSet<>();
    names.add(self.name());
    ofRegion(self.region()).forEach(e -> names.add(e.name()));
    regionNames = List.copyOf(names);
    return true;
  }

  /** Returns the digest by which a control instance detects that this list is not current. */
  public int digest() {
    return list.digest();
  }

  /** Returns the entries that accept requests, including this one while it does. */
  public List<EntryInfo> all() {
    return list.entries();
  }

  /** Returns the names of all entries that accept requests. */
  public List<String> names() {
    return all().stream().map(EntryInfo::name).toList();
  }

  /** Returns the entries of a region that accept requests. */
  public List<EntryInfo> ofRegion(String region) {
    return all().stream().filter(e -> e.region().equals(region)).toList();
  }

  /** Returns the names of this region's entries in order, always including this one. */
  public List<String> regionNames() {
    return regionNames;
  }

  /** Returns whether any region has more entries than the given number. */
  public boolean hasRegionLargerThan(int size) {
    Map<String, Integer> sizes = new HashMap<>();
    all().forEach(e -> sizes.merge(e.region(), 1, Integer::sum));
    return sizes.values().stream().anyMatch(s -> s > size);
  }

  /** Applies a control instance's report of the services that entries do not reach. */
  public void updateReach(FleetMessage.EntryReach reach, Instant now) {
    reachReports.values().removeIf(r -> !r.receivedAt().plus(REACH_TTL).isAfter(now));
    reachReports.put(reach.from(), new ReachReport(reach, now));
  }

  /** Returns the services of its region of which no endpoint responds to an entry. */
  private Set<String> unreachableServicesOf(String entry, Instant now) {
    Set<String> services = new TreeSet<>();
    reachReports.values().stream()
        .filter(r -> r.receivedAt().plus(REACH_TTL).isAfter(now))
        .map(r -> r.reach().unreachableServices().getOrDefault(entry, Set.of()))
        .forEach(services::addAll);
    return services;
  }

  /**
   * Returns the names of this region's entries, those first that reach the most services, whose
   * view of the load of the region's endpoints is the most complete.
   */
  public List<String> regionNamesByReach(Instant now) {
    return regionNames.stream()
        .sorted(
            Comparator.<String>comparingInt(name -> unreachableServicesOf(name, now).size())
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /**
   * Returns the few entries of a region to which this entry relays requests for a service: entries
   * that reach endpoints of the service and to which connecting has not failed recently.
   *
   * @param excluded the names of entries that must not be used
   */
  public List<EntryInfo> relayTargets(
      String region, String service, Set<String> excluded, Instant now) {
    List<EntryInfo> candidates =
        ofRegion(region).stream()
            .filter(e -> !e.name().equals(self.name()))
            .filter(e -> !excluded.contains(e.name()))
            .filter(e -> !unreachableServicesOf(e.name(), now).contains(service))
            .toList();
    return relayPartnersAmong(candidates, now);
  }

  private List<EntryInfo> relayPartnersAmong(List<EntryInfo> candidates, Instant now) {
    List<EntryInfo> active = activeEntries.activeOf(candidates, now);
    return RelayPartners.of(unreachable.preferReachable(active, now), self.name());
  }

  /** Returns the entries of another region to which this one keeps connections open. */
  public List<EntryInfo> relayPartners(String region, Instant now) {
    return relayPartnersAmong(ofRegion(region), now);
  }

  /**
   * Records that connecting to an entry failed.
   *
   * @return whether this has happened recently for all relay partners in its region
   */
  public boolean recordConnectFailure(EntryInfo entry, Instant now) {
    unreachable.recordFailure(entry, now);
    List<EntryInfo> active = activeEntries.activeOf(ofRegion(entry.region()), now);
    return unreachable.allUnreachable(RelayPartners.of(active, self.name()), now);
  }
}
