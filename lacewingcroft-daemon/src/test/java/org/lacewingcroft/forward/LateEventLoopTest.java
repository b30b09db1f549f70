package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesRegex;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
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
 * Blocks the event loop of the entry that reaches the endpoint for two seconds while callers send
 * requests and leave. Guards against requests that reach endpoints after their callers have
 * disconnected or after their route's timeout, and against deadlines that ignore the time in which
 * a request was not read.
 */
class LateEventLoopTest {
  private static final long BLOCK_MILLIS = 2_000;
  private static final long SEND_AFTER_MILLIS = 200;

  /** Largest error of a deadline and of a cancellation, from the design page. */
  private static final long MAX_EXTRA_MILLIS = 500;

  /** Length of each iteration in the test of sustained delay, and the seed of its callers. */
  private static final long SUSTAINED_DELAY_MILLIS = 300;

  private static final long SEED = 5;
  private static final String SUSTAINED = "sustained";
  private static final String PIPELINED = "pipelined";
  private static final String KEPT = "kept";
  private static final String NEW = "new";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry north;
  private static Vertx southVertx;

  /**
   * A test case.
   *
   * @param region the region of the endpoint, whose entry is blocked; callers send their requests
   *     to the entry in region north, which relays them if the endpoint is in region south
   * @param connection whether the connections of the caller and to the endpoint are open and have
   *     been used before the event loop is blocked
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

    /**
     * Returns the pattern of the response. The entry in region north responds with 504 to a request
     * that it has relayed and that the blocked entry may have run.
     */
    String statusLine() {
      if (sends > 0) {
        return "HTTP/1.1 200 (?s).*";
      }
      return region.equals("north") ? "HTTP/1.1 503 (?s).*" : "HTTP/1.1 50[34] (?s).*";
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
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    routes.add(
        FleetHarness.routeTo(SUSTAINED, RouteKind.IDEMPOTENT, false, 1, Duration.ofSeconds(6)));
    services.add(FleetHarness.serviceNamed(SUSTAINED));
    routes.add(
        FleetHarness.routeTo(PIPELINED, RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(6)));
    services.add(FleetHarness.serviceNamed(PIPELINED));
    testCases()
        .forEach(
            t -> {
              services.add(FleetHarness.serviceNamed(t.service()));
              routes.add(
                  FleetHarness.routeTo(
                      t.service(), t.kind(), false, 1, Duration.ofMillis(t.timeoutMillis())));
            });
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    north = fleet.startEntry("north", "north");
    southVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    FleetHarness.Entry south = fleet.startEntryOn(southVertx, "south", "south");
    fleet.activateRouteTable(1);
    fleet.announce("anywhere", "other", "north", 1, 1);
    fleet.awaitReady(north);
    fleet.awaitReady(south);
  }

  @AfterAll
  static void stop() throws Exception {
    southVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
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
      if (testCase.connection().equals(KEPT)) {
        send(kept, service, "earlier");
        readHead(kept);
      }
      TimeUnit.MILLISECONDS.sleep(150);
      CountDownLatch blocked =
          blockEventLoop(testCase.region().equals("north") ? fleet.vertx() : southVertx);
      blocked.await();
      TimeUnit.MILLISECONDS.sleep(SEND_AFTER_MILLIS);
      Socket caller = testCase.connection().equals(KEPT) ? kept : connect();
      send(caller, service);
      if (testCase.leaves()) {
        TimeUnit.MILLISECONDS.sleep(SEND_AFTER_MILLIS);
        caller.close();
        TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
      } else {
        assertThat(readHead(caller), matchesRegex(testCase.statusLine()));
        // A request that is late at the relay entry would reach the endpoint after the block.
        TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
      }
      caller.close();
      kept.close();
      List<String> heads =
          endpoints.heads().stream().filter(h -> !h.contains("x-request-id: earlier")).toList();
      assertThat(heads, testCase.sends() == 0 ? empty() : hasSize(testCase.sends()));
      for (String head : heads) {
        long waitedMillis = BLOCK_MILLIS - SEND_AFTER_MILLIS;
        assertThat(
            "the deadline passed on is not much longer than the remaining time",
            deadlineOf(head),
            lessThanOrEqualTo(testCase.timeoutMillis() - waitedMillis + MAX_EXTRA_MILLIS));
      }
      assertThat(
          fleet.onContext(() -> Future.succeededFuture(north.server().inFlight())), equalTo(0));
    }
  }

  /**
   * Guards against requests that are sent after their callers have disconnected while they wait for
   * a connection: every iteration of the event loop is late, callers leave at any time, and each
   * send needs a new connection. Without the mend, 31 of 80 sends were 404 to 1,192 ms late.
   */
  @Test
  void sendsNothingForCallersThatLeftDuringSustainedDelay() throws Exception {
    Map<String, Long> receivedNanos = new ConcurrentHashMap<>();
    Map<String, Long> leftNanos = new ConcurrentHashMap<>();
    Vertx endpointVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    NetServer endpoint =
        endpointVertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.exceptionHandler(e -> {});
                  RawRequests.read(
                      socket,
                      (head, body) -> {
                        String id = RawRequests.header(head, "x-request-id");
                        // Probes of the endpoint have other ids.
                        if (id.startsWith("id-")) {
                          receivedNanos.put(id, System.nanoTime());
                        }
                        socket.write(
                            "HTTP/1.1 200 OK\r\nX-Proof: signed\r\nX-Request-Id: "
                                + id
                                + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                      });
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    fleet.keepAnnouncing("sustained1", SUSTAINED, "north", endpoint.actualPort());
    fleet.awaitEndpoints(north, SUSTAINED, 1);
    final long timer = fleet.vertx().setPeriodic(1, id -> sleep(SUSTAINED_DELAY_MILLIS));
    Random random = new Random(SEED);
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      String id = "id-" + i;
      long leaveAfterMillis = random.nextInt(900);
      Thread caller = new Thread(() -> callAndLeave(id, leaveAfterMillis, leftNanos));
      caller.start();
      callers.add(caller);
      sleep(random.nextInt(100));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    fleet.vertx().cancelTimer(timer);
    sleep(BLOCK_MILLIS);
    endpointVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    List<Long> lateMillis =
        receivedNanos.entrySet().stream()
            .map(e -> (e.getValue() - leftNanos.get(e.getKey())) / 1_000_000)
            .filter(late -> late > MAX_EXTRA_MILLIS)
            .toList();
    assertThat("some requests are served", receivedNanos.isEmpty(), equalTo(false));
    assertThat(
        receivedNanos.size() + " sends, milliseconds after the caller left", lateMillis, empty());
  }

  /**
   * Guards against a pipelined request whose timeout begins when the response before it is
   * complete, although it was read long before.
   */
  @Test
  void countsPipelinedRequestFromItsReading() throws Exception {
    List<ScriptedEndpoints.Action> script =
        List.of(ScriptedEndpoints.Action.SLOW, ScriptedEndpoints.Action.ANSWER);
    try (ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 1, script);
        Socket caller = connect()) {
      fleet.keepAnnouncing("pipelined1", PIPELINED, "north", endpoints.ports().get(0));
      fleet.awaitEndpoints(north, PIPELINED, 1);
      send(caller, PIPELINED, "first");
      send(caller, PIPELINED, "second");
      for (int i = 0; i < 500 && endpoints.heads().size() < 2; i++) {
        sleep(10);
      }
      assertThat(endpoints.heads(), hasSize(2));
      long firstMillis = deadlineOf(endpoints.heads().get(0));
      assertThat(
          deadlineOf(endpoints.heads().get(1)),
          lessThanOrEqualTo(firstMillis - ScriptedEndpoints.SLOW_RESPONSE_DELAY_MILLIS + 200));
    }
  }

  private static long deadlineOf(String head) {
    return Long.parseLong(RawRequests.header(head, "x-deadline"));
  }

  private static void callAndLeave(String id, long leaveAfterMillis, Map<String, Long> leftNanos) {
    try (Socket caller = connect()) {
      send(caller, SUSTAINED, id);
      sleep(leaveAfterMillis);
      leftNanos.put(id, System.nanoTime());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static CountDownLatch blockEventLoop(Vertx vertx) {
    CountDownLatch blocked = new CountDownLatch(1);
    vertx.runOnContext(
        v -> {
          blocked.countDown();
          sleep(BLOCK_MILLIS);
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
    send(caller, service, "id-" + service);
  }

  private static void send(Socket caller, String service, String id) throws IOException {
    String head =
        ("POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: %s\r\n"
                + "X-Deadline: 10000\r\nContent-Length: 4\r\n\r\nbody")
            .formatted(service, id);
    caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }

  private static String readHead(Socket caller) throws IOException {
    byte[] bytes = new byte[4_096];
    int count = caller.getInputStream().read(bytes);
    return new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
  }
}
