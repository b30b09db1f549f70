package org.lacewingcroft.gateway;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * One caller request on its way through this daemon. All of it happens on the event loop that
 * accepted the request.
 */
final class Exchange {
  private final RoutingContext ctx;
  private final CallerRequest request;
  private final String requestId;
  private final HopAuthenticator.Hop hop;
  private final RequestFingerprint content;
  private final Instant deadline;
  private final long startNanos = System.nanoTime();
  private final Set<String> passedOver = new HashSet<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private Optional<String> claimedKey = Optional.empty();
  private int possibleRuns;
  private boolean refused;
  private boolean callerLeft;
  private boolean finished;

  Exchange(
      RoutingContext ctx,
      CallerRequest request,
      String requestId,
      HopAuthenticator.Hop hop,
      Instant now) {
    this.ctx = ctx;
    this.request = request;
    this.requestId = requestId;
    this.hop = hop;
    this.content = request.fingerprint();
    this.deadline = now.plus(request.timeout());
  }

  RoutingContext context() {
    return ctx;
  }

  CallerRequest request() {
    return request;
  }

  /** Returns what the request asks for, the same whenever it is sent again. */
  RequestFingerprint content() {
    return content;
  }

  String requestId() {
    return requestId;
  }

  HopAuthenticator.Hop hop() {
    return hop;
  }

  HttpServerResponse response() {
    return ctx.response();
  }

  /** Returns how long the caller will still wait, zero if the deadline is over. */
  Duration remaining(Instant now) {
    Duration left = Duration.between(now, deadline);
    return left.isNegative() ? Duration.ZERO : left;
  }

  double elapsedSeconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Returns the endpoints and regions that failed this request. */
  Set<String> passedOver() {
    return passedOver;
  }

  Optional<String> claimedKey() {
    return claimedKey;
  }

  void claimed(String key) {
    claimedKey = Optional.of(key);
  }

  /** Notes an attempt to send the request to an endpoint or another entry. */
  void begin(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Returns how many attempts there were, the live ones included. */
  int sends() {
    return attempts.size();
  }

  /** Notes that the request is being written to a target, which from now on may run it. */
  void mayRun() {
    possibleRuns++;
  }

  /** Notes that a target it was written to answered that it has not run and will not. */
  void didNotRun() {
    possibleRuns--;
  }

  /** Returns whether some endpoint may have run the request. */
  boolean mayHaveRun() {
    return possibleRuns > 0;
  }

  /** Decides that the request is not run: no attempt that is not yet sent may go on. */
  void refuse() {
    refused = true;
    cancelAttemptsBut(Optional.empty());
  }

  /** Returns whether the caller is told that the request was not run, so that it must not be. */
  boolean refused() {
    return refused;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  /** Returns whether another attempt is still under way. */
  boolean hasLiveAttempt() {
    return attempts.stream().anyMatch(Attempt::live);
  }

  /** Cancels every attempt but the given one, if any. */
  void cancelAttemptsBut(Optional<Attempt> kept) {
    for (Attempt a : List.copyOf(attempts)) {
      if (kept.isEmpty() || kept.get() != a) {
        a.cancel();
      }
    }
  }

  /** Returns whether the caller can no longer be given a first answer. */
  boolean answered() {
    return callerLeft || response().headWritten() || response().ended();
  }

  void leave() {
    callerLeft = true;
  }

  boolean callerLeft() {
    return callerLeft;
  }

  /** Marks the exchange as over; returns whether it was not before. */
  boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }
}
