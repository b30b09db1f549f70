package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against a second send by the response timer of an attempt that has ended. */
class EndedAttemptTest {
  private static final String SERVICE = "engine";
  private static final String BODY = "a body";
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

  /** Time after which the first endpoint crashes, before the response timer of its attempt. */
  private static final long CRASH_DELAY_MILLIS = 600;

  /**
   * Addresses that the crash probe tries in vain, longer than all periods of the response timer.
   */
  private static final int HANGING_ADDRESSES = 10;

  /**
   * A test case.
   *
   * @param first what the endpoint does that crashes
   * @param second what the endpoint does that the request is sent to afterwards
   */
  record TestCase(RouteKind kind, Action first, Action second, String body) {
    @Override
    public String toString() {
      return kind + " " + first;
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase(RouteKind.IDEMPOTENT, Action.HANG, Action.ANSWER, "done"),
        new TestCase(RouteKind.STREAM, Action.HANG, Action.STREAM, EVENTS),
        new TestCase(RouteKind.STREAM, Action.STREAM_HANGS, Action.STREAM, EVENTS));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void requestIsSentAgainOnce(TestCase testCase, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(FleetHarness.routeTo(SERVICE, testCase.kind(), true, 3, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE), FleetHarness.serviceNamed("other")),
            RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        HangingListener hanging = new HangingListener();
        ScriptedEndpoints first =
            new ScriptedEndpoints(fleet.vertx(), 1, List.of(testCase.first()));
        ScriptedEndpoints second =
            new ScriptedEndpoints(
                fleet.vertx(), 2, List.of(testCase.second(), testCase.second()))) {
      FleetHarness.Entry entry = fleet.startEntry("entry", "north");
      fleet.activateRouteTable(1);
      fleet.keepAnnouncing("first", SERVICE, "north", first.ports().get(0));
      fleet.keepAnnouncing("hanging", "other", "north", hanging.port());
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      fleet.awaitEndpoints(entry, "other", 1);
      final CompletableFuture<HttpResponse<String>> response = call(entry);
      while (first.heads().isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      for (int port : second.ports()) {
        fleet.keepAnnouncing("second" + port, SERVICE, "north", port);
      }
      TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MILLIS);
      fleet.run(
          () -> {
            delayCrashProbe(entry, first.heads().get(0));
            first.close();
          });
      assertThat(response.get(10, TimeUnit.SECONDS).body(), equalTo(testCase.body()));
      assertThat(second.heads(), hasSize(1));
    }
  }

  /** Starts the crash probe of the first endpoint, so that it has no result for some time. */
  private static void delayCrashProbe(FleetHarness.Entry entry, String head) {
    String host = RawRequests.header(head, "host");
    RequestFingerprint content =
        RequestFingerprint.of(
            "POST",
            "127.0.0.1:" + entry.publicPort(),
            "/" + SERVICE + "/x",
            BODY.getBytes(StandardCharsets.UTF_8));
    assertThat(host, equalTo("127.0.0.1:" + entry.publicPort()));
    entry
        .node()
        .quarantine()
        .onConnectionLost(
            endpoint(entry, "first"),
            RequestFingerprints.ofContent(content),
            Collections.nCopies(HANGING_ADDRESSES, endpoint(entry, "hanging")));
  }

  private static EndpointTracker endpoint(FleetHarness.Entry entry, String id) {
    return entry.node().endpoints().stream()
        .filter(e -> e.record().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private static CompletableFuture<HttpResponse<String>> call(FleetHarness.Entry entry) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString(BODY))
            .header("X-Request-Id", "id")
            .header("X-Deadline", "7000")
            .build();
    return HttpClient.newHttpClient().sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** A port whose queue of connections is full, so that further ones hang. */
  private static final class HangingListener implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final ServerSocket server;
    private final List<Socket> queued = new ArrayList<>();

    HangingListener() throws IOException {
      server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      boolean full = false;
      while (!full) {
        Socket socket = new Socket();
        queued.add(socket);
        try {
          socket.connect(
              new InetSocketAddress("127.0.0.1", server.getLocalPort()), CONNECT_TIMEOUT_MILLIS);
        } catch (IOException timeout) {
          full = true;
        }
      }
    }

    int port() {
      return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      for (Socket socket : queued) {
        socket.close();
      }
      server.close();
    }
  }
}
