package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Endpoints of one service, some of which state in their answers how many requests a second they
 * take, and count what they get.
 */
final class LimitedEndpoints implements AutoCloseable {
  private final List<Limited> endpoints = new ArrayList<>();

  /** One endpoint. */
  static final class Limited {
    private final String status;
    private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
    private volatile Optional<String> stated = Optional.empty();
    private volatile long statedSinceNanos;
    private volatile long statedUntilNanos = Long.MAX_VALUE;
    private final NetServer server;

    private Limited(Vertx vertx, String status) throws Exception {
      this.status = status;
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
      arrivalNanos.add(System.nanoTime());
      socket.write(
          "HTTP/1.1 "
              + status
              + "\r\nX-Request-Id: "
              + RawRequests.header(head, "x-request-id")
              + "\r\nX-Proof: signed\r\n"
              + stated.map(rate -> "X-Rate-Limit: " + rate + "\r\n").orElse("")
              + "Content-Length: 4\r\n\r\ndone");
    }

    /** States a limit in all answers from now on. */
    void state(String rate) {
      statedSinceNanos = System.nanoTime();
      stated = Optional.of(rate);
    }

    /** States none from now on. */
    void stateNone() {
      statedUntilNanos = System.nanoTime();
      stated = Optional.empty();
    }

    int port() {
      return server.actualPort();
    }

    int arrivals() {
      return arrivalNanos.size();
    }

    /**
     * Returns the most arrivals while the limit was stated in any window that begins so long after
     * it was first stated.
     */
    int mostWithin(long windowMillis, long afterMillis) {
      long first = statedSinceNanos + TimeUnit.MILLISECONDS.toNanos(afterMillis);
      long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
      List<Long> counted =
          arrivalNanos.stream()
              .filter(at -> at >= first && at < statedUntilNanos)
              .sorted()
              .toList();
      int most = 0;
      int begin = 0;
      for (int end = 0; end < counted.size(); end++) {
        while (counted.get(end) - counted.get(begin) > windowNanos) {
          begin++;
        }
        most = Math.max(most, end - begin + 1);
      }
      return most;
    }
  }

  LimitedEndpoints(Vertx vertx, int count, String status) throws Exception {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Limited(vertx, status));
    }
  }

  List<Limited> all() {
    return endpoints;
  }

  @Override
  public void close() {
    endpoints.forEach(e -> e.server.close());
  }
}
