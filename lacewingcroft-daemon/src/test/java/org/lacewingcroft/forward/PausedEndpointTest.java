package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that an entry sends no requests to an endpoint during the pause that the endpoint
 * requested with {@code Retry-After}. Guards against entries that ignore the header and send again
 * after the duration of one request: endpoints that responded with 503 and requested a pause of
 * three seconds received up to nine requests from one entry during it.
 */
class PausedEndpointTest {
  private static final Duration RUN_DURATION = Duration.ofSeconds(11);
  private static final Duration ADVERTISE_DELAY = Duration.ofMillis(500);
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(8);

  /** Maximum number of requests from one entry during a pause, except at its beginning. */
  private static final int MAX_REQUESTS_IN_PAUSE = 2;

  /** Beginning of a pause, in which requests that were in flight before may still arrive. */
  private static final long PAUSE_BEGINNING_MILLIS = 500;

  private static final String NOT_RUN_HEADER = "X-Not-Run: 1\r\n";

  @TempDir private static Path folder;
  private static AdvertisingFleet fleet;

  /**
   * A test case: how many of two endpoints reject all requests, the pause that they request, and
   * the status and further headers of their responses.
   */
  record TestCase(String name, int paused, String pauseSeconds, String status, String headers) {
    @Override
    public String toString() {
      return name;
    }

    private Stream<AdvertisingEndpoints.Endpoint> endpoints() {
      return fleet.endpoints(name, paused).stream();
    }

    private long pauseMillis() {
      return Math.round(Double.parseDouble(pauseSeconds) * 1_000);
    }
  }

  static Stream<TestCase> testCases() {
    String full = "503 Full";
    return Stream.of(
        new TestCase("one-of-two", 1, "3", full, NOT_RUN_HEADER),
        new TestCase("all", 2, "3", full, NOT_RUN_HEADER),
        new TestCase("fraction", 2, "1.5", full, NOT_RUN_HEADER),
        new TestCase("too-many", 2, "3", "429 Too Many Requests", NOT_RUN_HEADER),
        new TestCase("silent-on-runs", 1, "3", full, ""));
  }

  @BeforeAll
  static void run() throws Exception {
    fleet =
        new AdvertisingFleet(
            folder, testCases().collect(Collectors.toMap(TestCase::name, testCase -> "200 OK")));
    fleet.callDuring(
        RUN_DURATION,
        ADVERTISE_DELAY,
        () -> testCases().forEach(PausedEndpointTest::rejectRequests));
  }

  private static void rejectRequests(TestCase testCase) {
    String headers = testCase.headers() + "Retry-After: " + testCase.pauseSeconds() + "\r\n";
    testCase.endpoints().forEach(e -> e.advertise(headers, testCase.status()));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void entryObservesTheRequestedPause(TestCase testCase) {
    testCase
        .endpoints()
        .forEach(
            endpoint -> {
              List<AdvertisingEndpoints.Arrival> arrivals = endpoint.arrivalsWhileAdvertising(0);
              for (String entry : fleet.entriesInEndpointRegion()) {
                int max =
                    AdvertisingEndpoints.maxArrivalsAfterEach(
                        arrivals,
                        a -> a.id().startsWith(entry),
                        PAUSE_BEGINNING_MILLIS,
                        testCase.pauseMillis());
                assertThat(
                    testCase + " from " + entry, max, lessThanOrEqualTo(MAX_REQUESTS_IN_PAUSE));
              }
              assertThat("receives requests again after the pause", arrivals, not(empty()));
            });
  }

  /**
   * Requests from another region carry the name of the entry that relayed them, not of the entry
   * that sent them to the endpoint, so that the bound applies to all entries of the region
   * together.
   */
  @ParameterizedTest
  @MethodSource("testCases")
  void relayedRequestsObserveTheRequestedPause(TestCase testCase) {
    testCase
        .endpoints()
        .forEach(
            endpoint -> {
              int max =
                  AdvertisingEndpoints.maxArrivalsAfterEach(
                      endpoint.arrivalsWhileAdvertising(0),
                      a -> a.id().startsWith(AdvertisingFleet.ENTRY_IN_OTHER_REGION),
                      PAUSE_BEGINNING_MILLIS,
                      testCase.pauseMillis());
              int allowed = MAX_REQUESTS_IN_PAUSE * fleet.entriesInEndpointRegion().size();
              assertThat(testCase + " relayed", max, lessThanOrEqualTo(allowed));
            });
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void recoveredEndpointsAreUsedAfterThePause(TestCase testCase) throws Exception {
    testCase.endpoints().forEach(AdvertisingEndpoints.Endpoint::stopAdvertising);
    fleet.awaitServed(testCase.name(), RECOVERY_TIMEOUT);
    assertThat("refused without Retry-After", fleet.refusedWithoutRetryAfter(), empty());
  }
}
