package org.lacewingcroft.route;

/** What the requests of a {@link Route} are, which decides what may be repeated. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT,
  /** Not idempotent: may run at most once. */
  AT_MOST_ONCE,
  /** Answered by a stream of numbered events; idempotent only if the route is resumable. */
  STREAM
}
