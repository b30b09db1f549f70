package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that all entries together observe the rate limit that an endpoint advertises. Guards
 * against entries that ignore the rate limit header: endpoints that advertised 1.1 and 1.8 requests
 * per second received 12 and 48 requests in four seconds from entries that had received the header.
 */
class RateLimitedEndpointTest {
  private static final Duration RUN_DURATION = Duration.ofSeconds(11);
  private static final Duration ADVERTISE_DELAY = Duration.ofMillis(500);
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

  /**
   * Window in which at most {@link #OVERSHOOT} times the advertised rate plus {@link #SLACK}
   * requests arrive.
   */
  private static final long WINDOW_MILLIS = 4_000;

  private static final double OVERSHOOT = 1.5;
  private static final int SLACK = 5;

  /** Maximum time until all entries of the region have received the limit. */
  private static final long MAX_PROPAGATION_MILLIS = 1_000;

  @TempDir private static Path folder;
  private static AdvertisingFleet fleet;

  /**
   * A test case: the advertised rate in requests per second, how many of two endpoints advertise
   * it, and the status of their responses.
   */
  record TestCase(String name, String rate, int limited, String status) {
    @Override
    public String toString() {
      return name;
    }

    private long allowed() {
      return Math.round(OVERSHOOT * Double.parseDouble(rate) * WINDOW_MILLIS / 1_000 + SLACK);
    }

    private Stream<AdvertisingEndpoints.Endpoint> endpoints() {
      return fleet.endpoints(name, limited).stream();
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase("one-of-two", "1.1", 1, "200 OK"),
        new TestCase("all", "1.8", 2, "200 OK"),
        new TestCase("nothing-at-all", "0", 2, "200 OK"),
        new TestCase("very-low", "0.2", 2, "200 OK"),
        new TestCase("higher", "8", 2, "200 OK"),
        new TestCase("second-attempts", "1.1", 2, "500 Broken"));
  }

  static Stream<TestCase> servedTestCases() {
    return testCases().filter(testCase -> testCase.status().startsWith("200"));
  }

  @BeforeAll
  static void run() throws Exception {
    fleet =
        new AdvertisingFleet(
            folder, testCases().collect(Collectors.toMap(TestCase::name, TestCase::status)));
    fleet.callDuring(
        RUN_DURATION,
        ADVERTISE_DELAY,
        () ->
            testCases()
                .forEach(
                    testCase ->
                        testCase
                            .endpoints()
                            .forEach(e -> e.advertise("X-Rate-Limit: " + testCase.rate + "\r\n"))));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void allEntriesTogetherObserveTheAdvertisedRate(TestCase testCase) {
    testCase
        .endpoints()
        .forEach(
            e -> {
              long max = e.maxArrivalsWithin(WINDOW_MILLIS, MAX_PROPAGATION_MILLIS);
              assertThat(
                  testCase + " at " + testCase.rate(), max, lessThanOrEqualTo(testCase.allowed()));
              assertThat("receives requests at all", e.arrivals().size(), greaterThan(0));
            });
    assertThat("refused without Retry-After", fleet.refusedWithoutRetryAfter(), empty());
  }

  @ParameterizedTest
  @MethodSource("servedTestCases")
  void endpointsWithoutRateLimitAreUsedFully(TestCase testCase) throws Exception {
    testCase.endpoints().forEach(AdvertisingEndpoints.Endpoint::stopAdvertising);
    fleet.awaitServed(testCase.name(), RECOVERY_TIMEOUT);
  }
}
