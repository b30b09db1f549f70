package org.lacewingcroft.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Tracks the open connections of callers and closes those that have been unused for longer than the
 * active idle timeout. A connection with a request in progress is in use however long the response
 * takes; the server's own idle timeout is not used because it only considers transferred bytes.
 *
 * <p>Confined to the event loop thread.
 */
public final class CallerConnections {
  private static final System.Logger LOG = System.getLogger(CallerConnections.class.getName());

  /**
   * Interval between checks for unused connections, and thereby the longest time that a connection
   * stays open beyond the idle timeout.
   */
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 1_000;

  private final InstantSource clock;
  private final Supplier<Duration> idleTimeout;
  private final Map<HttpConnection, Usage> usageByConnection = new HashMap<>();

  private static final class Usage {
    private int requestsInProgress;
    private Instant idleSince;

    private Usage(Instant now) {
      idleSince = now;
    }
  }

  /**
   * Starts the periodic check for unused connections, which reads {@code idleTimeout} each time.
   */
  public CallerConnections(Vertx vertx, InstantSource clock, Supplier<Duration> idleTimeout) {
    this.clock = clock;
    this.idleTimeout = idleTimeout;
    vertx.setPeriodic(IDLE_CHECK_INTERVAL_MILLIS, id -> closeIdle());
  }

  /** Starts to track a newly accepted connection. */
  public void onConnectionOpened(HttpConnection connection) {
    usageByConnection.put(connection, new Usage(clock.instant()));
    connection.closeHandler(v -> usageByConnection.remove(connection));
  }

  /** Counts a request as in progress until its response has ended or its connection is closed. */
  public void onRequest(HttpServerRequest request) {
    Usage usage = usageByConnection.get(request.connection());
    if (usage != null) {
      usage.requestsInProgress++;
      request.response().endHandler(v -> onResponseEnd(usage));
    }
  }

  private void onResponseEnd(Usage usage) {
    usage.requestsInProgress--;
    usage.idleSince = clock.instant();
  }

  private void closeIdle() {
    Duration timeout = idleTimeout.get();
    Instant cutoff = clock.instant().minus(timeout);
    List<HttpConnection> idle =
        usageByConnection.entrySet().stream()
            .filter(
                e ->
                    e.getValue().requestsInProgress == 0 && e.getValue().idleSince.isBefore(cutoff))
            .map(Map.Entry::getKey)
            .toList();
    if (!idle.isEmpty()) {
      LOG.log(
          System.Logger.Level.INFO,
          "connections.closed_idle",
          "count",
          idle.size(),
          "idleMillis",
          timeout.toMillis(),
          "stillOpen",
          usageByConnection.size() - idle.size());
    }
    idle.forEach(HttpConnection::close);
  }
}
