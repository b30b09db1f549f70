package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.RawResponse.Framing;
import org.lacewingcroft.forward.RawResponse.IdPosition;
import org.lacewingcroft.forward.StutteringEndpoint.Moment;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against a response that is made up of bytes that an endpoint sent after its response to
 * another request.
 */
class ResponseOfAnotherRequestTest {
  /** An error response that the entry generated, for a request that may have run. */
  private static final String ERROR_OF_ENTRY = "error of the entry";

  /** An error response that the entry generated, for a request that has not run. */
  private static final String REFUSED_BY_ENTRY = "refused by the entry";

  private static final Set<String> NOT_SERVED = Set.of(ERROR_OF_ENTRY, REFUSED_BY_ENTRY);
  private static final int MAX_TRIES = 200;
  private static final List<String> REGIONS = List.of("north", "south");

  @TempDir private static Path folder;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private static final Map<String, StutteringEndpoint> ENDPOINTS = new HashMap<>();
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /** An endpoint that repeats a part of its response to the first one of two requests. */
  private interface Stutter {
    /** The name of its service. */
    String name();

    /** The region of the endpoint; the requests are relayed unless it is "north". */
    String region();

    RouteKind kind();

    /** When the repeated part is written. */
    Moment moment();

    RawResponse responseTo(String id);

    /** Returns the part that is repeated, empty after the response to a second request. */
    String strayBytesAfter(String id);

    /** Returns whether stray bytes may cost the next request, which was sent before them. */
    default boolean mayFail() {
      return moment() == Moment.AFTER_NEXT_REQUEST;
    }
  }

  /**
   * A pair of requests.
   *
   * @param firstStatus the status of the response to the first request
   * @param secondStatus the status of the response to the second request
   * @param lastBytes the end of the repeated part, {@code STATUS} for the first status
   */
  record TestCase(
      String name,
      String region,
      int firstStatus,
      int secondStatus,
      Moment moment,
      String lastBytes)
      implements Stutter {
    @Override
    public RouteKind kind() {
      return RouteKind.AT_MOST_ONCE;
    }

    @Override
    public RawResponse responseTo(String id) {
      return new RawResponse(
          isFirst(id) ? firstStatus : secondStatus,
          id,
          "signature-" + id,
          "body of " + id,
          Framing.LENGTH,
          IdPosition.LAST);
    }

    @Override
    public String strayBytesAfter(String id) {
      if (!isFirst(id)) {
        return "";
      }
      String repeated = responseTo(id).bytes();
      String end = lastBytes.replace("STATUS", Integer.toString(firstStatus));
      return repeated.substring(0, repeated.indexOf(end) + end.length());
    }

    @Override
    public String toString() {
      return String.format(
          "%s: %d after %d in %s, %s, cut after '%s'",
          name, secondStatus, firstStatus, region, moment, lastBytes);
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (String region : REGIONS) {
      for (int secondStatus : List.of(500, 200)) {
        int firstStatus = secondStatus == 500 ? 200 : 500;
        for (Moment moment : Moment.values()) {
          for (String end : List.of("HTTP/1.1 STATUS ", "HTTP/1.1 STATUS S", "X-Proof: sig")) {
            String name = "c" + cases.size();
            cases.add(new TestCase(name, region, firstStatus, secondStatus, moment, end));
          }
        }
      }
    }
    return cases.stream();
  }

  /** Which responses contain the id of their request, and where. */
  enum Ids {
    FIRST(IdPosition.FIRST, IdPosition.FIRST),
    LAST(IdPosition.LAST, IdPosition.LAST),
    NONE(IdPosition.NONE, IdPosition.NONE),
    /** All but the repeated ones. */
    NOT_REPEATED(IdPosition.FIRST, IdPosition.NONE);

    private final IdPosition inResponse;
    private final IdPosition inRepeatedResponse;

    Ids(IdPosition inResponse, IdPosition inRepeatedResponse) {
      this.inResponse = inResponse;
      this.inRepeatedResponse = inRepeatedResponse;
    }
  }

  /**
   * Pairs of requests, as many as the repeated response has bytes. After its response to the first
   * request of each pair, the endpoint repeats as many bytes of it as the number of the pair.
   */
  record Sweep(
      String name,
      String region,
      int firstStatus,
      int secondStatus,
      Moment moment,
      Framing framing,
      Ids ids)
      implements Stutter {
    private String id(int pair, boolean first) {
      return String.format("%s-%03d-%s", name, pair, first ? "a" : "b");
    }

    @Override
    public RouteKind kind() {
      return framing == Framing.EVENT_STREAM ? RouteKind.STREAM : RouteKind.AT_MOST_ONCE;
    }

    @Override
    public RawResponse responseTo(String id) {
      return new RawResponse(
          isFirst(id) ? firstStatus : secondStatus,
          id,
          "s-" + id,
          framing == Framing.EVENT_STREAM ? "id: 1\ndata: " + id + "\n\n" : id,
          framing,
          ids.inResponse);
    }

    @Override
    public String strayBytesAfter(String id) {
      return isFirst(id)
          ? repeatedResponse(id).substring(0, Integer.parseInt(id.split("-")[1]))
          : "";
    }

    private String repeatedResponse(String id) {
      return responseTo(id).withIdPosition(ids.inRepeatedResponse).bytes();
    }

    private int pairs() {
      return repeatedResponse(id(0, true)).length();
    }

    @Override
    public String toString() {
      return String.format("%d after %d in %s, %s", secondStatus, firstStatus, region, framing);
    }
  }

  /** Sweeps that run beside each other: both regions, each framing. */
  record SweepGroup(Moment moment, Ids ids, List<Sweep> sweeps) {
    @Override
    public String toString() {
      return moment + ", ids " + ids;
    }
  }

  static Stream<SweepGroup> sweepGroups() {
    List<SweepGroup> groups = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      for (Ids ids : Ids.values()) {
        List<Sweep> sweeps = new ArrayList<>();
        for (String region : REGIONS) {
          for (Framing framing : Framing.values()) {
            String name = "g" + groups.size() + sweeps.size();
            int firstStatus = sweeps.size() % 2 == 0 ? 200 : 500;
            int secondStatus = firstStatus == 200 ? 500 : 200;
            sweeps.add(new Sweep(name, region, firstStatus, secondStatus, moment, framing, ids));
          }
        }
        groups.add(new SweepGroup(moment, ids, sweeps));
      }
    }
    return groups.stream();
  }

  @BeforeAll
  static void start() throws Exception {
    List<Stutter> stutters =
        Stream.<Stutter>concat(testCases(), sweepGroups().flatMap(g -> g.sweeps().stream()))
            .toList();
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    for (Stutter s : stutters) {
      routes.add(FleetHarness.routeTo(s.name(), s.kind(), false, 1, Duration.ofSeconds(6)));
      services.add(FleetHarness.serviceNamed(s.name()));
    }
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("north", "north");
    final FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    for (Stutter s : stutters) {
      StutteringEndpoint endpoint =
          new StutteringEndpoint(
              fleet.vertx(),
              StutteringEndpoint.answeringWithStrayBytes(
                  s.moment(), id -> s.responseTo(id).bytes(), s::strayBytesAfter));
      ENDPOINTS.put(s.name(), endpoint);
      fleet.keepAnnouncing(s.name() + "-1", s.name(), s.region(), endpoint.port());
    }
    fleet.awaitReady(entry);
    fleet.awaitReady(relay);
  }

  @AfterAll
  static void stop() throws Exception {
    ENDPOINTS.values().forEach(StutteringEndpoint::close);
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void callerGetsTheStatusOfItsOwnResponse(TestCase testCase) throws Exception {
    awaitServed(testCase);
    assertThat(
        sendPair(testCase, testCase.name() + "-a", testCase.name() + "-b"), is(Optional.empty()));
  }

  @ParameterizedTest
  @MethodSource("sweepGroups")
  void callerGetsItsOwnResponse(SweepGroup group) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(group.sweeps().size());
    try {
      List<Callable<List<String>>> sweeps = new ArrayList<>();
      group.sweeps().forEach(sweep -> sweeps.add(() -> failuresOf(sweep)));
      List<String> failures = new ArrayList<>();
      for (Future<List<String>> result : threads.invokeAll(sweeps)) {
        failures.addAll(result.get());
      }
      assertThat(group.toString(), failures, is(empty()));
    } finally {
      threads.shutdownNow();
    }
    if (group.moment() == Moment.AFTER_NEXT_REQUEST && group.ids() != Ids.NONE) {
      for (Sweep sweep : group.sweeps()) {
        assertThat(
            "requests that were sent before stray bytes: " + sweep,
            ENDPOINTS.get(sweep.name()).requestsOnUsedConnections(),
            greaterThan(0));
      }
    }
  }

  private static List<String> failuresOf(Sweep sweep) throws Exception {
    awaitServed(sweep);
    List<String> failures = new ArrayList<>();
    for (int pair = 1; pair <= sweep.pairs(); pair++) {
      Optional<String> failure = sendPair(sweep, sweep.id(pair, true), sweep.id(pair, false));
      if (failure.isPresent()) {
        failures.add(
            String.format(
                "%s, %d of %d bytes repeated: %s", sweep, pair, sweep.pairs(), failure.get()));
        // The pairs after this one must not depend on the connections that it leaves.
        ENDPOINTS.get(sweep.name()).closeConnections();
        awaitReceived();
      }
    }
    return failures;
  }

  /** Waits until the entry knows the load of the endpoint's region. */
  private static void awaitServed(Stutter stutter) throws Exception {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (!NOT_SERVED.contains(call(stutter.name(), stutter.name() + "-000-b"))) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(25);
    }
    throw new AssertionError("no response of " + stutter);
  }

  /**
   * Sends two requests, the second one when the first one is answered. Where stray bytes may cost a
   * request, sends them again if the entry refuses one without sending it to the endpoint.
   *
   * @return a response other than the expected one, empty if there is none
   */
  private static Optional<String> sendPair(Stutter stutter, String firstId, String secondId)
      throws Exception {
    StutteringEndpoint endpoint = ENDPOINTS.get(stutter.name());
    for (int i = 0; i < MAX_TRIES; i++) {
      String first = call(stutter.name(), firstId);
      if (stutter.mayFail() && NOT_SERVED.contains(first)) {
        TimeUnit.MILLISECONDS.sleep(25);
        continue;
      }
      if (!first.equals(describe(stutter.responseTo(firstId)))) {
        return Optional.of("first request: " + first);
      }
      endpoint.awaitWritten();
      awaitReceived();
      String second = call(stutter.name(), secondId);
      boolean received = endpoint.hasReceived(secondId);
      if (second.equals(describe(stutter.responseTo(secondId)))
          || stutter.mayFail() && second.equals(ERROR_OF_ENTRY) && received) {
        return Optional.empty();
      }
      if (!stutter.mayFail() || !second.equals(REFUSED_BY_ENTRY) || received) {
        return Optional.of("second request: " + second);
      }
    }
    return Optional.of("refused " + MAX_TRIES + " times");
  }

  private static boolean isFirst(String id) {
    return id.endsWith("-a");
  }

  /** Waits until the entries have read what was written to them before. */
  private static void awaitReceived() throws Exception {
    // The event loop runs a task after it has read its sockets, but the first one perhaps earlier.
    fleet.run(() -> {});
    fleet.run(() -> {});
  }

  private static String call(String service, String id) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("request " + id))
            .header("X-Request-Id", id)
            .header("X-Deadline", "2000")
            .timeout(Duration.ofSeconds(10))
            .build();
    HttpResponse<String> response;
    try {
      response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return "broken off: " + e.getMessage();
    }
    boolean signed = response.headers().firstValue("X-Proof").isPresent();
    // The endpoints respond with no status above 500.
    if (response.statusCode() > 500 && !signed) {
      return response.statusCode() == 503 ? REFUSED_BY_ENTRY : ERROR_OF_ENTRY;
    }
    return describe(
        response.statusCode(),
        response.headers().allValues("X-Request-Id"),
        response.headers().allValues("X-Proof"),
        response.body());
  }

  private static String describe(RawResponse response) {
    return describe(
        response.status(),
        response.idPosition() == IdPosition.NONE ? List.of() : List.of(response.id()),
        List.of(response.signature()),
        response.body());
  }

  private static String describe(
      int status, List<String> ids, List<String> signatures, String body) {
    return String.format(
        "%d, id %s, signature %s, '%s'", status, ids, signatures, body.replace("\n", "|"));
  }
}
