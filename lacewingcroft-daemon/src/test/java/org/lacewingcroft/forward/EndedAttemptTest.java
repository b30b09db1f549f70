package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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
import org.lacewingcroft.route.RouteKind;

/** Guards against a second send by the response timer of an attempt that has ended. */
class EndedAttemptTest {
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
        new TestCase(RouteKind.STREAM, Action.HANG, Action.STREAM, OneServiceFleet.EVENTS),
        new TestCase(RouteKind.STREAM, Action.STREAM_HANGS, Action.STREAM, OneServiceFleet.EVENTS));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void requestIsSentAgainOnce(TestCase testCase, @TempDir Path folder) throws Exception {
    try (OneServiceFleet oneService =
            new OneServiceFleet(
                folder,
                FleetHarness.BOUNDS,
                FleetHarness.routeTo(
                    OneServiceFleet.SERVICE, testCase.kind(), true, 3, Duration.ofSeconds(8)),
                "north",
                1,
                List.of(testCase.first()));
        HangingListener hanging = new HangingListener();
        ScriptedEndpoints second =
            new ScriptedEndpoints(
                oneService.fleet().vertx(), 2, List.of(testCase.second(), testCase.second()))) {
      FleetHarness fleet = oneService.fleet();
      fleet.keepAnnouncing("hanging", "other", "north", hanging.port());
      fleet.awaitEndpoints(oneService.entry(), "other", 1);
      final CompletableFuture<HttpResponse<String>> response = oneService.call("id");
      oneService.awaitRequest();
      for (int port : second.ports()) {
        fleet.keepAnnouncing("second" + port, OneServiceFleet.SERVICE, "north", port);
      }
      TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MILLIS);
      fleet.run(
          () -> {
            delayCrashProbe(oneService);
            oneService.endpoints().close();
          });
      assertThat(response.get(10, TimeUnit.SECONDS).body(), equalTo(testCase.body()));
      assertThat(second.heads(), hasSize(1));
    }
  }

  /** Starts the crash probe of the first endpoint, so that it has no result for some time. */
  private static void delayCrashProbe(OneServiceFleet oneService) {
    FleetHarness.Entry entry = oneService.entry();
    RequestFingerprint content =
        RequestFingerprint.of(
            "POST",
            "127.0.0.1:" + entry.publicPort(),
            "/" + OneServiceFleet.SERVICE + "/x",
            OneServiceFleet.BODY.getBytes(StandardCharsets.UTF_8));
    entry
        .node()
        .quarantine()
        .onConnectionLost(
            endpointOf(entry, OneServiceFleet.SERVICE),
            RequestFingerprints.ofContent(content),
            Collections.nCopies(HANGING_ADDRESSES, endpointOf(entry, "other")));
  }

  private static EndpointTracker endpointOf(FleetHarness.Entry entry, String service) {
    return entry.node().endpoints().stream()
        .filter(e -> e.record().service().equals(service))
        .filter(e -> !e.record().id().startsWith("second"))
        .findFirst()
        .orElseThrow();
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
