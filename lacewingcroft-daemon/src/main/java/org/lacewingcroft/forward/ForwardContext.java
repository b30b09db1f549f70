package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.EventLoopMonitor;
import org.lacewingcroft.forward.RequestTiming.Stage;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.http.AbortedResponses;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Holds the dependencies shared by all {@link ForwardCall}s of an entry.
 *
 * @param vertx the Vert.x instance
 * @param node the entry's view of the fleet: routes, endpoints, other entries
 * @param connectionPool the connection pool for endpoints and other entries
 * @param headerNames the header names of the deployment
 * @param conditionsReader reads the conditions that endpoints advertise in their responses
 * @param hopAuthenticator signs and authenticates requests that are relayed to other entries
 * @param region the region of this entry
 * @param metrics the metrics
 * @param clock a monotonic clock
 * @param abortedResponses reports the responses that are ended before they are complete
 * @param inFlight the calls in progress
 */
record ForwardContext(
    Vertx vertx,
    EntryNode node,
    UpstreamConnections connectionPool,
    HeaderNames headerNames,
    AdvertisedConditionsReader conditionsReader,
    HopAuthenticator hopAuthenticator,
    String region,
    GatewayMetrics metrics,
    InstantSource clock,
    AbortedResponses abortedResponses,
    Set<ForwardCall> inFlight) {
  /** Header with the encoded {@link Handling} of a relayed request. */
  static final String HANDLING_HEADER = "X-Lacewingcroft-Handling";

  /** Header with the time left until the response to a relayed request is due, in milliseconds. */
  static final String DUE_MILLIS_HEADER = "X-Lacewingcroft-Due-Millis";

  /** Headers used between entries only, in lower case; not passed on to endpoints or callers. */
  static final Set<String> RELAY_HEADERS =
      Set.of(
          HANDLING_HEADER.toLowerCase(Locale.ROOT),
          DUE_MILLIS_HEADER.toLowerCase(Locale.ROOT),
          CallerResponse.NOT_RUN_HEADER.toLowerCase(Locale.ROOT),
          HopAuthenticator.TAG_HEADER.toLowerCase(Locale.ROOT),
          CallerRequest.FORWARDED_HEADER.toLowerCase(Locale.ROOT));

  /** The outcome of a request that got a response from an endpoint. */
  static final String SERVED = "served";

  /**
   * Suggested retry delay for a request that endpoints refused: about the duration of one short
   * request, after which an endpoint may have capacity.
   */
  private static final Duration SHORT_RETRY_AFTER = Duration.ofMillis(400);

  /** Retry delay sent while this entry shuts down: other entries can serve the request now. */
  static final Duration SHUTDOWN_RETRY_AFTER = Duration.ZERO;

  /** Limits the suggested retry delay to this fraction of the time left until the deadline. */
  private static final int REMAINING_TIME_DIVISOR = 3;

  /** Returns the monitor of the event loop. */
  EventLoopMonitor eventLoop() {
    return node.eventLoop();
  }

  Instant now() {
    return clock.instant();
  }

  /** Returns the KV cache size of the service's engines in tokens, 0 for a plain service. */
  long kvCapacityTokens(String service) {
    return engine(service).map(ServiceSpec.Engine::kvCapacityTokens).orElse(0L);
  }

  /** Returns how many output tokens one stream event of the service carries. */
  int tokensPerEvent(String service) {
    return engine(service).map(ServiceSpec.Engine::eventTokens).orElse(1);
  }

  private Optional<ServiceSpec.Engine> engine(String service) {
    return node.routing().table().engine(service);
  }

  /** Returns a retry delay that leaves the caller time to retry before its deadline. */
  Duration shortRetryAfter(ForwardRequest request) {
    Duration max =
        Duration.between(now(), request.callerDeadline()).dividedBy(REMAINING_TIME_DIVISOR);
    return max.compareTo(SHORT_RETRY_AFTER) < 0 ? max : SHORT_RETRY_AFTER;
  }

  /**
   * Returns the headers that relay a request to another entry, including the hop mark and its tag.
   *
   * @param remainingMillis the time until the response is due
   */
  List<Map.Entry<String, String>> relayHeaders(ForwardRequest request, long remainingMillis) {
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    headers.add(Map.entry(HANDLING_HEADER, request.handling().encodeForRelay()));
    headers.add(Map.entry(DUE_MILLIS_HEADER, Long.toString(remainingMillis)));
    hopAuthenticator.sign(
        HopAuthenticator.Hop.ACROSS_REGIONS,
        region,
        request.id(),
        (name, value) -> headers.add(Map.entry(name, value)));
    return headers;
  }

  /**
   * Records a finished request in the metrics.
   *
   * @param status the status sent to the caller, 0 if the caller has disconnected
   * @param outcome {@link #SERVED} or the reason of the failure
   * @param firstByteMillis the time to the response head, negative if none was received
   * @param timing the stages of the time to the response head, or to the end without one
   */
  void recordFinished(
      int status, String outcome, long millis, long firstByteMillis, RequestTiming timing) {
    String label = "own_" + status;
    if (status == 0) {
      label = "caller_left";
    } else if (outcome.equals(SERVED)) {
      label = SERVED;
    }
    metrics.requests.labelValues(label).inc();
    metrics.requestSeconds.labelValues(label).observe(millis / 1000.0);
    if (firstByteMillis >= 0) {
      metrics.firstByteSeconds.observe(firstByteMillis / 1000.0);
    }
    metrics.requestQueueSeconds.observe(timing.millis(Stage.QUEUE) / 1000.0);
    metrics.requestPlacementSeconds.observe(timing.millis(Stage.PLACEMENT) / 1000.0);
    metrics.requestConnectSeconds.observe(timing.millis(Stage.CONNECT) / 1000.0);
    metrics.requestEndpointSeconds.observe(timing.millis(Stage.ENDPOINT) / 1000.0);
    metrics.requestRelaySeconds.observe(timing.millis(Stage.RELAY) / 1000.0);
  }
}
