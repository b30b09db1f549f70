package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EntryShutdown;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against responses that end with the entry that relays them although they could go on. */
class RelayEntryEndsTest {
  private static final String SERVICE = "engine";
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

  /** Reserved for the exit of the process but 200 ms. */
  private static final Duration GRACE = Duration.ofMillis(1_100);

  /** Longer than the time after which an idempotent request is sent to another target. */
  private static final Duration SILENCE = Duration.ofMillis(2_500);

  /** What happens to the entry that relays the request. */
  enum End {
    SHUTDOWN,
    KILL,
    SILENCE,
    /** Killed and started again under its name, at other ports. */
    REPLACEMENT
  }

  /** What can run the request besides the entry that relays it. */
  enum Other {
    NONE,
    /** Another entry of the endpoints' region. */
    ENTRY,
    /** An endpoint in the caller's region that is announced while the response is in progress. */
    ENDPOINT
  }

  /** The status is 0 if the connection is closed within the response. */
  @ParameterizedTest
  @CsvSource({
    "SHUTDOWN, AT_MOST_ONCE, false, ENTRY, 502, 1",
    "SHUTDOWN, IDEMPOTENT, false, ENTRY, 200, 2",
    "SHUTDOWN, STREAM, true, ENTRY, 200, 2",
    "SHUTDOWN, STREAM, false, ENTRY, 0, 1",
    "KILL, AT_MOST_ONCE, false, ENTRY, 502, 1",
    "KILL, IDEMPOTENT, false, ENTRY, 200, 2",
    "KILL, IDEMPOTENT, false, NONE, 502, 1",
    "KILL, STREAM, true, ENTRY, 200, 2",
    "KILL, STREAM, true, ENDPOINT, 200, 2",
    "KILL, STREAM, true, NONE, 0, 1",
    "KILL, STREAM, false, ENTRY, 0, 1",
    "SILENCE, AT_MOST_ONCE, false, ENTRY, 200, 1",
    "SILENCE, IDEMPOTENT, false, ENTRY, 200, 2",
    "SILENCE, IDEMPOTENT, false, NONE, 200, 1",
    "SILENCE, STREAM, true, ENTRY, 200, 2",
    "SILENCE, STREAM, true, ENDPOINT, 200, 2",
    "SILENCE, STREAM, true, NONE, 200, 1",
    "SILENCE, STREAM, false, ENTRY, 200, 1",
    "REPLACEMENT, AT_MOST_ONCE, false, NONE, 502, 1",
    "REPLACEMENT, IDEMPOTENT, false, NONE, 502, 1",
    "REPLACEMENT, STREAM, true, NONE, 200, 2",
    "REPLACEMENT, STREAM, false, NONE, 0, 1",
  })
  void requestRunsElsewhereWhereAllowed(
      End end,
      RouteKind kind,
      boolean resumable,
      Other other,
      int expectedStatus,
      int expectedSends,
      @TempDir Path folder)
      throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(FleetHarness.routeTo(SERVICE, kind, resumable, 2, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    boolean stream = kind == RouteKind.STREAM;
    List<Action> script =
        stream ? List.of(Action.STREAM_STALLS, Action.STREAM) : List.of(Action.SLOW, Action.ANSWER);
    List<Vertx> relayLoops = new ArrayList<>();
    List<FleetHarness.Entry> relays = new ArrayList<>();
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 3, script)) {
      final FleetHarness.Entry entry = fleet.startEntry("north", "north");
      for (int i = 0; i < (other == Other.ENTRY ? 2 : 1); i++) {
        relayLoops.add(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)));
        relays.add(fleet.startEntryOn(relayLoops.get(i), "south" + i, "south"));
      }
      fleet.activateRouteTable(1);
      List<Integer> ports = endpoints.ports();
      fleet.keepAnnouncing("s0", SERVICE, "south", ports.get(0));
      fleet.keepAnnouncing("s1", SERVICE, "south", ports.get(1));
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 2);
      for (FleetHarness.Entry relay : relays) {
        fleet.awaitReady(relay);
      }
      while (entry.node().entriesOf("south").size() < relays.size()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      final CompletableFuture<HttpResponse<String>> response =
          CompletableFuture.supplyAsync(() -> call(entry));
      while (endpoints.heads().isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      // The first event passes both entries.
      TimeUnit.MILLISECONDS.sleep(100);
      if (other == Other.ENDPOINT) {
        fleet.keepAnnouncing("n", SERVICE, "north", ports.get(2));
        fleet.awaitEndpoints(entry, SERVICE, 3);
      }
      int index = relays.get(0).server().inFlight() > 0 ? 0 : 1;
      end(end, fleet, relayLoops, relays, index);
      HttpResponse<String> received = response.get(9, TimeUnit.SECONDS);
      assertThat(received == null ? 0 : received.statusCode(), equalTo(expectedStatus));
      if (expectedStatus == 200) {
        assertThat(received.body(), equalTo(stream ? EVENTS : "done"));
      }
      assertThat(endpoints.heads().size(), equalTo(expectedSends));
    } finally {
      relayLoops.forEach(Vertx::close);
    }
  }

  private static void end(
      End end,
      FleetHarness fleet,
      List<Vertx> relayLoops,
      List<FleetHarness.Entry> relays,
      int index)
      throws Exception {
    Vertx loop = relayLoops.get(index);
    FleetHarness.Entry relay = relays.get(index);
    switch (end) {
      case SHUTDOWN ->
          loop.runOnContext(
              v -> new EntryShutdown(loop, relay.node(), relay.server(), GRACE).run());
      case SILENCE -> loop.runOnContext(v -> sleep(SILENCE));
      case KILL -> kill(loop);
      case REPLACEMENT -> {
        kill(loop);
        relayLoops.set(index, Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)));
        fleet.startEntryOn(relayLoops.get(index), "south" + index, "south");
      }
      default -> throw new IllegalStateException("unknown end: " + end);
    }
  }

  private static void kill(Vertx loop) throws Exception {
    loop.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private static void sleep(Duration time) {
    try {
      TimeUnit.MILLISECONDS.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends a request, again while the entry does not know the load of the endpoints' region. Returns
   * null if the connection is closed.
   */
  private static HttpResponse<String> call(FleetHarness.Entry entry) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .header("X-Request-Id", "id")
            .header("X-Deadline", "5500")
            .build();
    HttpClient client = HttpClient.newHttpClient();
    for (int i = 0; ; i++) {
      HttpResponse<String> response =
          client
              .sendAsync(request, HttpResponse.BodyHandlers.ofString())
              .exceptionally(e -> null)
              .join();
      if (response == null || response.statusCode() != 503 || i == 100) {
        return response;
      }
      sleep(Duration.ofMillis(50));
    }
  }
}
