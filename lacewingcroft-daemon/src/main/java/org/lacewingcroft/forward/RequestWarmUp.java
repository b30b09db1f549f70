package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.fleet.WarmUpPolicy;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Warms up the request path of an entry after its start with requests through a {@link
 * WarmUpStack}. At a deployment's first start the entry reports ready only afterwards. A warm-up
 * that cannot begin, fails or takes too long ends without effect.
 *
 * <p>Confined to the event loop thread.
 */
public final class RequestWarmUp {
  private static final System.Logger LOG = System.getLogger(RequestWarmUp.class.getName());

  /** Interval at which it is decided whether to begin. */
  private static final long POLL_INTERVAL_MILLIS = 100;

  private static final int OK = 200;

  private final Vertx vertx;
  private final FleetSettings settings;
  private final EntryNode node;
  private final EntryServer server;
  private final HeaderNames headerNames;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private final WarmUpPolicy policy;
  private final Instant startedAt;
  private Instant begunAt = Instant.EPOCH;
  private Optional<String> deployment = Optional.empty();
  private int sent;
  private int failed;
  private long firstMillis = -1;
  private long lastMillis = -1;
  private boolean finished;

  /**
   * Creates the warm-up; {@link #start} starts it.
   *
   * @param node the entry whose readiness waits for the warm-up
   * @param server the server of the entry, whose callers end the warm-up
   * @param metrics the metrics of the entry
   */
  public RequestWarmUp(
      Vertx vertx,
      FleetSettings settings,
      EntryNode node,
      EntryServer server,
      HeaderNames headerNames,
      GatewayMetrics metrics,
      InstantSource clock,
      WarmUpPolicy policy) {
    this.vertx = vertx;
    this.settings = settings;
    this.node = node;
    this.server = server;
    this.headerNames = headerNames;
    this.metrics = metrics;
    this.clock = clock;
    this.policy = policy;
    this.startedAt = clock.instant();
  }

  /** Begins the warm-up as soon as the entry has received its state. */
  public void start() {
    if (policy.maxRequests() == 0) {
      return;
    }
    if (settings.firstStart()) {
      node.holdReadiness();
    }
    vertx.setPeriodic(POLL_INTERVAL_MILLIS, this::beginIfDue);
  }

  private void beginIfDue(long timer) {
    Duration sinceStart = Duration.between(startedAt, clock.instant());
    WarmUpPolicy.Start start =
        policy.decideStart(node.hasState(), server.inFlight() > 0, sinceStart);
    if (start != WarmUpPolicy.Start.WAIT) {
      vertx.cancelTimer(timer);
      if (start == WarmUpPolicy.Start.BEGIN) {
        begin();
      } else {
        finish("skipped", "none");
      }
    }
  }

  private void begin() {
    begunAt = clock.instant();
    LOG.log(System.Logger.Level.INFO, "warm_up.started", "requests", policy.maxRequests());
    vertx.setTimer(policy.maxDuration().toMillis(), id -> finish("timeout", "none"));
    WarmUpStack stack = new WarmUpStack(settings, headerNames, clock);
    vertx
        .deployVerticle(stack)
        .onSuccess(
            id -> {
              deployment = Optional.of(id);
              if (finished) {
                undeploy();
              } else {
                sendNext(stack);
              }
            })
        .onFailure(e -> finish("failed", String.valueOf(e.getMessage())));
  }

  private void sendNext(WarmUpStack stack) {
    if (finished) {
      return;
    }
    Instant sentAt = clock.instant();
    WarmUpPolicy.Verdict verdict =
        policy.decideNext(sent, failed, server.inFlight() > 0, Duration.between(begunAt, sentAt));
    if (verdict != WarmUpPolicy.Verdict.CONTINUE) {
      finish(verdict.name().toLowerCase(Locale.ROOT), "none");
      return;
    }
    stack
        .send(sent)
        .otherwise(0)
        .onSuccess(
            status -> {
              record(status, Duration.between(sentAt, clock.instant()).toMillis());
              sendNext(stack);
            });
  }

  private void record(int status, long millis) {
    sent++;
    firstMillis = firstMillis < 0 ? millis : firstMillis;
    lastMillis = millis;
    failed += status == OK ? 0 : 1;
    metrics.warmUpRequests.labelValues(status == OK ? "answered" : "failed").inc();
  }

  private void finish(String outcome, String error) {
    if (finished) {
      return;
    }
    finished = true;
    undeploy();
    metrics.warmUps.labelValues(outcome).inc();
    LOG.log(
        System.Logger.Level.INFO,
        "warm_up.finished",
        "outcome",
        outcome,
        "sent",
        sent,
        "failed",
        failed,
        "firstMillis",
        firstMillis,
        "lastMillis",
        lastMillis,
        "millis",
        sent == 0 ? 0 : Duration.between(begunAt, clock.instant()).toMillis(),
        "error",
        error);
    node.releaseReadiness();
  }

  private void undeploy() {
    deployment.ifPresent(
        id ->
            vertx
                .undeploy(id)
                .onFailure(e -> LOG.log(System.Logger.Level.WARNING, "warm_up.not_stopped", e)));
    deployment = Optional.empty();
  }
}
