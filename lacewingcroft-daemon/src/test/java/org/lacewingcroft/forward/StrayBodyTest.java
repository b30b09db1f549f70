package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.in;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * Guards against bytes after a response that has no body, by its status or the method of its
 * request, which are read as a part of the next response on the connection.
 */
class StrayBodyTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String SIGNED = "X-Request-Id: ID\r\nX-Proof: signed\r\n";
  private static final String LENGTH = "Content-Length: 4\r\n\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNKS = "4\r\ndone\r\n0\r\n\r\n";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * What the endpoint does with the first request.
   *
   * @param method the method of the request
   * @param response the bytes of the response
   * @param lateBytes bytes that follow it late
   * @param statuses the statuses that the caller may get
   */
  record First(
      String name,
      String method,
      RouteKind kind,
      String response,
      String lateBytes,
      List<Integer> statuses) {}

  /** A test case: a first request and the region of the endpoint. */
  record TestCase(First first, String region) {
    String service() {
      return first.name() + "-" + region;
    }

    String bytes(String method, String id) {
      return RawCaller.head(method, "/" + service() + "/x", id, TIMEOUT)
          + RawCaller.lengthAndBody("");
    }

    @Override
    public String toString() {
      return service();
    }
  }

  static Stream<TestCase> responsesWithoutBody() {
    String get = "GET";
    String signedOk = "HTTP/1.1 200 OK\r\n" + SIGNED;
    return inBothRegions(
        List.of(
            plain("head-length", "HEAD", signedOk + LENGTH, 200),
            plain("head-chunked", "HEAD", signedOk + CHUNKED, 200),
            plain("no-content", get, "HTTP/1.1 204 No Content\r\n" + SIGNED + "\r\n", 204),
            plain("reset-content", get, RawEndpoint.ownResponse(205, ""), 205),
            plain("not-modified", get, "HTTP/1.1 304 Not Modified\r\n" + SIGNED + LENGTH, 304),
            plain("continue", get, "HTTP/1.1 100 Continue\r\n\r\n" + own(), 200),
            plain("processing", get, "HTTP/1.1 102 Processing\r\n\r\n" + own(), 200, 502),
            plain("early-hints", get, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + own(), 200),
            stream("stream-head", "HEAD", signedOk + CHUNKED, 200, 502),
            stream(
                "stream-no-content",
                get,
                "HTTP/1.1 204 No Content\r\n" + SIGNED + "\r\n",
                204,
                502),
            stream(
                "stream-not-modified",
                get,
                "HTTP/1.1 304 Not Modified\r\n" + SIGNED + LENGTH,
                304)));
  }

  static Stream<TestCase> responsesWithStrayBody() {
    String get = "GET";
    String signedOk = "HTTP/1.1 200 OK\r\n" + SIGNED;
    String noContent = "HTTP/1.1 204 No Content\r\n" + SIGNED;
    String notModified = "HTTP/1.1 304 Not Modified\r\n" + SIGNED;
    String withoutId = "HTTP/1.1 500 Broken\r\nX-Proof: signed\r\n" + LENGTH + "done";
    String cut = "HTTP/1.1 500 B";
    return inBothRegions(
        List.of(
            plain("head-body", "HEAD", signedOk + LENGTH + "done", 200),
            late("head-late-body", "HEAD", signedOk + LENGTH, "done", 200),
            plain("head-chunks", "HEAD", signedOk + CHUNKED + CHUNKS, 200),
            plain("head-without-id", "HEAD", signedOk + LENGTH + withoutId, 200),
            late("head-late-without-id", "HEAD", signedOk + LENGTH, withoutId, 200),
            plain("head-cut", "HEAD", signedOk + LENGTH + cut, 200),
            plain("no-content-body", get, noContent + LENGTH + "done", 204),
            late("no-content-late-body", get, noContent + LENGTH, "done", 204),
            plain("no-content-chunks", get, noContent + CHUNKED + CHUNKS, 204),
            plain("no-content-without-id", get, noContent + LENGTH + withoutId, 204),
            plain("not-modified-body", get, notModified + LENGTH + "done", 304),
            plain("not-modified-chunks", get, notModified + CHUNKED + CHUNKS, 304),
            plain("not-modified-without-id", get, notModified + LENGTH + withoutId, 304),
            plain("not-modified-cut", get, notModified + LENGTH + cut, 304),
            plain(
                "early-hints-body",
                get,
                "HTTP/1.1 103 Early Hints\r\n" + LENGTH + "done" + own(),
                200,
                502),
            plain(
                "switching",
                get,
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\ndone" + own(),
                502)));
  }

  private static String own() {
    return RawEndpoint.ownResponse(200, RawEndpoint.OWN_BODY);
  }

  private static First plain(String name, String method, String response, Integer... statuses) {
    return new First(name, method, RouteKind.AT_MOST_ONCE, response, "", List.of(statuses));
  }

  private static First late(
      String name, String method, String response, String lateBytes, Integer... statuses) {
    return new First(name, method, RouteKind.AT_MOST_ONCE, response, lateBytes, List.of(statuses));
  }

  private static First stream(String name, String method, String response, Integer... statuses) {
    return new First(name, method, RouteKind.STREAM, response, "", List.of(statuses));
  }

  private static Stream<TestCase> inBothRegions(List<First> firsts) {
    return Stream.of("north", "south")
        .flatMap(region -> firsts.stream().map(first -> new TestCase(first, region)));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes =
        Stream.concat(responsesWithoutBody(), responsesWithStrayBody())
            .map(c -> FleetHarness.routeTo(c.service(), c.first().kind(), false, 1, TIMEOUT))
            .toList();
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, FleetHarness.routeTable(routes)));
    entry = fleet.startEntry("north", "north");
    FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateAndAwaitReady(1, List.of(entry, relay));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("responsesWithoutBody")
  void responseWithoutBodyEndsAtItsHead(TestCase testCase) throws Exception {
    exchange(testCase);
  }

  @ParameterizedTest
  @MethodSource("responsesWithStrayBody")
  void strayBodyReachesNoOtherRequest(TestCase testCase) throws Exception {
    boolean reused = exchange(testCase);
    assertThat("the connection to the endpoint is reused", reused, equalTo(false));
  }

  /**
   * Sends two requests on one connection and checks both responses.
   *
   * @return whether they reached the endpoint on the same connection
   */
  private static boolean exchange(TestCase testCase) throws Exception {
    First first = testCase.first();
    try (RawEndpoint endpoint =
            new RawEndpoint(fleet.vertx(), first.response(), first.lateBytes());
        RawCaller caller = new RawCaller(entry.publicPort())) {
      fleet.keepAnnouncing(
          testCase.service() + 1, testCase.service(), testCase.region(), endpoint.port());
      Optional<RawCaller.Response> response = Optional.empty();
      for (int i = 0; i < 200 && endpoint.requests() == 0; i++) {
        caller.write(testCase.bytes(first.method(), "first-" + i));
        response = caller.readResponse(first.method().equals("HEAD"));
        TimeUnit.MILLISECONDS.sleep(2 * RawEndpoint.LATE_MILLIS);
      }
      assertThat(response.toString(), response.orElseThrow().status(), in(first.statuses()));
      assertThat("bytes after the first response", caller.unreadBytes(), equalTo(0));
      // The target of a failed request is not used for a short time.
      for (int i = 0; i < 200 && endpoint.requests() == 1; i++) {
        caller.write(testCase.bytes("GET", "second-" + i));
        response = caller.readResponse(false);
        assertThat(
            response.flatMap(r -> r.header("X-Request-Id")), equalTo(Optional.of("second-" + i)));
      }
      assertThat(response.toString(), response.orElseThrow().status(), equalTo(200));
      assertThat(response.get().body(), equalTo(RawEndpoint.OWN_BODY));
      assertThat("bytes after the second response", caller.unreadBytes(), equalTo(0));
      return endpoint.isFirstConnectionReused();
    }
  }
}
