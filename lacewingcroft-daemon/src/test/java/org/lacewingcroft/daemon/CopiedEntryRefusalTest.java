package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.forward.RawEndpoint;
import org.lacewingcroft.forward.StutteringEndpoint;
import org.lacewingcroft.forward.StutteringEndpoint.Piece;
import org.lacewingcroft.forward.StutteringEndpoint.ReceivedRequest;

/**
 * Guards against a copy of another entry's refusal that is taken for its response to a later send
 * of the request on the same connection.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(60)
class CopiedEntryRefusalTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";
  private static final String MODEL = "m";
  private static final int REQUESTS = 3;
  private static final long MILLIS_BEFORE_RESPONSE = 4;

  private final Vertx vertx = Vertx.vertx();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();
  private volatile int refusalStatus;
  private TestCluster cluster;
  private Daemon entry;
  private StutteringEndpoint other;
  private AnnouncedEntry announced;

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
    other = new StutteringEndpoint(vertx, this::respond);
    announced = new AnnouncedEntry(vertx, entry, OTHER_REGION, MODEL, other.port());
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    other.close();
    announced.close();
    vertx.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void requestThatRanIsNotReportedAsNotRun(int status) throws Exception {
    refusalStatus = status;
    runs.clear();
    for (int i = 0; runs.size() < REQUESTS; i++) {
      String id = "request-" + status + "-" + i;
      TestCluster.await(() -> call(id) == 200);
    }
    runs.forEach((id, count) -> assertThat(id, count.get(), is(1)));
  }

  private int call(String id) throws Exception {
    Map<String, String> headers =
        Map.of("X-Organisation", "desk", "X-Request-Id", id, "X-Deadline-Millis", "2000");
    String body =
        "{\"model\":\"" + MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    TestCluster.Reply reply = cluster.send(entry, "POST", "/v1/chat/completions", headers, body);
    boolean ran = runs.containsKey(id);
    assertThat(id + ", status " + reply.status(), ran, is(reply.status() == 200));
    return reply.status();
  }

  private List<Piece> respond(ReceivedRequest request) {
    String refusal =
        "HTTP/1.1 "
            + refusalStatus
            + " Refused\r\nX-Lacewingcroft-Run: no\r\nX-Request-Id: "
            + request.id()
            + "\r\nContent-Length: 0\r\n\r\n";
    if (refused.add(request.id())) {
      return List.of(Piece.of(refusal));
    }
    runs.computeIfAbsent(request.id(), i -> new AtomicInteger()).incrementAndGet();
    String own = RawEndpoint.ownResponse(200, "{}").replace("ID", request.id());
    return request.previousIds().contains(request.id())
        ? List.of(Piece.of(refusal), new Piece(MILLIS_BEFORE_RESPONSE, own))
        : List.of(Piece.of(own));
  }
}
