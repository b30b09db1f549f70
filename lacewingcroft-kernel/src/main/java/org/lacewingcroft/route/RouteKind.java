package org.lacewingcroft.route;

/**
 * The kind of requests of a {@link Route}, which determines whether they may run more than once.
 */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT,
  /** Not idempotent: may run at most once. */
  AT_MOST_ONCE,
  /** The response is a stream of numbered events; idempotent only if the route is resumable. */
  STREAM
}
