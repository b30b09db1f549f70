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
import org.lacewingcroft.forward.RawEndpoint;
import org.lacewingcroft.forward.RawResponse;

/** Guards against a response being passed on whose status is not that of a final response. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class InvalidStatusTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";
  private static final String OUTCOME_UNKNOWN = "502 outcome_unknown";

  private final Vertx vertx = Vertx.vertx();
  private TestCluster cluster;
  private Daemon entry;
  private Daemon otherEntry;

  /** Where a response with an invalid status comes from. */
  enum Source {
    ENDPOINT,
    ENDPOINT_OF_OTHER_REGION,
    OTHER_ENTRY
  }

  /**
   * A test case.
   *
   * @param stream whether the caller requests a stream
   */
  record TestCase(String model, boolean stream, Source source, String status) {
    @Override
    public String toString() {
      return (stream ? "stream " : "") + source + " " + status;
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (boolean stream : List.of(false, true)) {
      for (Source source : Source.values()) {
        for (String status : RawResponse.INVALID_STATUSES) {
          cases.add(new TestCase("m" + cases.size(), stream, source, status));
        }
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
  void invalidStatusIsOutcomeUnknown(TestCase testCase) throws Exception {
    try (RawEndpoint target =
            new RawEndpoint(vertx, RawResponse.withStatus(testCase.status()), "");
        AutoCloseable announced = announce(testCase, target.port())) {
      String outcome = "not sent";
      for (int i = 0; i < 200 && target.requests() == 0; i++) {
        outcome = call(testCase, testCase.model() + "-" + i);
        TimeUnit.MILLISECONDS.sleep(25);
      }
      assertThat(outcome, equalTo(OUTCOME_UNKNOWN));
      assertThat("requests at the target", target.requests(), greaterThanOrEqualTo(1));
    }
  }

  private AutoCloseable announce(TestCase testCase, int port) throws Exception {
    String model = testCase.model();
    switch (testCase.source()) {
      case ENDPOINT -> cluster.announce(entry, model, REGION, model, port, false);
      case ENDPOINT_OF_OTHER_REGION ->
          cluster.announce(otherEntry, model, OTHER_REGION, model, port, false);
      case OTHER_ENTRY -> {
        return new AnnouncedEntry(vertx, entry, "region-of-" + model, model, port);
      }
      default -> throw new IllegalArgumentException(testCase.toString());
    }
    return () -> {};
  }

  /** Returns the status and the error code, or how the connection ended without a response. */
  private String call(TestCase testCase, String id) throws Exception {
    String request =
        String.format(
            "{\"model\":\"%s\",\"stream\":%b,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
            testCase.model(), testCase.stream(), id);
    Map<String, String> headers =
        Map.of(
            "X-Organisation",
            "desk",
            "X-Request-Id",
            id,
            "Idempotency-Key",
            "key-" + id,
            "X-Idempotent",
            "false",
            "X-Deadline-Millis",
            "3000");
    try {
      TestCluster.Reply reply =
          cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
      return reply.status() + " " + reply.code();
    } catch (IOException closed) {
      return "closed";
    }
  }
}
