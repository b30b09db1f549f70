package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against responses that are cut because more bytes have followed the request. */
class BytesAfterRequestTest {
  private static final String SERVICE = "engine";

  /** Shorter than the response time of the endpoint. */
  private static final Duration HEADER_TIMEOUT = Duration.ofMillis(500);

  /**
   * Sends a request and, separately, an empty line, which RFC 9112 permits before a request, or a
   * part of the next request's head.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "\r\n", "POST /engine/x HTTP/1.1\r\nHost: 127"})
  void responseInProgressIsCompleted(String bytesAfter, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(
                    SERVICE, RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            new RequestLimits(16_384, 4_194_304, HEADER_TIMEOUT, Duration.ofSeconds(15)));
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        ScriptedEndpoints endpoints =
            new ScriptedEndpoints(fleet.vertx(), 1, List.of(Action.SLOW))) {
      FleetHarness.Entry entry = fleet.startEntry("entry", "north");
      fleet.activateRouteTable(1);
      int port = endpoints.ports().get(0);
      fleet.keepAnnouncing("e" + port, SERVICE, "north", port);
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      assertThat(call(entry, bytesAfter), containsString("done"));
    }
  }

  private static String call(FleetHarness.Entry entry, String bytesAfter) throws Exception {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(5_000);
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", entry.publicPort()));
      String request =
          "POST /engine/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id\r\n"
              + "X-Deadline: 7000\r\nContent-Length: 6\r\n\r\na body";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      Thread.sleep(50);
      socket.getOutputStream().write(bytesAfter.getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder received = new StringBuilder();
      int next = socket.getInputStream().read();
      while (next >= 0 && received.indexOf("done") < 0) {
        received.append((char) next);
        if (received.indexOf("done") < 0) {
          next = socket.getInputStream().read();
        }
      }
      return received.toString();
    }
  }
}
