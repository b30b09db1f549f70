package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.TruncatedHeadEndpoint;

/**
 * Guards against a response that is relayed as complete although its endpoint closed the connection
 * in the middle of the response's head.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TruncatedHeadTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";
  private static final String NO_SUCCESS = "no success";

  private final Vertx vertx = Vertx.vertx();
  private TestCluster cluster;
  private Daemon entry;
  private Daemon otherEntry;

  /**
   * A test case.
   *
   * @param stream whether the caller requests a stream
   * @param region the region of the endpoint; the request is relayed if it is the other one
   * @param head the bytes that the endpoint sends before it closes the connection
   */
  record TestCase(String model, boolean stream, String region, String head) {
    @Override
    public String toString() {
      return model + ": " + head.replace("\r\n", "|");
    }
  }

  static Stream<TestCase> testCases() {
    List<String> heads =
        List.of(
            "HTTP/1.1 200",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nContent-Len",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    List<TestCase> cases = new ArrayList<>();
    for (boolean stream : List.of(false, true)) {
      for (String region : List.of(REGION, OTHER_REGION)) {
        heads.forEach(h -> cases.add(new TestCase("m" + cases.size(), stream, region, h)));
      }
    }
    return cases.stream();
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
    otherEntry = cluster.startEntry("entry-2", OTHER_REGION, Duration.ZERO);
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void truncatedHeadIsNoSuccess(TestCase testCase) throws Exception {
    try (TruncatedHeadEndpoint endpoint =
        new TruncatedHeadEndpoint(vertx, testCase.head(), /* reset= */ false)) {
      cluster.announce(
          testCase.region().equals(REGION) ? entry : otherEntry,
          testCase.model(),
          testCase.region(),
          testCase.model(),
          endpoint.port(),
          false);
      String result = "not sent";
      for (int i = 0; i < 200 && endpoint.requests() == 0; i++) {
        result = call(testCase, i);
        TimeUnit.MILLISECONDS.sleep(25);
      }
      assertThat(result, equalTo(NO_SUCCESS));
      assertThat("requests at the endpoint", endpoint.requests(), greaterThanOrEqualTo(1));
    }
  }

  private String call(TestCase testCase, int attempt) throws Exception {
    String request =
        String.format(
            "{\"model\":\"%s\",\"stream\":%b,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
            testCase.model(), testCase.stream(), testCase.model() + "-" + attempt);
    String key = "key-" + testCase.model() + "-" + attempt;
    Map<String, String> headers =
        Map.of("X-Organisation", "desk", "Idempotency-Key", key, "X-Idempotent", "false");
    try {
      TestCluster.Reply reply =
          cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
      return reply.status() >= 500
          ? NO_SUCCESS
          : reply.status() + " '" + reply.response().body() + "'";
    } catch (IOException brokenOff) {
      return NO_SUCCESS;
    }
  }
}
