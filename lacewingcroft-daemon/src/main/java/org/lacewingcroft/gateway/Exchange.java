package org.lacewingcroft.gateway;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.request.CallSteps;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * The state of one caller request while this daemon handles it.
 *
 * <p>Confined to the event loop thread that accepted the request.
 */
final class Exchange {
  private final RoutingContext context;
  private final CallerRequest request;
  private final String requestId;
  private final HopAuthenticator.Hop hop;
  private final Instant deadline;
  private final Context eventLoop = Vertx.currentContext();
  private final long startNanos = System.nanoTime();
  private final Set<String> excludedTargets = new HashSet<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final CallSteps steps = new CallSteps();
  private Optional<String> claimedKey = Optional.empty();
  private int possibleRuns;
  private boolean refused;
  private boolean callerDisconnected;
  private boolean finished;
  private Runnable finishHandler = () -> {};

  Exchange(
      RoutingContext context,
      CallerRequest request,
      String requestId,
      HopAuthenticator.Hop hop,
      Instant now) {
    this.context = context;
    this.request = request;
    this.requestId = requestId;
    this.hop = hop;
    this.deadline = now.plus(request.timeout());
  }

  /** Runs an action on the event loop thread of this exchange. */
  void runOnEventLoop(Runnable action) {
    eventLoop.runOnContext(v -> action.run());
  }

  RoutingContext context() {
    return context;
  }

  CallerRequest request() {
    return request;
  }

  /** Returns the fingerprints of the request, the same for every resend. */
  RequestFingerprints fingerprints() {
    return request.fingerprints();
  }

  String requestId() {
    return requestId;
  }

  HopAuthenticator.Hop hop() {
    return hop;
  }

  HttpServerResponse response() {
    return context.response();
  }

  /** Returns the time left until the caller's deadline, zero if it has passed. */
  Duration remaining(Instant now) {
    Duration left = Duration.between(now, deadline);
    return left.isNegative() ? Duration.ZERO : left;
  }

  double elapsedSeconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /**
   * Returns the ids of the endpoints and the names of the regions that are excluded for this
   * request, because an attempt there failed or, for a hedge, is still in progress. The set is
   * mutable and holds both kinds of names.
   */
  Set<String> excludedTargets() {
    return excludedTargets;
  }

  Optional<String> claimedKey() {
    return claimedKey;
  }

  void setClaimedKey(String key) {
    claimedKey = Optional.of(key);
  }

  /** Returns the steps of this exchange, each of which begins with a send or with the response. */
  CallSteps steps() {
    return steps;
  }

  /** Adds an attempt to send the request to an endpoint or to another entry. */
  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Returns the target of the latest attempt, if any was made. */
  Optional<String> lastTarget() {
    return attempts.isEmpty()
        ? Optional.empty()
        : Optional.of(attempts.get(attempts.size() - 1).target());
  }

  /** Returns the number of attempts made, including live ones. */
  int attemptCount() {
    return attempts.size();
  }

  /** Records that the request is being written to a target, which may run it from now on. */
  void addPossibleRun() {
    possibleRuns++;
  }

  /**
   * Records that a target to which the request was written responded that it has not run the
   * request and will not run it.
   */
  void removePossibleRun() {
    possibleRuns--;
  }

  /** Returns whether an endpoint may have run the request. */
  boolean mayHaveRun() {
    return possibleRuns > 0;
  }

  /**
   * Marks the request as refused and cancels its attempts, so that an attempt that is still
   * connecting does not send the request.
   */
  void refuse() {
    refused = true;
    cancelAttemptsExcept(Optional.empty());
  }

  /**
   * Returns whether the request was refused. The refusal states that the request was not run, so it
   * must not be sent to any target afterwards.
   */
  boolean refused() {
    return refused;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  /** Returns whether an attempt is still in progress. */
  boolean hasLiveAttempt() {
    return attempts.stream().anyMatch(Attempt::live);
  }

  /** Cancels every attempt except the given one, if any. */
  void cancelAttemptsExcept(Optional<Attempt> excepted) {
    for (Attempt a : List.copyOf(attempts)) {
      if (excepted.isEmpty() || excepted.get() != a) {
        a.cancel();
      }
    }
  }

  /**
   * Returns whether no response can be started any more, because one was already started or the
   * caller disconnected.
   */
  boolean responseCommitted() {
    return callerDisconnected || response().headWritten() || response().ended();
  }

  void markCallerDisconnected() {
    callerDisconnected = true;
  }

  boolean callerDisconnected() {
    return callerDisconnected;
  }

  /** Sets what runs when the response has ended or the caller has disconnected. */
  void onFinish(Runnable handler) {
    finishHandler = handler;
  }

  /** Marks the exchange as finished and returns whether it was not finished before. */
  boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    finishHandler.run();
    return true;
  }
}
