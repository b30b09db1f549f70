package org.lacewingcroft.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteTable;

/** Whether a caller may send a request on a route, and for which organisation. */
sealed interface CallerAccess {
  /** Begins the value of the header that holds a key. */
  String SCHEME = "Bearer ";

  /**
   * The request may be handled.
   *
   * @param organisation the caller's organisation, empty if it needs none
   */
  record Granted(Optional<Organisation> organisation) implements CallerAccess {
    /** Returns the rank of its requests. */
    int priorityOr(int ofRoute) {
      return organisation.map(Organisation::priority).map(p -> p.orElse(ofRoute)).orElse(ofRoute);
    }

    /**
     * Returns the regions that may run its requests on a route, empty for any.
     *
     * @throws NoRegionException if the route and the organisation have none in common
     */
    Set<String> regionsOn(Route route) throws NoRegionException {
      Set<String> homes = organisation.map(Organisation::homeRegions).orElse(Set.of());
      if (homes.isEmpty() || route.homeRegions().isEmpty()) {
        return homes.isEmpty() ? route.homeRegions() : homes;
      }
      Set<String> common = new HashSet<>(homes);
      common.retainAll(route.homeRegions());
      if (common.isEmpty()) {
        throw new NoRegionException();
      }
      return common;
    }
  }

  /**
   * The request is refused and has not run.
   *
   * @param status the status of the answer
   * @param reason what is wrong
   * @param retryAfter when it may be sent again
   */
  record Denied(int status, String reason, Optional<Duration> retryAfter) implements CallerAccess {}

  /** A route and an organisation share no region. */
  final class NoRegionException extends Exception {
    private static final long serialVersionUID = 1L;

    private NoRegionException() {
      super("the route and the caller's organisation have no region in common");
    }
  }

  /**
   * Decides about a request.
   *
   * @param authorization the header with the caller's key, null if there is none
   * @param keysCurrent whether this entry would know of a key that was withdrawn
   * @param recheck when an entry that would not may know again
   */
  static CallerAccess of(
      RouteTable table, Route route, String authorization, boolean keysCurrent, Duration recheck) {
    if (!table.requiresApiKeys()) {
      return new Granted(Optional.empty());
    }
    Optional<Organisation> organisation =
        Optional.ofNullable(authorization)
            .filter(a -> a.startsWith(SCHEME))
            .flatMap(a -> table.organisationOf(a.substring(SCHEME.length()).trim()));
    if (route.authExempt()) {
      return new Granted(organisation);
    }
    if (!keysCurrent) {
      return new Denied(503, "this entry cannot check keys now", Optional.of(recheck));
    }
    if (organisation.isEmpty()) {
      return new Denied(401, "the key is missing or unknown", Optional.empty());
    }
    return new Granted(organisation);
  }
}
