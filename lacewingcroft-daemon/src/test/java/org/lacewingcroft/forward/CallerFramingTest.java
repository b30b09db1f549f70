package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/** Checks how an entry handles raw requests that are framed incorrectly, too large or too slow. */
class CallerFramingTest {
  private static final RequestLimits LIMITS =
      new RequestLimits(2_000, 64, Duration.ofMillis(400), Duration.ofMillis(1_500));
  private static final int SOCKET_TIMEOUT_MILLIS = 8_000;
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] (\\d{3}) ");
  private static final String HEAD =
      "POST /s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id\r\nX-Deadline: 5000\r\n";
  private static final String SMUGGLED = HEAD.replace("/s/x", "/s/hidden");

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;
  private static ScriptedEndpoints endpoints;

  /**
   * A test case: bytes that are written in one call, and the expected result when the entry has
   * closed the connection.
   *
   * @param statuses the statuses of all responses on the connection, none if it is closed without
   *     one
   * @param sends the number of requests that reach an endpoint
   */
  record TestCase(String name, String bytes, List<Integer> statuses, int sends) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> testCases() {
    String complete = HEAD + "Content-Length: 2\r\n\r\nab";
    return Stream.of(
        new TestCase("whole", complete, List.of(200), 1),
        new TestCase("two pipelined requests", complete + complete, List.of(200, 200), 2),
        new TestCase("chunked", HEAD + chunked("2\r\nab\r\n0\r\n\r\n"), List.of(200), 1),
        new TestCase(
            "Content-Length before Transfer-Encoding",
            HEAD + "Content-Length: 4\r\n" + chunked("0\r\n\r\n") + SMUGGLED + "\r\n",
            List.of(400),
            0),
        new TestCase(
            "Transfer-Encoding before Content-Length",
            HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + SMUGGLED,
            List.of(400),
            0),
        new TestCase(
            "two Content-Length headers",
            HEAD + "Content-Length: 2\r\nContent-Length: 0\r\n\r\nab" + SMUGGLED + "\r\n",
            List.of(400),
            0),
        new TestCase(
            "a list in Content-Length",
            HEAD + "Content-Length: 2, 3\r\n\r\nab" + SMUGGLED,
            List.of(400),
            0),
        new TestCase(
            "a Content-Length with a plus sign",
            HEAD + "Content-Length: +2\r\n\r\nab",
            List.of(400),
            0),
        new TestCase(
            "a negative Content-Length", HEAD + "Content-Length: -2\r\n\r\nab", List.of(400), 0),
        new TestCase(
            "a Content-Length that is not a number",
            HEAD + "Content-Length: two\r\n\r\nab",
            List.of(400),
            0),
        new TestCase(
            "a malformed chunk size", HEAD + chunked("0x2\r\nab\r\n0\r\n\r\n"), List.of(), 0),
        new TestCase(
            "a negative chunk size", HEAD + chunked("-2\r\nab\r\n0\r\n\r\n"), List.of(), 0),
        new TestCase(
            "a space before the colon", HEAD + "Content-Length : 2\r\n\r\nab", List.of(400), 0),
        // The second line continues the value of X-Folded; it is not a Content-Length header.
        new TestCase(
            "a folded header line",
            HEAD + "X-Folded: a\r\n Content-Length: 2\r\n\r\n" + SMUGGLED,
            List.of(200),
            1),
        new TestCase(
            "a bare line feed", HEAD + "X-Bare: a\nContent-Length: 2\r\n\r\nab", List.of(400), 0),
        new TestCase("a line that is not HTTP", "hello\r\n\r\n", List.of(400), 0),
        new TestCase(
            "a head over the limit",
            HEAD + "X-Long: " + "x".repeat(2_500) + "\r\n\r\n",
            List.of(431),
            0),
        new TestCase(
            "a body over the limit",
            HEAD + "Content-Length: 65\r\n\r\n" + "b".repeat(65),
            List.of(413),
            0),
        new TestCase("an incomplete head", HEAD, List.of(), 0),
        new TestCase("an incomplete body", HEAD + "Content-Length: 4\r\n\r\nab", List.of(408), 0),
        new TestCase("no bytes sent", "", List.of(), 0));
  }

  private static String chunked(String body) {
    return "Transfer-Encoding: chunked\r\n\r\n" + body;
  }

  @BeforeAll
  static void start() throws Exception {
    Route route =
        FleetHarness.routeTo("s", RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(2));
    ServiceSpec service = FleetHarness.serviceNamed("s");
    RouteTable table = new RouteTable(1, List.of(route), List.of(service), LIMITS);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("entry", "north");
    fleet.activateRouteTable(1);
    fleet.awaitReady(entry);
    endpoints = new ScriptedEndpoints(fleet.vertx(), 1, List.of());
    fleet.keepAnnouncing("s-1", "s", "north", endpoints.ports().get(0));
    fleet.awaitEndpoints(entry, "s", 1);
  }

  @AfterAll
  static void stop() throws Exception {
    endpoints.close();
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void respondsOrCloses(TestCase testCase) throws Exception {
    int sendsBefore = endpoints.heads().size();
    String responses = exchange(testCase.bytes());
    List<Integer> statuses = new ArrayList<>();
    Matcher matcher = STATUS.matcher(responses);
    while (matcher.find()) {
      statuses.add(Integer.parseInt(matcher.group(1)));
    }
    assertThat(responses, statuses, equalTo(testCase.statuses()));
    assertThat(endpoints.heads(), hasSize(sendsBefore + testCase.sends()));
  }

  /** Writes bytes and returns all that is read until the entry closes or resets the connection. */
  private static String exchange(String bytes) throws IOException {
    StringBuilder responses = new StringBuilder();
    try (Socket socket = new Socket("127.0.0.1", entry.publicPort())) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[4_096];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        responses.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketException reset) {
      responses.append("(reset)");
    }
    return responses.toString();
  }
}
