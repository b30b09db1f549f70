package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

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
 * Checks that an entry stops sending requests to an endpoint that announces in a response that it
 * is draining. Guards against entries that rely on the control instances alone: they keep sending
 * requests for as long as the endpoint's announcements carry the state READY.
 */
class DrainingEndpointTest {
  private static final Duration RUN_DURATION = Duration.ofSeconds(8);
  private static final Duration ADVERTISE_DELAY = Duration.ofMillis(500);

  /**
   * Time from the first response of a draining endpoint until no request of the same entry can be
   * in flight any more.
   */
  private static final long IN_FLIGHT_MILLIS = 1_000;

  @TempDir private static Path folder;
  private static AdvertisingFleet fleet;

  /** A test case: how many of two endpoints are draining, and the status of their responses. */
  record TestCase(String name, int draining, String status) {
    @Override
    public String toString() {
      return name;
    }

    private Stream<AdvertisingEndpoints.Endpoint> endpoints() {
      return fleet.endpoints(name, draining).stream();
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase("one-of-two", 1, "200 OK"),
        new TestCase("all", 2, "200 OK"),
        new TestCase("fails-meanwhile", 2, "500 Broken"));
  }

  @BeforeAll
  static void run() throws Exception {
    fleet =
        new AdvertisingFleet(
            folder, testCases().collect(Collectors.toMap(TestCase::name, testCase -> "200 OK")));
    fleet.callDuring(
        RUN_DURATION,
        ADVERTISE_DELAY,
        () ->
            testCases()
                .forEach(
                    testCase ->
                        testCase
                            .endpoints()
                            .forEach(e -> e.advertise("X-Leaving: 1\r\n", testCase.status()))));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void entriesStopSendingToDrainingEndpoint(TestCase testCase) {
    testCase
        .endpoints()
        .forEach(
            endpoint -> {
              List<AdvertisingEndpoints.Arrival> arrivals = endpoint.arrivalsWhileAdvertising(0);
              for (String entry : fleet.entriesInEndpointRegion()) {
                int late =
                    AdvertisingEndpoints.maxArrivalsAfterEach(
                        arrivals,
                        a -> a.id().startsWith(entry),
                        IN_FLIGHT_MILLIS,
                        RUN_DURATION.toMillis());
                assertThat(testCase + " from " + entry, late, is(0));
              }
            });
    assertThat("refused without Retry-After", fleet.refusedWithoutRetryAfter(), is(empty()));
  }
}
