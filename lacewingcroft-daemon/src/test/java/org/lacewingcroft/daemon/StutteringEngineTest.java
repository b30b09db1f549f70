package org.lacewingcroft.daemon;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.RawResponse;
import org.lacewingcroft.forward.RawResponse.Framing;
import org.lacewingcroft.forward.Stutter;
import org.lacewingcroft.forward.StutterCaller;
import org.lacewingcroft.forward.StutterSweep;
import org.lacewingcroft.forward.StutterSweep.Ids;
import org.lacewingcroft.forward.StutteringEndpoint;

/**
 * Guards against a response that is made up of bytes that an engine sent after its response to
 * another request.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StutteringEngineTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";

  private final Vertx vertx = Vertx.vertx();
  private final EntryCaller caller = new EntryCaller();
  private final Map<String, StutteringEndpoint> endpoints = new HashMap<>();
  private TestCluster cluster;
  private Daemon entry;
  private Daemon otherEntry;

  /** Engines that echo the id of a request, and engines that do not. */
  static Stream<StutterSweep.Group> sweepGroups() {
    return StutterSweep.groups(
        List.of(REGION, OTHER_REGION), List.of(Ids.FIRST, Ids.LAST, Ids.NONE));
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
    otherEntry = cluster.startEntry("entry-2", OTHER_REGION, Duration.ZERO);
  }

  @AfterAll
  void stop() throws Exception {
    endpoints.values().forEach(StutteringEndpoint::close);
    cluster.close();
    vertx.close();
  }

  @ParameterizedTest
  @MethodSource("sweepGroups")
  void callerGetsItsOwnResponse(StutterSweep.Group group) throws Exception {
    for (StutterSweep sweep : group.sweeps()) {
      StutteringEndpoint endpoint = new StutteringEndpoint(vertx, sweep.script());
      endpoints.put(sweep.name(), endpoint);
      cluster.announce(
          entryOf(sweep.region()),
          sweep.name(),
          sweep.region(),
          sweep.name(),
          endpoint.port(),
          /* draining= */ false);
    }
    group.run(caller, endpoints);
  }

  private Daemon entryOf(String region) {
    return region.equals(REGION) ? entry : otherEntry;
  }

  /** Sends requests that may not run twice, all to the same entry. */
  private final class EntryCaller extends StutterCaller {
    private final AtomicInteger keys = new AtomicInteger();

    @Override
    protected String call(Stutter stutter, String id) throws Exception {
      boolean stream = stutter.responseTo(id).framing() == Framing.EVENT_STREAM;
      String request =
          String.format(
              "{\"model\":\"%s\",\"stream\":%b,"
                  + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
              stutter.name(), stream, id);
      Map<String, String> headers =
          Map.of(
              "X-Organisation",
              "desk",
              "X-Request-Id",
              id,
              "Idempotency-Key",
              "key-" + keys.incrementAndGet(),
              "X-Idempotent",
              "false",
              "X-Deadline-Millis",
              "2000");
      TestCluster.Reply reply;
      try {
        reply = cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
      } catch (IOException e) {
        return "broken off: " + e.getMessage();
      }
      return switch (reply.code()) {
        case "" -> format(reply.status(), reply.response().body());
        case "outcome_unknown" -> ERROR_OF_ENTRY;
        default -> REFUSED_BY_ENTRY;
      };
    }

    @Override
    protected String describe(RawResponse response) {
      return format(response.status(), response.body());
    }

    @Override
    protected void awaitReceived(String region) throws Exception {
      // An entry reads from its callers and its endpoints on one event loop. It may read the first
      // request before the bytes of an endpoint, but not the second one.
      cluster.send(entryOf(region), "GET", "/healthz", Map.of(), "");
      cluster.send(entryOf(region), "GET", "/healthz", Map.of(), "");
    }

    private String format(int status, String body) {
      return String.format("%d '%s'", status, body.replace("\n", "|"));
    }
  }
}
