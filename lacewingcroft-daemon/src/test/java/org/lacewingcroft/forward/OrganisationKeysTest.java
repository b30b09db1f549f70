package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks API keys at the entry and the headers that reach an endpoint. Guards against entries that
 * forward all caller headers without checking keys: endpoints then run requests without a known key
 * and receive the keys themselves. The endpoint of this test responds with the request head that it
 * received.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class OrganisationKeysTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry near;
  private static FleetHarness.Entry far;

  @BeforeAll
  static void start() throws Exception {
    fleet =
        new FleetHarness(
            folder.resolve("data"), Map.of(1L, table(1, "k1", "k2"), 2L, table(2, "k1")));
    near = fleet.startEntry("north-1", "north");
    far = fleet.startEntry("south-1", "south");
    fleet.route(1);
    HttpServer server =
        fleet.onContext(
            () ->
                fleet
                    .vertx()
                    .createHttpServer()
                    .requestHandler(OrganisationKeysTest::echo)
                    .listen(0, "127.0.0.1"));
    fleet.keepAnnouncing("i-1", "model", "north", server.actualPort());
    fleet.awaitReady(near);
    fleet.awaitReady(far);
    fleet.awaitEndpoints(near, "model", 1);
  }

  private static RouteTable table(long version, String... keys) {
    Route closed = FleetHarness.routeTo("model", RouteKind.AT_MOST_ONCE, false, 1, TIMEOUT);
    Route open =
        new Route(
            "open",
            closed.host(),
            "/open/",
            closed.kind(),
            closed.timeout(),
            closed.latencyObjective(),
            0,
            closed.shares(),
            1,
            false,
            Optional.empty(),
            Set.of(),
            true);
    Organisation desk =
        new Organisation("desk", Set.of(keys), OptionalInt.empty(), Optional.empty(), Set.of());
    return new RouteTable(
        version,
        List.of(closed, open),
        List.of(FleetHarness.serviceNamed("model")),
        RequestLimits.DEFAULT,
        List.of(desk));
  }

  private static void echo(HttpServerRequest request) {
    request
        .response()
        .putHeader("X-Request-Id", request.getHeader("X-Request-Id"))
        .putHeader("X-Proof", "signed")
        .end(request.headers().toString().toLowerCase(Locale.ROOT));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  static Stream<Arguments> requests() {
    return Stream.of(
        Arguments.of("a key", "/model/x", Optional.of("Bearer k1"), 200, "x-organisation=desk"),
        Arguments.of("the other key", "/model/x", Optional.of("Bearer k2"), 200, "=desk"),
        Arguments.of("no key", "/model/x", Optional.empty(), 401, "key"),
        Arguments.of("unknown key", "/model/x", Optional.of("Bearer k9"), 401, "key"),
        Arguments.of("another scheme", "/model/x", Optional.of("Basic k1"), 401, "key"),
        Arguments.of("open route", "/open/x", Optional.empty(), 200, "x-request-id"),
        Arguments.of("open route, key", "/open/x", Optional.of("Bearer k1"), 200, "=desk"));
  }

  @Order(1)
  @ParameterizedTest(name = "{0}")
  @MethodSource("requests")
  void endpointsAreToldTheOrganisationAndNeverTheKey(
      String name, String path, Optional<String> authorization, int status, String inBody)
      throws Exception {
    for (FleetHarness.Entry entry : List.of(near, far)) {
      HttpResponse<String> answer = await(entry, path, authorization, status);
      assertThat(answer.body(), containsString(inBody));
      assertThat(answer.body(), not(containsString("authorization")));
      assertThat(answer.body(), not(containsString("x-organisation=forged")));
    }
  }

  @Order(2)
  @Test
  void withdrawnKeyIsRefused() throws Exception {
    fleet.route(2);
    for (FleetHarness.Entry entry : List.of(near, far)) {
      await(entry, "/model/x", Optional.of("Bearer k2"), 401);
      await(entry, "/model/x", Optional.of("Bearer k1"), 200);
    }
  }

  /** An entry disconnected from the control instances would not receive the revocation of a key. */
  @Order(3)
  @Test
  void entriesOutOfTouchAcceptNoKeys() throws Exception {
    fleet.stopControl();
    TimeUnit.MILLISECONDS.sleep(FleetHarness.REVOCATION.toMillis());
    for (FleetHarness.Entry entry : List.of(near, far)) {
      HttpResponse<String> answer = send(entry, "/model/x", Optional.of("Bearer k1"));
      assertThat(answer.statusCode(), is(503));
      assertThat(answer.headers().firstValue("Retry-After").isPresent(), is(true));
    }
    fleet.restartControl();
    for (FleetHarness.Entry entry : List.of(near, far)) {
      await(entry, "/model/x", Optional.of("Bearer k1"), 200);
    }
  }

  private static HttpResponse<String> await(
      FleetHarness.Entry entry, String path, Optional<String> authorization, int status)
      throws Exception {
    Instant end = Instant.now().plus(PATIENCE);
    HttpResponse<String> answer = send(entry, path, authorization);
    while (answer.statusCode() != status && Instant.now().isBefore(end)) {
      TimeUnit.MILLISECONDS.sleep(50);
      answer = send(entry, path, authorization);
    }
    assertThat(answer.body(), answer.statusCode(), is(status));
    return answer;
  }

  private static HttpResponse<String> send(
      FleetHarness.Entry entry, String path, Optional<String> authorization) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.publicPort() + path))
            .POST(HttpRequest.BodyPublishers.ofString("body " + REQUESTS.incrementAndGet()))
            .header("X-Request-Id", "id-" + REQUESTS.get())
            .header("X-Deadline", Long.toString(TIMEOUT.toMillis()))
            .header("X-Organisation", "forged")
            .timeout(PATIENCE);
    authorization.ifPresent(a -> request.header("Authorization", a));
    return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
