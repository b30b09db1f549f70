package org.lacewingcroft.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The part of the replicated state that entries route by: the routing document with the version its
 * operator gave it, and the failure domains that an operator has evacuated. Immutable.
 *
 * @param revision counts the changes that had an effect, so that states can be ordered
 * @param version the operator's version of the document; 0 before the first one
 * @param document the document's text, empty at version 0
 * @param evacuatedDomains the failure domains whose endpoints get no work
 * @param evacuationChangedAt the revision at which each failure domain's evacuation last began or
 *     ended
 */
public record RoutingState(
    long revision,
    long version,
    String document,
    Set<String> evacuatedDomains,
    Map<String, Long> evacuationChangedAt) {
  /** The state before the first document. */
  public static final RoutingState EMPTY = new RoutingState(0, 0, "", Set.of(), Map.of());

  /** Copies the collections so the state is immutable. */
  public RoutingState {
    evacuatedDomains = Set.copyOf(evacuatedDomains);
    evacuationChangedAt = Map.copyOf(evacuationChangedAt);
  }

  /** Returns the state with this document, or this state if the document's version is not newer. */
  public RoutingState offered(long newVersion, String newDocument) {
    return newVersion > version
        ? new RoutingState(
            revision + 1, newVersion, newDocument, evacuatedDomains, evacuationChangedAt)
        : this;
  }

  /**
   * Returns the state with an evacuation begun or ended, or this state if that was changed since
   * the order was given. A copy of an order that a cut held up so has no effect when it arrives
   * after the evacuation has been ended; without that, half of a region's endpoints stayed
   * evacuated for good.
   *
   * @param basisRevision the revision known where the operator gave the order, when it was given
   */
  public RoutingState evacuated(String failureDomain, boolean active, long basisRevision) {
    boolean overtaken = evacuationChangedAt.getOrDefault(failureDomain, 0L) > basisRevision;
    if (overtaken || evacuatedDomains.contains(failureDomain) == active) {
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
