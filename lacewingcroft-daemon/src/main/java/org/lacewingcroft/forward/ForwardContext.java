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
import java.util.concurrent.atomic.AtomicInteger;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.route.ServiceSpec;

/**
 * What all calls of an entry share.
 *
 * @param vertx the Vert.x instance
 * @param node what the entry believes
 * @param connections the connections to endpoints and entries
 * @param names the deployment's header names
 * @param statements reads what endpoints state about themselves
 * @param hops marks requests passed to other entries
 * @param region this entry's region
 * @param metrics the metrics
 * @param clock the steady clock
 * @param open counts the calls under way
 */
record ForwardContext(
    Vertx vertx,
    EntryNode node,
    UpstreamConnections connections,
    HeaderNames names,
    EndpointStatements statements,
    HopAuthenticator hops,
    String region,
    GatewayMetrics metrics,
    InstantSource clock,
    AtomicInteger open) {
  /** Carries the {@link Handling} of a relayed request. */
  static final String HANDLING_HEADER = "X-Lacewingcroft-Handling";

  /** Carries how many milliseconds are left until the final answer of a relayed request. */
  static final String DUE_HEADER = "X-Lacewingcroft-Due-Millis";

  /** Headers between entries, in lower case; they reach neither endpoints nor callers. */
  static final Set<String> RELAY_HEADERS =
      Set.of(
          HANDLING_HEADER.toLowerCase(Locale.ROOT),
          DUE_HEADER.toLowerCase(Locale.ROOT),
          CallerAnswer.NOT_RUN_HEADER.toLowerCase(Locale.ROOT),
          HopAuthenticator.TAG_HEADER.toLowerCase(Locale.ROOT),
          CallerRequest.FORWARDED_HEADER.toLowerCase(Locale.ROOT));

  /** Outcome of a request that an endpoint answered. */
  static final String SERVED = "served";

  /** A pause after which another endpoint may have room: about one short request. */
  private static final Duration SHORT_PAUSE = Duration.ofMillis(400);

  private static final int RETRY_AFTER_DIVISOR = 3;

  Instant now() {
    return clock.instant();
  }

  long kvCapacity(String service) {
    return engine(service).map(ServiceSpec.Engine::kvCapacityTokens).orElse(0L);
  }

  int eventTokens(String service) {
    return engine(service).map(ServiceSpec.Engine::eventTokens).orElse(1);
  }

  private Optional<ServiceSpec.Engine> engine(String service) {
    return node.routing().table().engine(service);
  }

  Duration shortRetryAfter(ForwardRequest request) {
    Duration most =
        Duration.between(now(), request.callerDeadline()).dividedBy(RETRY_AFTER_DIVISOR);
    return most.compareTo(SHORT_PAUSE) < 0 ? most : SHORT_PAUSE;
  }

  List<Map.Entry<String, String>> relayHeaders(ForwardRequest request, long leftMillis) {
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    headers.add(Map.entry(HANDLING_HEADER, request.handling().encodeForRelay()));
    headers.add(Map.entry(DUE_HEADER, Long.toString(leftMillis)));
    hops.mark(
        HopAuthenticator.Hop.ACROSS_REGIONS,
        region,
        request.id(),
        (name, value) -> headers.add(Map.entry(name, value)));
    return headers;
  }

  /** Counts a finished request. */
  void count(int status, String outcome, long millis, long firstByteMillis) {
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
  }
}
