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
 * Checks that an entry stops sending requests to an endpoint that announces in a response that it is
 * draining. Guards against entries that rely on the control instances alone: they keep sending
 * requests for as long as the endpoint's announcements carry the state READY.
 */
class LeavingEndpointTest {
  private static final Duration RUN = Duration.ofSeconds(8);
  private static final Duration BEFORE_STATED = Duration.ofMillis(500);

  /** Time from the first such response until no request of the same entry can be in flight any more. */
  private static final long UNDER_WAY_MILLIS = 1_000;

  @TempDir private static Path folder;
  private static StatingFleet fleet;

  /** A test case: how many of two endpoints are draining, and the status of their responses. */
  record Row(String name, int leaving, String status) {
    @Override
    public String toString() {
      return name;
    }

    private Stream<StatingEndpoints.Stating> endpoints() {
      return fleet.endpoints(name, leaving).stream();
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("one-of-two", 1, "200 OK"),
        new Row("all", 2, "200 OK"),
        new Row("fails-meanwhile", 2, "500 Broken"));
  }

  @BeforeAll
  static void run() throws Exception {
    fleet = new StatingFleet(folder, rows().collect(Collectors.toMap(Row::name, row -> "200 OK")));
    fleet.callDuring(
        RUN,
        BEFORE_STATED,
        () ->
            rows()
                .forEach(
                    row ->
                        row.endpoints().forEach(e -> e.state("X-Leaving: 1\r\n", row.status()))));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void endpointGetsNothingFromEntriesThatItHasTold(Row row) {
    row.endpoints()
        .forEach(
            endpoint -> {
              List<StatingEndpoints.Arrival> arrivals = endpoint.whileStated(0);
              for (String entry : fleet.entriesOfRegion()) {
                int late =
                    StatingEndpoints.mostAfterEach(
                        arrivals, a -> a.id().startsWith(entry), UNDER_WAY_MILLIS, RUN.toMillis());
                assertThat(row + " from " + entry, late, is(0));
              }
            });
    assertThat("refused without a pause", fleet.refusedWithoutPause(), is(empty()));
  }
}
