package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against responses of an entry that cannot be matched to their request by its id. */
class ResponseWithoutRequestIdTest {
  private static final int MAX_BODY_BYTES = 64;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String BODY = RawCaller.lengthAndBody("a body");
  private static final String KEY = "Authorization: Bearer key\r\n";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case.
   *
   * @param relayed whether an entry of another region sends the request, not a caller
   * @param name the name of the service, unique
   * @param action what the endpoint does, empty if there is none
   * @param headers further headers of the request
   * @param body the end of the head and the body
   */
  record TestCase(
      boolean relayed,
      String name,
      RouteKind kind,
      Optional<Action> action,
      String headers,
      String body,
      int status) {
    static TestCase of(boolean relayed, String name, RouteKind kind, Action action, int status) {
      return new TestCase(
          relayed, name, kind, Optional.of(action), relayed ? "" : KEY, BODY, status);
    }

    static TestCase refused(boolean relayed, String name, String headers, String body, int status) {
      return new TestCase(
          relayed, name, RouteKind.AT_MOST_ONCE, Optional.empty(), headers, body, status);
    }

    String id() {
      return "id-" + name;
    }

    String bytes() {
      String relayHeaders = relayed ? RawCaller.relayHeaders(name, kind, id(), TIMEOUT) : "";
      return RawCaller.head("POST", "/" + name + "/x", id(), TIMEOUT)
          + relayHeaders
          + headers
          + body;
    }

    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> testCases() {
    RouteKind once = RouteKind.AT_MOST_ONCE;
    String tooLarge = RawCaller.lengthAndBody("b".repeat(MAX_BODY_BYTES + 1));
    String incomplete = "Content-Length: 4\r\n\r\nab";
    List<TestCase> cases = new ArrayList<>();
    for (boolean relayed : List.of(false, true)) {
      String prefix = relayed ? "entry-" : "caller-";
      String key = relayed ? "" : KEY;
      cases.addAll(
          List.of(
              TestCase.of(relayed, prefix + "served", once, Action.ANSWER, 200),
              TestCase.of(relayed, prefix + "no-id", once, Action.NO_ID, 200),
              TestCase.of(relayed, prefix + "stream", RouteKind.STREAM, Action.STREAM, 200),
              TestCase.of(
                  relayed, prefix + "stream-no-id", RouteKind.STREAM, Action.STREAM_NO_ID, 200),
              TestCase.of(relayed, prefix + "error", once, Action.ERROR, 500),
              TestCase.of(relayed, prefix + "closed", once, Action.CLOSE, 502),
              TestCase.of(relayed, prefix + "full", once, Action.FULL, 503),
              TestCase.of(relayed, prefix + "hangs", once, Action.HANG, 504),
              TestCase.refused(relayed, prefix + "no-endpoint", key, BODY, 503),
              TestCase.refused(relayed, prefix + "body-incomplete", key, incomplete, 408),
              TestCase.refused(relayed, prefix + "body-too-large", key, tooLarge, 413)));
    }
    cases.add(TestCase.refused(false, "caller-no-key", "", BODY, 401));
    cases.add(
        TestCase.refused(false, "caller-no-quota", "Authorization: Bearer small\r\n", BODY, 429));
    return cases.stream();
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes =
        testCases().map(c -> FleetHarness.routeTo(c.name(), c.kind(), false, 1, TIMEOUT)).toList();
    Quota nothing = new Quota(0.001, 0.5, Quota.Unit.REQUESTS, 0);
    RouteTable table =
        new RouteTable(
            1,
            routes,
            FleetHarness.servicesOf(routes),
            new RequestLimits(16_384, MAX_BODY_BYTES, TIMEOUT, Duration.ofSeconds(15)),
            List.of(
                organisation("key", Optional.empty()),
                organisation("small", Optional.of(nothing))));
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("entry", "north");
    fleet.activateAndAwaitReady(1, List.of(entry));
  }

  private static Organisation organisation(String key, Optional<Quota> quota) {
    return new Organisation("of-" + key, Set.of(key), OptionalInt.empty(), quota, Set.of());
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void responseHasTheIdOfItsRequest(TestCase testCase) throws Exception {
    List<Action> script = testCase.action().stream().toList();
    try (ScriptedEndpoints endpoints =
        new ScriptedEndpoints(fleet.vertx(), script.size(), script)) {
      for (int port : endpoints.ports()) {
        fleet.keepAnnouncing("e" + port, testCase.name(), "north", port);
      }
      fleet.awaitEndpoints(entry, testCase.name(), script.size());
      assertResponse(
          testCase.relayed(), testCase.bytes(), testCase.status(), Optional.of(testCase.id()));
    }
  }

  /** Requests that are refused before a route applies. */
  static Stream<TestCase> requestsWithoutRoute() {
    return Stream.of(
        TestCase.refused(false, "unknown", KEY, BODY, 404),
        TestCase.refused(true, "no-mark", "", BODY, 400));
  }

  @ParameterizedTest
  @MethodSource("requestsWithoutRoute")
  void refusalHasTheIdOfItsRequest(TestCase testCase) throws Exception {
    String request =
        RawCaller.head("POST", "/" + testCase.name() + "/x", testCase.id(), TIMEOUT)
            + testCase.headers()
            + testCase.body();
    assertResponse(testCase.relayed(), request, testCase.status(), Optional.of(testCase.id()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a\tb", "é", "a, b"})
  void refusalEchoesUnusualIds(String id) throws Exception {
    String request = RawCaller.head("POST", "/unknown/x", id, TIMEOUT) + BODY;
    assertResponse(/* relayed= */ false, request, 404, Optional.of(id));
  }

  static Stream<TestCase> requestsWithoutId() {
    return Stream.of(
        TestCase.refused(false, "caller-without-id", KEY, BODY, 400),
        TestCase.refused(true, "entry-without-id", "", BODY, 400));
  }

  @ParameterizedTest
  @MethodSource("requestsWithoutId")
  void refusalOfRequestWithoutIdHasNone(TestCase testCase) throws Exception {
    String request =
        RawCaller.head("POST", "/caller-served/x", "", TIMEOUT)
                .replaceFirst("X-Request-Id: \r\n", "")
            + testCase.headers()
            + testCase.body();
    assertResponse(testCase.relayed(), request, testCase.status(), Optional.empty());
  }

  /** Sends a request to the entry and checks the status and the id of the response. */
  private static void assertResponse(
      boolean relayed, String request, int status, Optional<String> id) throws Exception {
    int port = relayed ? entry.relayPort() : entry.publicPort();
    try (RawCaller sender = new RawCaller(port)) {
      sender.write(request);
      RawCaller.Response response = sender.readResponse(false).orElseThrow();
      assertThat(response.toString(), response.status(), equalTo(status));
      assertThat(response.toString(), response.header("X-Request-Id"), equalTo(id));
    }
  }
}
