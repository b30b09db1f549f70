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
 * Checks that an entry sends no requests to an endpoint during the pause that it requested with {@code
 * Retry-After}. Guards against entries that ignore the header and send again after the duration of one
 * request: endpoints that responded with 503 and requested a pause of three seconds received up to
 * nine requests from one entry during it.
 */
class PausedEndpointTest {
  private static final Duration RUN = Duration.ofSeconds(11);
  private static final Duration BEFORE_STATED = Duration.ofMillis(500);
  private static final Duration RECOVERY = Duration.ofSeconds(8);

  /** Maximum number of requests from one entry during a pause, except at its beginning. */
  private static final int MOST_IN_PAUSE = 2;

  /** Beginning of a pause, in which requests that were in flight before may still arrive. */
  private static final long BEGINNING_MILLIS = 500;
  private static final String NOT_RUN = "X-Not-Run: 1\r\n";

  @TempDir private static Path folder;
  private static StatingFleet fleet;

  /**
   * A test case: how many of two endpoints reject all requests, the pause that they request, and the
   * status and further headers of their responses.
   */
  record Row(String name, int paused, String seconds, String status, String statement) {
    @Override
    public String toString() {
      return name;
    }

    private Stream<StatingEndpoints.Stating> endpoints() {
      return fleet.endpoints(name, paused).stream();
    }

    private long pauseMillis() {
      return Math.round(Double.parseDouble(seconds) * 1_000);
    }
  }

  static Stream<Row> rows() {
    String full = "503 Full";
    return Stream.of(
        new Row("one-of-two", 1, "3", full, NOT_RUN),
        new Row("all", 2, "3", full, NOT_RUN),
        new Row("fraction", 2, "1.5", full, NOT_RUN),
        new Row("too-many", 2, "3", "429 Too Many Requests", NOT_RUN),
        new Row("silent-on-runs", 1, "3", full, ""));
  }

  @BeforeAll
  static void run() throws Exception {
    fleet = new StatingFleet(folder, rows().collect(Collectors.toMap(Row::name, row -> "200 OK")));
    fleet.callDuring(RUN, BEFORE_STATED, () -> rows().forEach(PausedEndpointTest::turnAway));
  }

  private static void turnAway(Row row) {
    String headers = row.statement() + "Retry-After: " + row.seconds() + "\r\n";
    row.endpoints().forEach(e -> e.state(headers, row.status()));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void endpointGetsNothingFromAnEntryInThePauseThatItAskedFor(Row row) {
    row.endpoints()
        .forEach(
            endpoint -> {
              List<StatingEndpoints.Arrival> arrivals = endpoint.whileStated(0);
              for (String entry : fleet.entriesOfRegion()) {
                int most =
                    StatingEndpoints.mostAfterEach(
                        arrivals,
                        a -> a.id().startsWith(entry),
                        BEGINNING_MILLIS,
                        row.pauseMillis());
                assertThat(row + " from " + entry, most, lessThanOrEqualTo(MOST_IN_PAUSE));
              }
              assertThat("receives requests again after the pause", arrivals, not(empty()));
            });
  }

  /**
   * Requests from another region carry the name of the entry that relayed them, not of the entry that
   * sent them to the endpoint, so that the bound applies to all entries of the region together.
   */
  @ParameterizedTest
  @MethodSource("rows")
  void relaysKeepThePauseToo(Row row) {
    row.endpoints()
        .forEach(
            endpoint -> {
              int most =
                  StatingEndpoints.mostAfterEach(
                      endpoint.whileStated(0),
                      a -> a.id().startsWith(StatingFleet.OTHER_REGION),
                      BEGINNING_MILLIS,
                      row.pauseMillis());
              int allowed = MOST_IN_PAUSE * fleet.entriesOfRegion().size();
              assertThat(row + " relayed", most, lessThanOrEqualTo(allowed));
            });
  }

  @ParameterizedTest
  @MethodSource("rows")
  void endpointsThatTakeRequestsAgainAreUsedAfterThePause(Row row) throws Exception {
    row.endpoints().forEach(StatingEndpoints.Stating::stateNothing);
    fleet.awaitServed(row.name(), RECOVERY);
    assertThat("refused without Retry-After", fleet.refusedWithoutPause(), empty());
  }
}
