package org.lacewingcroft.gateway;

import io.vertx.core.http.HttpClientRequest;
import java.util.Optional;

/** One send of a request to an endpoint, or to another entry. */
final class Attempt {
  /** Whom a request is sent to. */
  enum Kind {
    /** An endpoint, which may run it. */
    ENDPOINT,
    /** The entry of this region that owns the request's key. */
    KEY_OWNER,
    /** An entry of another region. */
    OTHER_REGION
  }

  private final String target;
  private final String targetRegion;
  private final Kind kind;
  private final InFlight inFlight;
  private Optional<HttpClientRequest> upstream = Optional.empty();
  private boolean live = true;

  /**
   * Begins an attempt.
   *
   * @param target the endpoint's id or the entry's node id
   * @param targetRegion its region
   * @param kind whom it is sent to
   * @param inFlight counts the attempt while it lives
   */
  Attempt(String target, String targetRegion, Kind kind, InFlight inFlight) {
    this.target = target;
    this.targetRegion = targetRegion;
    this.kind = kind;
    this.inFlight = inFlight;
    if (toEndpoint()) {
      inFlight.sent(target);
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

  void connected(HttpClientRequest request) {
    upstream = Optional.of(request);
  }

  /** Ends the attempt; returns whether it was live. */
  boolean end() {
    boolean first = live;
    live = false;
    if (first && toEndpoint()) {
      inFlight.answered(target);
    }
    return first;
  }

  /** Ends the attempt and cuts its connection, so that the target stops working on it. */
  void cancel() {
    if (end()) {
      upstream.ifPresent(HttpClientRequest::reset);
    }
  }
}
