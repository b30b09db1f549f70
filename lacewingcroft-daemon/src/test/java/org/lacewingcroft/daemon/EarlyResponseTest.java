package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

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
import org.lacewingcroft.forward.EarlyEndpoint;
import org.lacewingcroft.forward.EarlyEndpoint.End;
import org.lacewingcroft.forward.PartialResponse;

/**
 * Guards against a part of a response being passed on as complete whose endpoint ended the
 * connection while the request was still being written.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EarlyResponseTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";
  private static final String NOT_COMPLETE = "not complete";
  private static final int REPETITIONS = 2;
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** A body that is not written completely if its receiver reads nothing. */
  private static final int LONG_UPLOAD_BYTES = 3 << 20;

  /** Nearly the default limit of a body; the operating system may buffer it completely. */
  private static final int DEFAULT_UPLOAD_BYTES = 1_000_000;

  private TestCluster cluster;
  private Daemon entry;
  private Daemon otherEntry;

  /**
   * A test case.
   *
   * @param uploadBytes the size of the request's body
   * @param region the region of the endpoint; the request is relayed if it is the other one
   * @param response what the endpoint sends
   * @param end how it ends the connection
   * @param delayMillis the time between the response and the end
   */
  record TestCase(
      String model,
      int uploadBytes,
      String region,
      PartialResponse response,
      End end,
      long delayMillis) {
    @Override
    public String toString() {
      return uploadBytes + " " + region + " " + response + " " + end + " after " + delayMillis;
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (String region : List.of(REGION, OTHER_REGION)) {
      for (PartialResponse response : PartialResponse.values()) {
        for (long delayMillis : List.of(0L, 3L, 30L)) {
          for (int uploadBytes : List.of(LONG_UPLOAD_BYTES, DEFAULT_UPLOAD_BYTES)) {
            String model = "m" + cases.size();
            cases.add(new TestCase(model, uploadBytes, region, response, End.RESET, delayMillis));
          }
          String model = "m" + cases.size();
          cases.add(
              new TestCase(model, LONG_UPLOAD_BYTES, region, response, End.FINISH, delayMillis));
        }
      }
    }
    return cases.stream();
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]", MAX_BODY_BYTES);
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
    otherEntry = cluster.startEntry("entry-2", OTHER_REGION, Duration.ZERO);
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void partOfResponseDuringUploadIsNotComplete(TestCase testCase) throws Exception {
    String model = testCase.model();
    String bytes = testCase.response().bytes();
    try (EarlyEndpoint endpoint =
        new EarlyEndpoint(bytes, testCase.end(), testCase.delayMillis())) {
      cluster.announce(
          testCase.region().equals(REGION) ? entry : otherEntry,
          model,
          testCase.region(),
          model,
          endpoint.port(),
          /* draining= */ false);
      List<String> outcomes = new ArrayList<>();
      for (int i = 0; i < 200 && outcomes.size() < REPETITIONS; i++) {
        int before = endpoint.requests();
        String outcome = call(testCase, model + "-" + i);
        if (endpoint.requests() > before) {
          outcomes.add(outcome);
        }
        TimeUnit.MILLISECONDS.sleep(25);
      }
      assertThat(outcomes, everyItem(equalTo(NOT_COMPLETE)));
      assertThat("requests", outcomes.size(), greaterThanOrEqualTo(1));
    }
  }

  /** Returns the status and the body of a response that is complete and no error of the entry. */
  private String call(TestCase testCase, String id) throws Exception {
    String request =
        String.format(
            "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"%s %s\"}]}",
            testCase.model(), id, "u".repeat(testCase.uploadBytes()));
    Map<String, String> headers =
        Map.of("X-Organisation", "desk", "Idempotency-Key", "key-" + id, "X-Idempotent", "false");
    try {
      TestCluster.Reply reply =
          cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
      String body = reply.response().body();
      // An event stream that was broken off ends with an error event.
      return reply.status() >= 500 || body.contains("event: error")
          ? NOT_COMPLETE
          : reply.status() + " '" + body + "'";
    } catch (IOException brokenOff) {
      return NOT_COMPLETE;
    }
  }
}
