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
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(10);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry northEntry;
  private static FleetHarness.Entry southEntry;

  @BeforeAll
  static void start() throws Exception {
    fleet =
        new FleetHarness(
            folder.resolve("data"), Map.of(1L, table(1, "k1", "k2"), 2L, table(2, "k1")));
    northEntry = fleet.startEntry("north-1", "north");
    southEntry = fleet.startEntry("south-1", "south");
    fleet.activateRouteTable(1);
    HttpServer server =
        fleet.onContext(
            () ->
                fleet
                    .vertx()
                    .createHttpServer()
                    .requestHandler(OrganisationKeysTest::echo)
                    .listen(0, "127.0.0.1"));
    fleet.keepAnnouncing("i-1", "model", "north", server.actualPort());
    fleet.awaitReady(northEntry);
    fleet.awaitReady(southEntry);
    fleet.awaitEndpoints(northEntry, "model", 1);
  }

  private static RouteTable table(long version, String... keys) {
    Route keyRequired =
        FleetHarness.routeTo("model", RouteKind.AT_MOST_ONCE, false, 1, REQUEST_TIMEOUT);
    Route authExempt =
        new Route(
            "open",
            keyRequired.host(),
            "/open/",
            keyRequired.kind(),
            keyRequired.timeout(),
            keyRequired.latencyObjective(),
            0,
            keyRequired.shares(),
            1,
            false,
            Optional.empty(),
            Set.of(),
            true);
    Organisation desk =
        new Organisation("desk", Set.of(keys), OptionalInt.empty(), Optional.empty(), Set.of());
    return new RouteTable(
        version,
        List.of(keyRequired, authExempt),
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
  void endpointsReceiveTheOrganisationButNotTheKey(
      String name, String path, Optional<String> authorization, int status, String inBody)
      throws Exception {
    for (FleetHarness.Entry entry : List.of(northEntry, southEntry)) {
      HttpResponse<String> response = awaitStatus(entry, path, authorization, status);
      assertThat(response.body(), containsString(inBody));
      assertThat(response.body(), not(containsString("authorization")));
      assertThat(response.body(), not(containsString("x-organisation=forged")));
    }
  }

  @Order(2)
  @Test
  void revokedKeyIsRefused() throws Exception {
    fleet.activateRouteTable(2);
    for (FleetHarness.Entry entry : List.of(northEntry, southEntry)) {
      awaitStatus(entry, "/model/x", Optional.of("Bearer k2"), 401);
      awaitStatus(entry, "/model/x", Optional.of("Bearer k1"), 200);
    }
  }

  /** An entry disconnected from the control instances would not receive the revocation of a key. */
  @Order(3)
  @Test
  void disconnectedEntriesAcceptNoKeys() throws Exception {
    fleet.stopControl();
    TimeUnit.MILLISECONDS.sleep(FleetHarness.REVOCATION_DELAY.toMillis());
    for (FleetHarness.Entry entry : List.of(northEntry, southEntry)) {
      HttpResponse<String> response = send(entry, "/model/x", Optional.of("Bearer k1"));
      assertThat(response.statusCode(), is(503));
      assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
    }
    fleet.restartControl();
    for (FleetHarness.Entry entry : List.of(northEntry, southEntry)) {
      awaitStatus(entry, "/model/x", Optional.of("Bearer k1"), 200);
    }
  }

  private static HttpResponse<String> awaitStatus(
      FleetHarness.Entry entry, String path, Optional<String> authorization, int status)
      throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    HttpResponse<String> response = send(entry, path, authorization);
    while (response.statusCode() != status && Instant.now().isBefore(deadline)) {
      TimeUnit.MILLISECONDS.sleep(50);
      response = send(entry, path, authorization);
    }
    assertThat(response.body(), response.statusCode(), is(status));
    return response;
  }

  private static HttpResponse<String> send(
      FleetHarness.Entry entry, String path, Optional<String> authorization) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.publicPort() + path))
            .POST(HttpRequest.BodyPublishers.ofString("body " + REQUESTS.incrementAndGet()))
            .header("X-Request-Id", "id-" + REQUESTS.get())
            .header("X-Deadline", Long.toString(REQUEST_TIMEOUT.toMillis()))
            .header("X-Organisation", "forged")
            .timeout(AWAIT_TIMEOUT);
    authorization.ifPresent(a -> request.header("Authorization", a));
    return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
