package org.lacewingcroft.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The part of the replicated state that entries use for routing: the routing document with its
 * version, and the failure domains that an operator has evacuated. Immutable.
 *
 * @param revision number of changes that had an effect, which orders the states
 * @param version the document's version, assigned by the operator; 0 before the first document
 * @param document the document's text, empty at version 0
 * @param evacuatedDomains the failure domains whose endpoints receive no requests
 * @param evacuationChangedAt the revision at which the evacuation of each failure domain last
 *     started or ended
 */
public record RoutingState(
    long revision,
    long version,
    String document,
    Set<String> evacuatedDomains,
    Map<String, Long> evacuationChangedAt) {
  /** The state before the first document. */
  public static final RoutingState EMPTY = new RoutingState(0, 0, "", Set.of(), Map.of());

  /** Copies the collections so that the state is immutable. */
  public RoutingState {
    evacuatedDomains = Set.copyOf(evacuatedDomains);
    evacuationChangedAt = Map.copyOf(evacuationChangedAt);
  }

  /**
   * Returns the state with this document, or this state if the document's version is not higher.
   */
  public RoutingState withDocument(long newVersion, String newDocument) {
    return newVersion > version
        ? new RoutingState(
            revision + 1, newVersion, newDocument, evacuatedDomains, evacuationChangedAt)
        : this;
  }

  /**
   * Returns the state with an evacuation started or ended, or this state if the evacuation of the
   * domain has changed since the order was given. A copy of an order that was delayed by a network
   * partition therefore has no effect if it arrives after the evacuation has ended; without this
   * check, half of a region's endpoints stayed evacuated permanently.
   *
   * @param baseRevision the revision at the instance where the operator gave the order, at that
   *     time
   */
  public RoutingState withEvacuation(String failureDomain, boolean active, long baseRevision) {
    boolean superseded = evacuationChangedAt.getOrDefault(failureDomain, 0L) > baseRevision;
    if (superseded || evacuatedDomains.contains(failureDomain) == active) {
      return this;
    }
    Set<String> domains = new HashSet<>(evacuatedDomains);
    if (active) {
      domains.add(failureDomain);
    } else {
      domains.remove(failureDomain);
    }
    Map<String, Long> changedAt = new HashMap<>(evacuationChangedAt);
    changedAt.put(failureDomain, revision + 1);
    return new RoutingState(revision + 1, version, document, domains, changedAt);
  }
}
