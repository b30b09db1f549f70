package org.lacewingcroft.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.endpoint.EndpointKind;

/** Tests the rate limit and pause that a stand-in runner advertises in its responses. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StandinConditionsTest {
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private final Vertx vertx = Vertx.vertx();
  private StandinRunner runner;

  @BeforeAll
  void start() throws Exception {
    runner =
        new StandinRunner(
            vertx,
            new RunnerSpec(
                "desk-1",
                EndpointKind.SERVICE,
                "uusimaa",
                "uusimaa-a",
                Map.of(),
                List.of("desk"),
                4,
                List.of(),
                Duration.ofSeconds(60),
                Duration.ZERO,
                false,
                EngineTiming.DEFAULT,
                16));
    runner.start("127.0.0.1").toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @AfterAll
  void stop() throws Exception {
    runner.close();
    vertx.close();
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    return CLIENT.send(
        HttpRequest.newBuilder(URI.create(runner.baseUrl() + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "{}; 200; 200; ; ",
        "{\"requestsPerSecond\":1.1}; 200; 200; 1.1; ",
        "{\"pauseSeconds\":3}; 200; 503; ; 3.0",
        "{\"requestsPerSecond\":0,\"pauseSeconds\":1.5}; 200; 503; 0.0; 1.5",
        "{\"requestsPerSecond\":-1}; 400; 200; ; ",
        "{\"pauseSeconds\":\"soon\"}; 400; 200; ; ",
        "[]; 400; 200; ; ",
        "no JSON; 400; 200; ; "
      })
  void advertisesConfiguredConditions(
      String conditions, int conditionsStatus, int status, String rate, String retryAfter)
      throws Exception {
    post("/v1/admin/conditions", "{}");
    assertThat(post("/v1/admin/conditions", conditions).statusCode(), is(conditionsStatus));
    HttpResponse<String> response = post("/v1/orders", "{}");
    assertThat(response.statusCode(), is(status));
    assertThat(response.headers().firstValue("Server-Limit"), is(Optional.ofNullable(rate)));
    assertThat(response.headers().firstValue("Retry-After"), is(Optional.ofNullable(retryAfter)));
  }
}
