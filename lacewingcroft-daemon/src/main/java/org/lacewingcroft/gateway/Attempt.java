package org.lacewingcroft.gateway;

import io.vertx.core.http.HttpClientRequest;
import java.util.Optional;

/** One attempt to send a request to an endpoint or to another entry. */
final class Attempt {
  /** The kind of target that a request is sent to. */
  enum Kind {
    /** An endpoint, which may run the request. */
    ENDPOINT,
    /** The entry of this region that owns the request's idempotency key. */
    KEY_OWNER,
    /** An entry of another region. */
    OTHER_REGION
  }

  private final String target;
  private final String targetRegion;
  private final Kind kind;
  private final InFlightCounters inFlight;
  private Optional<HttpClientRequest> upstream = Optional.empty();
  private boolean live = true;

  /**
   * Creates a live attempt and counts it as in flight if its target is an endpoint.
   *
   * @param target the endpoint's id or the entry's node id
   * @param targetRegion the target's region
   * @param kind the kind of target
   * @param inFlight the counters that include the attempt until it ends
   */
  Attempt(String target, String targetRegion, Kind kind, InFlightCounters inFlight) {
    this.target = target;
    this.targetRegion = targetRegion;
    this.kind = kind;
    this.inFlight = inFlight;
    if (toEndpoint()) {
      inFlight.attemptStarted(target);
    }
  }

  String target() {
    return target;
  }

  String targetRegion() {
    return targetRegion;
  }

  Kind kind() {
    return kind;
  }

  boolean toEndpoint() {
    return kind == Kind.ENDPOINT;
  }

  boolean live() {
    return live;
  }

  /** Sets the upstream request of the attempt, which {@link #cancel} resets. */
  void connected(HttpClientRequest request) {
    upstream = Optional.of(request);
  }

  /** Ends the attempt and returns whether it was live. */
  boolean end() {
    boolean wasLive = live;
    live = false;
    if (wasLive && toEndpoint()) {
      inFlight.attemptEnded(target);
    }
    return wasLive;
  }

  /** Ends the attempt and resets its upstream request, so that the target stops processing it. */
  void cancel() {
    if (end()) {
      upstream.ifPresent(HttpClientRequest::reset);
    }
  }
}
