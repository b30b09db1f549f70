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
final class StatingEndpoints implements AutoCloseable {
  private final List<Stating> endpoints = new ArrayList<>();

  /**
   * A request that reached an endpoint.
   *
   * @param nanos the arrival time, as of {@link System#nanoTime}
   * @param id the request id
   */
  record Arrival(long nanos, String id) {}

  /** An endpoint. */
  static final class Stating {
    private final String status;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private volatile String statement = "";
    private volatile long statedSinceNanos;
    private volatile long statedUntilNanos = Long.MAX_VALUE;
    private volatile String statusMeanwhile;
    private final NetServer server;

    private Stating(Vertx vertx, String status) throws Exception {
      this.status = status;
      this.statusMeanwhile = status;
      this.server =
          vertx
              .createNetServer()
              .connectHandler(this::connected)
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS);
    }

    private void connected(NetSocket socket) {
      socket.exceptionHandler(e -> {});
      RawRequests.read(socket, (head, body) -> answer(socket, head));
    }

    private void answer(NetSocket socket, String head) {
      String id = RawRequests.header(head, "x-request-id");
      arrivals.add(new Arrival(System.nanoTime(), id));
      socket.write(
          "HTTP/1.1 "
              + statusMeanwhile
              + "\r\nX-Request-Id: "
              + id
              + "\r\nX-Proof: signed\r\n"
              + statement
              + "Content-Length: 4\r\n\r\ndone");
    }

    /** Adds headers to all responses from now on. */
    void state(String headers) {
      state(headers, status);
    }

    /** Adds headers to all responses from now on and changes their status. */
    void state(String headers, String newStatus) {
      statedSinceNanos = System.nanoTime();
      statusMeanwhile = newStatus;
      statement = headers;
    }

    /** Restores the initial responses, without additional headers. */
    void stateNothing() {
      statedUntilNanos = System.nanoTime();
      statement = "";
      statusMeanwhile = status;
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
    List<Arrival> whileStated(long afterMillis) {
      long first = statedSinceNanos + TimeUnit.MILLISECONDS.toNanos(afterMillis);
      return arrivals.stream()
          .filter(a -> a.nanos() >= first && a.nanos() < statedUntilNanos)
          .toList();
    }

    /**
     * Returns the maximum number of requests in any window while conditions were advertised.
     *
     * @param afterMillis how long after the last change of the conditions to start
     */
    int mostWithin(long windowMillis, long afterMillis) {
      return StatingEndpoints.mostWithin(whileStated(afterMillis), windowMillis);
    }
  }

  StatingEndpoints(Vertx vertx, int count, String status) throws Exception {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Stating(vertx, status));
    }
  }

  List<Stating> all() {
    return endpoints;
  }

  private static int mostWithin(List<Arrival> arrivals, long windowMillis) {
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    int most = 0;
    int begin = 0;
    for (int end = 0; end < arrivals.size(); end++) {
      while (arrivals.get(end).nanos() - arrivals.get(begin).nanos() > windowNanos) {
        begin++;
      }
      most = Math.max(most, end - begin + 1);
    }
    return most;
  }

  /**
   * Returns the maximum number of matching requests that follow a matching request within a range of
   * time.
   *
   * @param arrivals the requests in order of arrival
   * @param wanted selects the matching requests
   * @param fromMillis the start of the range, relative to the preceding request, exclusive
   * @param untilMillis the end of the range, exclusive
   */
  static int mostAfterEach(
      List<Arrival> arrivals, Predicate<Arrival> wanted, long fromMillis, long untilMillis) {
    List<Long> times = arrivals.stream().filter(wanted).map(Arrival::nanos).toList();
    int most = 0;
    for (long at : times) {
      long from = at + TimeUnit.MILLISECONDS.toNanos(fromMillis);
      long until = at + TimeUnit.MILLISECONDS.toNanos(untilMillis);
      most = Math.max(most, (int) times.stream().filter(t -> t > from && t < until).count());
    }
    return most;
  }

  @Override
  public void close() {
    endpoints.forEach(e -> e.server.close());
  }
}
