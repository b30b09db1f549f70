package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.FaultyEndpoints.Fault;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Checks that a prompt part that crashes endpoints is quarantined while requests with the other
 * parts of these prompts are served. No two requests are alike, so that each content crashes one
 * endpoint at most, and each crash also ends requests with the shared parts.
 */
class CrashingPromptPartTest {
  /** Crashes after which hardly any request with the part may be sent to an endpoint. */
  private static final int TOLERATED_CRASHES = 5;

  private static final int TOLERATED_SENDS = 3;

  /** Share of the earlier success rate at which requests with the other parts are served. */
  private static final double MIN_SERVED_RATIO = 0.9;

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_200);
  private static final Duration TRAFFIC_BEFORE = Duration.ofMillis(1_500);
  private static final Duration CRASHING_TRAFFIC = Duration.ofSeconds(6);

  /** Time after which the evidence has reached all entries and all endpoints are back. */
  private static final Duration SPREAD_TIME = Duration.ofSeconds(3);

  private static final long CRASHING_INTERVAL_MILLIS = 100;
  private static final List<String> ENDPOINT_REGIONS =
      List.of("north", "north", "north", "north", "south", "south");

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static final List<FleetHarness.Entry> ENTRIES = new ArrayList<>();

  /**
   * A test case: the kind of request, and the shared prompt parts of the crashing requests.
   *
   * @param crashingPrompt the parts of the crashing request with a given number
   */
  record TestCase(
      String service,
      RouteKind kind,
      boolean resumable,
      int attempts,
      IntFunction<List<String>> crashingPrompt) {
    @Override
    public String toString() {
      return service;
    }
  }

  static Stream<TestCase> testCases() {
    IntFunction<List<String>> middle = i -> List.of("first", "common-" + i % 3, "poison-1");
    IntFunction<List<String>> second = i -> List.of("first", "poison-1", "common-" + i % 3);
    IntFunction<List<String>> deep =
        i -> List.of("first", "common-0", "common-1", "a", "b", "c", "d", "poison-1", "e");
    IntFunction<List<String>> oneOfTwo =
        i -> List.of("first", "common-" + i % 3, "poison-" + i % 2);
    return Stream.of(
        new TestCase("once", RouteKind.AT_MOST_ONCE, false, 1, middle),
        new TestCase("sent-again", RouteKind.IDEMPOTENT, false, 2, second),
        new TestCase("stream", RouteKind.STREAM, false, 1, deep),
        new TestCase("resumable-stream", RouteKind.STREAM, true, 2, middle),
        new TestCase("deep-once", RouteKind.AT_MOST_ONCE, false, 1, deep),
        new TestCase("one-of-two", RouteKind.AT_MOST_ONCE, false, 1, oneOfTwo));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    for (TestCase testCase : testCases().toList()) {
      routes.add(
          FleetHarness.routeTo(
              testCase.service(),
              testCase.kind(),
              testCase.resumable(),
              testCase.attempts(),
              REQUEST_TIMEOUT));
      services.add(FleetHarness.serviceNamed(testCase.service()));
    }
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    for (String region : List.of("north", "north", "north", "south")) {
      ENTRIES.add(fleet.startEntry(region + "-" + ENTRIES.size(), region));
    }
    fleet.activateRouteTable(1);
    fleet.announce("anywhere", "other", "north", 1, 1);
    for (FleetHarness.Entry entry : ENTRIES) {
      fleet.awaitReady(entry);
    }
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void crashingPromptPartIsQuarantined(TestCase testCase) throws Exception {
    try (FaultyEndpoints endpoints =
        new FaultyEndpoints(
            fleet,
            testCase.service(),
            ENDPOINT_REGIONS,
            testCase.kind() == RouteKind.STREAM,
            Fault.CRASH)) {
      for (FleetHarness.Entry entry : ENTRIES) {
        fleet.awaitEndpoints(entry, testCase.service(), ENDPOINT_REGIONS.size());
      }
      try (PromptTraffic sound =
          new PromptTraffic(
              ENTRIES,
              testCase.service(),
              i -> partsOf(testCase, List.of("first", "common-" + i % 3)))) {
        TimeUnit.MILLISECONDS.sleep(TRAFFIC_BEFORE.toMillis());
        final PromptTraffic.Result before = sound.takeResult();
        sendCrashing(testCase, SPREAD_TIME);
        sound.takeResult();
        sendCrashing(testCase, CRASHING_TRAFFIC.minus(SPREAD_TIME));
        final PromptTraffic.Result after = sound.takeResult();
        int sends = endpoints.poisonRunsAfterCrash(TOLERATED_CRASHES);
        System.out.printf(
            "%s: %d crashes, %d sends after the fifth, served %s before and %s after%n",
            testCase, endpoints.crashes(), sends, before, after);
        assertThat("sends after the fifth crash", sends, lessThanOrEqualTo(TOLERATED_SENDS));
        assertThat(
            "share served with the other parts",
            after.servedRatio(),
            greaterThanOrEqualTo(MIN_SERVED_RATIO * before.servedRatio()));
      }
    }
  }

  private static void sendCrashing(TestCase testCase, Duration duration)
      throws InterruptedException {
    long count = duration.toMillis() / CRASHING_INTERVAL_MILLIS;
    for (int i = 0; i < count; i++) {
      PromptTraffic.sendAsync(
          ENTRIES.get(i % ENTRIES.size()),
          testCase.service(),
          partsOf(testCase, testCase.crashingPrompt().apply(i)));
      TimeUnit.MILLISECONDS.sleep(CRASHING_INTERVAL_MILLIS);
    }
  }

  /** Returns part ids that no other test case has. */
  private static List<String> partsOf(TestCase testCase, List<String> parts) {
    return parts.stream().map(part -> part + "-" + testCase.service()).toList();
  }
}
