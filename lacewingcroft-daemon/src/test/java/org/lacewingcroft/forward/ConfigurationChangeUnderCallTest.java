package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceShare;
import org.lacewingcroft.route.ServiceSpec;

/** Guards against streams that are cut by a change while they run at their endpoint. */
class ConfigurationChangeUnderCallTest {
  private static final String SERVICE = "engine";
  private static final int SOCKET_TIMEOUT_MILLIS = 4_000;
  private static final String HEAD =
      "POST /engine/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id\r\nX-Deadline: 5000\r\n";
  private static final ServiceSpec ENGINE = FleetHarness.serviceNamed(SERVICE);
  private static final ServiceSpec OTHER = FleetHarness.serviceNamed("other");
  private static final Route ROUTE = route(Duration.ofSeconds(6), new ServiceShare(SERVICE, 1));

  /** All of them are shorter than the silence of the endpoint. */
  private static final RequestLimits SHORT_LIMITS =
      new RequestLimits(2_000, 64, Duration.ofMillis(300), Duration.ofMillis(300));

  /** What changes while the endpoint is silent within its response. */
  enum Change {
    ROUTE_REMOVED,
    SERVICE_MOVED,
    WEIGHTS_CHANGED,
    TIMEOUT_SHORTENED,
    ORGANISATION_REMOVED,
    LIMITS_SHORTENED,
    PARTIAL_NEXT_HEAD,
    ENDPOINT_REPLACED,
    ENDPOINT_DRAINING,
    ENDPOINT_GONE,
    DOMAIN_EVACUATED
  }

  static Stream<Arguments> changes() {
    return Stream.of("north", "south")
        .flatMap(region -> Stream.of(Change.values()).map(c -> Arguments.of(c, region)));
  }

  @ParameterizedTest
  @MethodSource("changes")
  void streamIsCompleted(Change change, String endpointRegion, @TempDir Path folder)
      throws Exception {
    Map<Long, RouteTable> tables = Map.of(1L, tableBefore(change), 2L, tableAfter(change));
    try (FleetHarness fleet = new FleetHarness(folder, tables);
        ScriptedEndpoints endpoints =
            new ScriptedEndpoints(fleet.vertx(), 1, List.of(Action.STREAM_STALLS))) {
      FleetHarness.Entry entry = fleet.startEntry("north", "north");
      FleetHarness.Entry remote = fleet.startEntry("south", "south");
      fleet.activateRouteTable(1);
      int port = endpoints.ports().get(0);
      fleet.announce("e", SERVICE, endpointRegion, port, 1);
      fleet.awaitReady(entry);
      fleet.awaitReady(remote);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      try (Socket caller = openStream(entry)) {
        // The first event passes the entries.
        TimeUnit.MILLISECONDS.sleep(100);
        apply(change, fleet, entry, caller, record(port, endpointRegion));
        assertThat(read(caller, "\r\n0\r\n\r\n"), containsString("data: e3\n"));
        assertThat(endpoints.heads().size(), equalTo(1));
      }
    }
  }

  private static void apply(
      Change change,
      FleetHarness fleet,
      FleetHarness.Entry entry,
      Socket caller,
      EndpointRecord record)
      throws Exception {
    switch (change) {
      case PARTIAL_NEXT_HEAD ->
          caller.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
      case ENDPOINT_REPLACED -> fleet.onContext(() -> fleet.control().announce(record));
      case ENDPOINT_DRAINING, ENDPOINT_GONE -> {
        EndpointState state =
            change == Change.ENDPOINT_GONE ? EndpointState.GONE : EndpointState.DRAINING;
        fleet.onContext(() -> fleet.control().announce(record.withState(state)));
      }
      case DOMAIN_EVACUATED ->
          fleet.onContext(() -> fleet.control().orders().evacuate(record.failureDomain(), true));
      default -> {
        fleet.activateRouteTable(2);
        while (entry.node().routing().table().version() < 2) {
          TimeUnit.MILLISECONDS.sleep(5);
        }
      }
    }
  }

  /** Returns the record of an incarnation that started later than the one announced first. */
  private static EndpointRecord record(int port, String region) {
    return new EndpointRecord(
        "e", 9, SERVICE, "127.0.0.1:" + port, region + "-a", 8, EndpointState.READY, 2, 0);
  }

  private static RouteTable tableBefore(Change change) {
    RequestLimits limits =
        change == Change.PARTIAL_NEXT_HEAD ? SHORT_LIMITS : RequestLimits.DEFAULT;
    return new RouteTable(
        1, List.of(ROUTE), List.of(ENGINE, OTHER), limits, organisations(change, "key"));
  }

  private static RouteTable tableAfter(Change change) {
    List<Route> routes =
        switch (change) {
          case ROUTE_REMOVED -> List.of();
          case SERVICE_MOVED -> List.of(route(ROUTE.timeout(), new ServiceShare("other", 1)));
          case WEIGHTS_CHANGED ->
              List.of(
                  route(
                      ROUTE.timeout(), new ServiceShare(SERVICE, 0), new ServiceShare("other", 1)));
          case TIMEOUT_SHORTENED ->
              List.of(route(Duration.ofMillis(300), new ServiceShare(SERVICE, 1)));
          default -> List.of(ROUTE);
        };
    List<ServiceSpec> services =
        change == Change.ROUTE_REMOVED ? List.of(OTHER) : List.of(ENGINE, OTHER);
    RequestLimits limits = change == Change.LIMITS_SHORTENED ? SHORT_LIMITS : RequestLimits.DEFAULT;
    return new RouteTable(2, routes, services, limits, organisations(change, "another key"));
  }

  private static Route route(Duration timeout, ServiceShare... shares) {
    return new Route(
        "r",
        "127.0.0.1",
        "/engine/",
        RouteKind.STREAM,
        timeout,
        Duration.ofMillis(800),
        0,
        List.of(shares),
        1,
        false,
        Optional.empty(),
        Set.of(),
        false);
  }

  private static List<Organisation> organisations(Change change, String key) {
    return change == Change.ORGANISATION_REMOVED
        ? List.of(
            new Organisation(
                "owner of " + key, Set.of(key), OptionalInt.empty(), Optional.empty(), Set.of()))
        : List.of();
  }

  /**
   * Sends a request and returns its connection once the response has begun. Repeats the request
   * while the entry does not know the load of the endpoint's region.
   */
  private static Socket openStream(FleetHarness.Entry entry) throws Exception {
    while (true) {
      Socket caller = new Socket("127.0.0.1", entry.publicPort());
      caller.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      String request = HEAD + "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nab";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      if (read(caller, "\r\n\r\n").startsWith("HTTP/1.1 200")) {
        return caller;
      }
      caller.close();
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Reads up to and including the given text, or all if the connection is closed before it. */
  private static String read(Socket caller, String end) throws Exception {
    StringBuilder text = new StringBuilder();
    InputStream in = caller.getInputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      text.append((char) next);
      if (text.toString().endsWith(end)) {
        break;
      }
    }
    return text.toString();
  }
}
