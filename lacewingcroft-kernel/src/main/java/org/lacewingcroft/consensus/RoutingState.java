package org.lacewingcroft.consensus;

import java.util.HashSet;
import java.util.Set;

/**
 * The part of the replicated state that entries route by: the routing document with the version its
 * operator gave it, and the failure domains that an operator has evacuated. Immutable.
 *
 * @param revision counts the changes that had an effect, so that states can be ordered
 * @param version the operator's version of the document; 0 before the first one
 * @param document the document's text, empty at version 0
 * @param evacuatedDomains the failure domains whose endpoints get no work
 */
public record RoutingState(
    long revision, long version, String document, Set<String> evacuatedDomains) {
  /** The state before the first document. */
  public static final RoutingState EMPTY = new RoutingState(0, 0, "", Set.of());

  /** Copies the set so the state is immutable. */
  public RoutingState {
    evacuatedDomains = Set.copyOf(evacuatedDomains);
  }

  /** Returns the state with this document, or this state if the document's version is not newer. */
  public RoutingState offered(long newVersion, String newDocument) {
    return newVersion > version
        ? new RoutingState(revision + 1, newVersion, newDocument, evacuatedDomains)
        : this;
  }

  /** Returns the state with an evacuation begun or ended. */
  public RoutingState evacuated(String failureDomain, boolean active) {
    Set<String> domains = new HashSet<>(evacuatedDomains);
    if (active) {
      domains.add(failureDomain);
    } else {
      domains.remove(failureDomain);
    }
    return domains.equals(evacuatedDomains)
        ? this
        : new RoutingState(revision + 1, version, document, domains);
  }
}
