package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Blocks the event loop of the entries for two seconds while callers send requests and leave.
 * Guards against requests that reach endpoints after their callers have disconnected or after their
 * route's timeout, and against deadlines that ignore the time in which a request was not read.
 */
class LateEventLoopTest {
  private static final long BLOCK_MILLIS = 2_000;
  private static final long SEND_AFTER_MILLIS = 200;

  /** Largest error of a deadline passed to an endpoint. */
  private static final long MAX_EXTRA_MILLIS = 500;

  private static final String KEPT = "kept";
  private static final String NEW = "new";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry north;

  /**
   * A test case.
   *
   * @param region the region of the endpoint; requests are sent to an entry in region north
   * @param connection whether the caller's connection is open before the event loop is blocked
   * @param timeoutMillis the timeout of the route
   * @param leaves whether the caller disconnects while the event loop is blocked
   * @param sends the expected number of sends to the endpoint
   */
  record TestCase(
      String region,
      String connection,
      RouteKind kind,
      int timeoutMillis,
      boolean leaves,
      int sends) {
    String service() {
      return String.join("-", region, connection, kind.name(), "" + timeoutMillis, "" + leaves)
          .toLowerCase(java.util.Locale.ROOT);
    }

    @Override
    public String toString() {
      return service();
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of("north", "south")
        .flatMap(
            region ->
                Stream.of(KEPT, NEW)
                    .flatMap(
                        connection ->
                            Stream.of(
                                new TestCase(
                                    region, connection, RouteKind.IDEMPOTENT, 6_000, true, 0),
                                new TestCase(
                                    region, connection, RouteKind.AT_MOST_ONCE, 6_000, true, 0),
                                new TestCase(
                                    region, connection, RouteKind.IDEMPOTENT, 1_500, false, 0),
                                new TestCase(
                                    region, connection, RouteKind.AT_MOST_ONCE, 2_200, false, 0),
                                new TestCase(
                                    region, connection, RouteKind.IDEMPOTENT, 6_000, false, 1))));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes =
        testCases()
            .map(
                t ->
                    FleetHarness.routeTo(
                        t.service(), t.kind(), false, 1, Duration.ofMillis(t.timeoutMillis())))
            .toList();
    List<ServiceSpec> services =
        testCases().map(t -> FleetHarness.serviceNamed(t.service())).toList();
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    north = fleet.startEntry("north", "north");
    FleetHarness.Entry south = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    fleet.announce("anywhere", "other", "north", 1, 1);
    fleet.awaitReady(north);
    fleet.awaitReady(south);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void handlesRequestsThatWaitedUnread(TestCase testCase) throws Exception {
    try (ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 1, List.of())) {
      String service = testCase.service();
      fleet.keepAnnouncing(service + 1, service, testCase.region(), endpoints.ports().get(0));
      awaitServed(testCase);
      Socket kept = connect();
      TimeUnit.MILLISECONDS.sleep(150);
      CountDownLatch blocked = blockEventLoop();
      blocked.await();
      TimeUnit.MILLISECONDS.sleep(SEND_AFTER_MILLIS);
      Socket caller = testCase.connection().equals(KEPT) ? kept : connect();
      send(caller, service);
      if (testCase.leaves()) {
        TimeUnit.MILLISECONDS.sleep(SEND_AFTER_MILLIS);
        caller.close();
        TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
      } else {
        String expectedStatus = testCase.sends() > 0 ? "HTTP/1.1 200" : "HTTP/1.1 503";
        assertThat(readHead(caller), containsString(expectedStatus));
      }
      caller.close();
      kept.close();
      assertThat(endpoints.heads(), testCase.sends() == 0 ? empty() : hasSize(testCase.sends()));
      for (String head : endpoints.heads()) {
        long deadlineMillis = Long.parseLong(RawRequests.header(head, "x-deadline"));
        long waitedMillis = BLOCK_MILLIS - SEND_AFTER_MILLIS;
        assertThat(
            "the deadline passed on is not much longer than the remaining time",
            deadlineMillis,
            lessThanOrEqualTo(testCase.timeoutMillis() - waitedMillis + MAX_EXTRA_MILLIS));
      }
      assertThat(
          fleet.onContext(() -> Future.succeededFuture(north.server().inFlight())), equalTo(0));
    }
  }

  private static CountDownLatch blockEventLoop() {
    CountDownLatch blocked = new CountDownLatch(1);
    fleet
        .vertx()
        .runOnContext(
            v -> {
              blocked.countDown();
              try {
                TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    return blocked;
  }

  private static void awaitServed(TestCase testCase) throws Exception {
    if (testCase.region().equals("north")) {
      fleet.awaitEndpoints(north, testCase.service(), 1);
      return;
    }
    for (int i = 0; i < 400; i++) {
      boolean served =
          fleet.onContext(
              () ->
                  Future.succeededFuture(
                      !north.node().entriesOf("south").isEmpty()
                          && north
                              .node()
                              .regionLoads()
                              .serves(
                                  "south",
                                  testCase.service(),
                                  new MonotonicInstantSource().instant())));
      if (served) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(25);
    }
    throw new AssertionError("entry north has not received the load of region south");
  }

  private static Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", north.publicPort());
    socket.setSoTimeout(8_000);
    return socket;
  }

  private static void send(Socket caller, String service) throws IOException {
    String head =
        "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id-%s\r\nX-Deadline: 10000\r\nContent-Length: 4\r\n\r\nbody"
            .formatted(service, service);
    caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }

  private static String readHead(Socket caller) throws IOException {
    byte[] bytes = new byte[4_096];
    int count = caller.getInputStream().read(bytes);
    return new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
  }
}
