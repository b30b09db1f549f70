package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Endpoints of one service that can advertise conditions in their response headers (rate limit,
 * draining, pause) and that record the requests that they receive.
 */
final class AdvertisingEndpoints implements AutoCloseable {
  private final List<Endpoint> endpoints = new ArrayList<>();

  /**
   * A request that reached an endpoint.
   *
   * @param nanos the arrival time, as of {@link System#nanoTime}
   * @param id the request id
   */
  record Arrival(long nanos, String id) {}

  /** An endpoint that responds on a raw socket. */
  static final class Endpoint {
    private final String initialStatus;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private volatile String advertisedHeaders = "";
    private volatile long advertisedSinceNanos;
    private volatile long advertisedUntilNanos = Long.MAX_VALUE;
    private volatile String currentStatus;
    private final NetServer server;

    private Endpoint(Vertx vertx, String initialStatus) throws Exception {
      this.initialStatus = initialStatus;
      this.currentStatus = initialStatus;
      this.server =
          vertx
              .createNetServer()
              .connectHandler(this::onConnect)
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS);
    }

    private void onConnect(NetSocket socket) {
      socket.exceptionHandler(e -> {});
      RawRequests.read(socket, (head, body) -> respond(socket, head));
    }

    private void respond(NetSocket socket, String head) {
      String id = RawRequests.header(head, "x-request-id");
      arrivals.add(new Arrival(System.nanoTime(), id));
      socket.write(
          "HTTP/1.1 "
              + currentStatus
              + "\r\nX-Request-Id: "
              + id
              + "\r\nX-Proof: signed\r\n"
              + advertisedHeaders
              + "Content-Length: 4\r\n\r\ndone");
    }

    /** Adds headers to all responses from now on. */
    void advertise(String headers) {
      advertise(headers, initialStatus);
    }

    /** Adds headers to all responses from now on and changes their status. */
    void advertise(String headers, String newStatus) {
      advertisedSinceNanos = System.nanoTime();
      currentStatus = newStatus;
      advertisedHeaders = headers;
    }

    /** Restores the initial responses, without additional headers. */
    void stopAdvertising() {
      advertisedUntilNanos = System.nanoTime();
      advertisedHeaders = "";
      currentStatus = initialStatus;
    }

    int port() {
      return server.actualPort();
    }

    /** Returns the requests that have arrived, in order. */
    List<Arrival> arrivals() {
      return arrivals;
    }

    /**
     * Returns the requests that arrived while conditions were advertised.
     *
     * @param afterMillis how long after the last change of the conditions to start
     */
    List<Arrival> arrivalsWhileAdvertising(long afterMillis) {
      long startNanos = advertisedSinceNanos + TimeUnit.MILLISECONDS.toNanos(afterMillis);
      return arrivals.stream()
          .filter(a -> a.nanos() >= startNanos && a.nanos() < advertisedUntilNanos)
          .toList();
    }

    /**
     * Returns the maximum number of requests in any window while conditions were advertised.
     *
     * @param afterMillis how long after the last change of the conditions to start
     */
    int maxArrivalsWithin(long windowMillis, long afterMillis) {
      return AdvertisingEndpoints.maxArrivalsWithin(
          arrivalsWhileAdvertising(afterMillis), windowMillis);
    }
  }

  AdvertisingEndpoints(Vertx vertx, int count, String status) throws Exception {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Endpoint(vertx, status));
    }
  }

  List<Endpoint> all() {
    return endpoints;
  }

  /** Returns the maximum number of requests, in order of arrival, in any window. */
  static int maxArrivalsWithin(List<Arrival> arrivals, long windowMillis) {
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    int max = 0;
    int start = 0;
    for (int end = 0; end < arrivals.size(); end++) {
      while (arrivals.get(end).nanos() - arrivals.get(start).nanos() > windowNanos) {
        start++;
      }
      max = Math.max(max, end - start + 1);
    }
    return max;
  }

  /**
   * Returns the maximum number of matching requests that follow a matching request within a range
   * of time.
   *
   * @param arrivals the requests in order of arrival
   * @param filter selects the matching requests
   * @param fromMillis the start of the range, relative to the preceding request, exclusive
   * @param untilMillis the end of the range, exclusive
   */
  static int maxArrivalsAfterEach(
      List<Arrival> arrivals, Predicate<Arrival> filter, long fromMillis, long untilMillis) {
    List<Long> times = arrivals.stream().filter(filter).map(Arrival::nanos).toList();
    int max = 0;
    for (long at : times) {
      long from = at + TimeUnit.MILLISECONDS.toNanos(fromMillis);
      long until = at + TimeUnit.MILLISECONDS.toNanos(untilMillis);
      max = Math.max(max, (int) times.stream().filter(t -> t > from && t < until).count());
    }
    return max;
  }

  @Override
  public void close() {
    endpoints.forEach(e -> e.server.close());
  }
}
