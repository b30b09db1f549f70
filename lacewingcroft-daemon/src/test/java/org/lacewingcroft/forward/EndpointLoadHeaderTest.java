package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.placement.EndpointRoom;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Guards against load headers that are read from successful responses only, from another
 * incarnation's response, or that have an effect although they are malformed or lack the pace.
 */
class EndpointLoadHeaderTest {
  private static final String ACCEPTED = "accepted";
  private static final String MALFORMED = "malformed";
  private static final String WITHOUT_PACE = "without_pace";
  private static final String NONE = "none";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;
  private static AdvertisingEndpoints endpoints;

  /**
   * A test case: the status and the header of a response, the room it shows, and the result under
   * which it is counted; none if it is not read.
   */
  record Row(String service, String status, String value, EndpointRoom room, String countedAs) {
    @Override
    public String toString() {
      return service;
    }
  }

  static Stream<Row> rows() {
    String notRun = "\r\nX-Not-Run: 1";
    return Stream.of(
        new Row("free", "200 OK", "2,0,12,100", EndpointRoom.FREE_SLOT, ACCEPTED),
        new Row("paced", "200 OK", "12,3,12,140", EndpointRoom.QUEUE, ACCEPTED),
        new Row("error", "500 Broken", "12,3,12,100", EndpointRoom.QUEUE, ACCEPTED),
        new Row("full", "503 Full", "12,36,12,100" + notRun, EndpointRoom.FULL, ACCEPTED),
        new Row(
            "other-incarnation",
            "421 Misdirected Request",
            "2,0,12,100",
            EndpointRoom.UNKNOWN,
            NONE),
        new Row("without-pace", "200 OK", "2,0,12", EndpointRoom.UNKNOWN, WITHOUT_PACE),
        new Row("malformed", "200 OK", "2,0", EndpointRoom.UNKNOWN, MALFORMED),
        new Row("negative", "200 OK", "-2,0,12", EndpointRoom.UNKNOWN, MALFORMED),
        new Row("no-slots", "200 OK", "2,0,0", EndpointRoom.UNKNOWN, MALFORMED),
        new Row("pace-out-of-range", "200 OK", "2,0,12,10001", EndpointRoom.UNKNOWN, MALFORMED));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Row> rows = rows().toList();
    RouteTable table =
        new RouteTable(
            1,
            rows.stream()
                .map(
                    r ->
                        FleetHarness.routeTo(
                            r.service(), RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(2)))
                .toList(),
            rows.stream().map(r -> FleetHarness.serviceNamed(r.service())).toList(),
            RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("north-0", "north");
    fleet.activateRouteTable(1);
    endpoints = new AdvertisingEndpoints(fleet.vertx(), rows.size(), "200 OK");
    for (int i = 0; i < rows.size(); i++) {
      Row row = rows.get(i);
      fleet.keepAnnouncing(
          row.service() + "-0", row.service(), "north", endpoints.all().get(i).port());
      endpoints.all().get(i).advertise("X-Load: " + row.value() + "\r\n", row.status());
    }
    fleet.awaitReady(entry);
    for (Row row : rows) {
      fleet.awaitEndpoints(entry, row.service(), 1);
    }
  }

  @AfterAll
  static void stop() throws Exception {
    endpoints.close();
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void responseShowsTheRoom(Row row) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + row.service() + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .header("X-Request-Id", row.service())
            .header("X-Deadline", "2000")
            .timeout(Duration.ofSeconds(4))
            .build();
    final double acceptedBefore = count(ACCEPTED);
    final double malformedBefore = count(MALFORMED);
    final double withoutPaceBefore = count(WITHOUT_PACE);
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    Map<String, EndpointRoom> rooms =
        fleet.onContext(() -> Future.succeededFuture(roomByService()));
    assertThat(rooms.get(row.service()), is(row.room()));
    assertThat(count(ACCEPTED) - acceptedBefore, is(row.countedAs().equals(ACCEPTED) ? 1.0 : 0.0));
    assertThat(
        count(MALFORMED) - malformedBefore, is(row.countedAs().equals(MALFORMED) ? 1.0 : 0.0));
    assertThat(
        count(WITHOUT_PACE) - withoutPaceBefore,
        is(row.countedAs().equals(WITHOUT_PACE) ? 1.0 : 0.0));
  }

  private static double count(String result) {
    return entry.metrics().endpointLoads.labelValues(result).get();
  }

  private static Map<String, EndpointRoom> roomByService() {
    Instant now = Instant.now();
    return entry.node().endpoints().stream()
        .collect(
            Collectors.toMap(
                (EndpointTracker t) -> t.record().service(), (EndpointTracker t) -> t.room(now)));
  }
}
