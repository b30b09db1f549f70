package org.lacewingcroft.routing;

import org.lacewingcroft.error.ErrorKind;

/** The outcome of routing one request: serve it in this region, forward it, or refuse it. */
public sealed interface RouteDecision {

  /**
   * Serves the request on a local endpoint.
   *
   * @param candidate the chosen endpoint
   * @param rule the name of the selector that allowed it, or {@code *} without selectors
   */
  record Serve(Candidate candidate, String rule) implements RouteDecision {}

  /**
   * Forwards the request to an entry of another region, marked as forwarded.
   *
   * @param region the region to forward to
   */
  record Forward(String region) implements RouteDecision {}

  /**
   * Refuses the request; no endpoint received it.
   *
   * @param kind the error kind, which always guarantees that the request was not run
   * @param detail the reason, naming the organisation, model and regions involved
   */
  record Refuse(ErrorKind kind, String detail) implements RouteDecision {}
}
