package org.lacewingcroft.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteTable;

/**
 * The result of checking a caller's API key: whether a request is allowed, for which organisation.
 */
sealed interface CallerAccess {
  /** Prefix of the {@code Authorization} value that carries an API key. */
  String BEARER_PREFIX = "Bearer ";

  /**
   * The request is allowed.
   *
   * @param organisation the caller's organisation, empty only if no key is required
   */
  record Granted(Optional<Organisation> organisation) implements CallerAccess {
    /** Returns the priority of the organisation's requests, or the given one if it has none. */
    int priorityOrDefault(int defaultPriority) {
      return organisation
          .map(Organisation::priority)
          .map(p -> p.orElse(defaultPriority))
          .orElse(defaultPriority);
    }

    /**
     * Returns the regions that may run the organisation's requests on a route, empty for any.
     *
     * @throws NoRegionException if the route and the organisation both restrict the regions and
     *     have none in common
     */
    Set<String> allowedRegions(Route route) throws NoRegionException {
      Set<String> homeRegions = organisation.map(Organisation::homeRegions).orElse(Set.of());
      if (homeRegions.isEmpty() || route.homeRegions().isEmpty()) {
        return homeRegions.isEmpty() ? route.homeRegions() : homeRegions;
      }
      Set<String> common = new HashSet<>(homeRegions);
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
   * @param status the status of the response
   * @param reason the reason, sent to the caller
   * @param retryAfter the time after which a retry may succeed, empty if a retry would fail as well
   */
  record Denied(int status, String reason, Optional<Duration> retryAfter) implements CallerAccess {}

  /** Thrown if a route and an organisation have no region in common. */
  final class NoRegionException extends Exception {
    private static final long serialVersionUID = 1L;

    private NoRegionException() {
      super("the route and the caller's organisation have no region in common");
    }
  }

  /**
   * Checks the API key of a request.
   *
   * @param authorization the {@code Authorization} header, null if there is none
   * @param canVerifyKeys whether this entry's keys are current: an entry that has lost contact with
   *     the control instances may not have received the revocation of a key
   * @param retryAfter the retry delay sent to the caller if the keys are not current
   */
  static CallerAccess check(
      RouteTable table,
      Route route,
      String authorization,
      boolean canVerifyKeys,
      Duration retryAfter) {
    if (!table.requiresApiKeys()) {
      return new Granted(Optional.empty());
    }
    Optional<Organisation> organisation =
        Optional.ofNullable(authorization)
            .filter(a -> a.startsWith(BEARER_PREFIX))
            .flatMap(a -> table.organisationOf(a.substring(BEARER_PREFIX.length()).trim()));
    if (route.authExempt()) {
      return new Granted(organisation);
    }
    if (!canVerifyKeys) {
      return new Denied(503, "this entry cannot check keys now", Optional.of(retryAfter));
    }
    if (organisation.isEmpty()) {
      return new Denied(401, "the key is missing or unknown", Optional.empty());
    }
    return new Granted(organisation);
  }
}
