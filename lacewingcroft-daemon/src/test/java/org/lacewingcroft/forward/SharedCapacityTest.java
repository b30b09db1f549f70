package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

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
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingcroft.limit.FairShares;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks that an entry refuses an organisation that exceeds its share of a saturated service, that
 * it serves another organisation meanwhile, that it refuses nobody before and after, and that the
 * other entries do the same. Guards against a decision that is not applied at admission, usage that
 * does not reach other entries, and refusals that ran.
 */
class SharedCapacityTest {
  private static final String SERVICE = "desk";
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(15);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();

  @TempDir private Path folder;
  private FleetHarness fleet;
  private FleetHarness.Entry entry;
  private FleetHarness.Entry neighbour;

  @BeforeEach
  void start() throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(SERVICE, RouteKind.AT_MOST_ONCE, false, 1, REQUEST_TIMEOUT)),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT,
            List.of(organisation("large"), organisation("small")));
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("north-1", "north");
    neighbour = fleet.startEntry("north-2", "north");
    fleet.activateRouteTable(1);
    HttpServer server =
        fleet.onContext(
            () ->
                fleet.vertx().createHttpServer().requestHandler(this::run).listen(0, "127.0.0.1"));
    fleet.keepAnnouncing("i-1", SERVICE, "north", server.actualPort());
    for (FleetHarness.Entry started : List.of(entry, neighbour)) {
      fleet.awaitReady(started);
      fleet.awaitEndpoints(started, SERVICE, 1);
      awaitServed(started);
    }
  }

  /** Waits until an entry can check API keys. */
  private void awaitServed(FleetHarness.Entry started) throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    int status = send(started, "small").statusCode();
    while (status != 200 && Instant.now().isBefore(deadline)) {
      TimeUnit.MILLISECONDS.sleep(50);
      status = send(started, "small").statusCode();
    }
    assertThat(status, is(200));
  }

  private static Organisation organisation(String name) {
    return new Organisation(
        name, Set.of("key-" + name), OptionalInt.empty(), Optional.empty(), Set.of());
  }

  private void run(HttpServerRequest request) {
    runs.incrementAndGet();
    request
        .response()
        .putHeader("X-Request-Id", request.getHeader("X-Request-Id"))
        .putHeader("X-Proof", "signed")
        .end("done");
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Counts requests of the large organisation, most of which placement refused for overload. */
  private void saturate() throws Exception {
    fleet.run(
        () -> {
          for (int i = 0; i < 40; i++) {
            FairShares.Request request =
                new FairShares.Request("large", SERVICE, 0, 1, "caller " + i);
            boolean admitted = entry.node().sharing().admit(request).isEmpty();
            if (admitted && i >= 4) {
              entry.node().sharing().refund(request);
            }
          }
          entry.node().sharing().recordOverload(SERVICE);
        });
  }

  @Test
  void organisationBeyondItsShareIsRefusedWhileAnotherIsServed() throws Exception {
    assertThat(send(entry, "large").statusCode(), is(200));
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    int runsBefore = runs.get();
    HttpResponse<String> refused = null;
    do {
      saturate();
      runsBefore = runs.get();
      refused = send(entry, "large");
    } while (refused.statusCode() != 503 && Instant.now().isBefore(deadline));
    assertThat(refused.statusCode(), is(503));
    assertThat(refused.body(), containsString("share"));
    assertThat(refused.headers().firstValue("Retry-After").isPresent(), is(true));
    assertThat(runs.get(), is(runsBefore));
    assertThat(send(entry, "small").statusCode(), is(200));
    TimeUnit.MILLISECONDS.sleep(2_100);
    assertThat(send(entry, "large").statusCode(), is(200));
  }

  /** The other entries of the region receive the usage and apply the same shares. */
  @Test
  void neighbourRefusesTheSameOrganisation() throws Exception {
    assertThat(send(neighbour, "large").statusCode(), is(200));
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    HttpResponse<String> response = null;
    do {
      saturate();
      TimeUnit.MILLISECONDS.sleep(300);
      response = send(neighbour, "large");
    } while (response.statusCode() != 503 && Instant.now().isBefore(deadline));
    assertThat(response.statusCode(), is(503));
    assertThat(response.body(), containsString("share"));
    assertThat(send(neighbour, "small").statusCode(), is(200));
  }

  private HttpResponse<String> send(FleetHarness.Entry to, String organisation) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + to.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body " + requests.incrementAndGet()))
            .header("X-Request-Id", "id-" + requests.get())
            .header("X-Deadline", Long.toString(REQUEST_TIMEOUT.toMillis()))
            .header("Authorization", "Bearer key-" + organisation)
            .timeout(AWAIT_TIMEOUT)
            .build();
    return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
  }
}
