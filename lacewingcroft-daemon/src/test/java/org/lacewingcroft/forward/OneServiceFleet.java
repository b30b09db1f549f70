package org.lacewingcroft.forward;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.fleet.FleetBounds;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteTable;

/**
 * A fleet with one entry in each of two regions and scripted endpoints of one service in one of
 * them. Callers use the entry in north.
 */
final class OneServiceFleet implements AutoCloseable {
  static final String SERVICE = "engine";
  static final String BODY = "a body";

  /** The events of a complete stream. */
  static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

  private final FleetHarness fleet;
  private final ScriptedEndpoints endpoints;
  private final FleetHarness.Entry entry;

  /**
   * Starts the fleet and waits until both entries serve.
   *
   * @param route a route to {@link #SERVICE}
   * @param region the region of the endpoints
   * @param endpointCount the number of endpoints
   * @param script what the endpoints do with the sends of the requests, in order
   */
  OneServiceFleet(
      Path folder,
      FleetBounds bounds,
      Route route,
      String region,
      int endpointCount,
      List<Action> script)
      throws Exception {
    RouteTable table =
        new RouteTable(
            1, List.of(route), List.of(FleetHarness.serviceNamed(SERVICE)), RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder, Map.of(1L, table), bounds);
    endpoints = new ScriptedEndpoints(fleet.vertx(), endpointCount, script);
    entry = fleet.startEntry("north", "north");
    final FleetHarness.Entry remote = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    for (int port : endpoints.ports()) {
      fleet.keepAnnouncing("e" + port, SERVICE, region, port);
    }
    fleet.awaitReady(entry);
    fleet.awaitReady(remote);
    fleet.awaitEndpoints(entry, SERVICE, endpointCount);
  }

  FleetHarness fleet() {
    return fleet;
  }

  FleetHarness.Entry entry() {
    return entry;
  }

  ScriptedEndpoints endpoints() {
    return endpoints;
  }

  /** Waits until a request has reached an endpoint. */
  void awaitRequest() throws InterruptedException {
    while (endpoints.heads().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /**
   * Sends a request, again while the entry does not know the load of the endpoints' region; the
   * result fails if the connection is closed within the response.
   */
  CompletableFuture<HttpResponse<String>> call(String id) {
    return sendUntilPlaced(HttpClient.newHttpClient(), request(id), 100);
  }

  /** Sends a request once. */
  CompletableFuture<HttpResponse<String>> callOnce(String id) {
    return sendUntilPlaced(HttpClient.newHttpClient(), request(id), 0);
  }

  private HttpRequest request(String id) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
        .POST(HttpRequest.BodyPublishers.ofString(BODY))
        .header("X-Request-Id", id)
        .header("X-Deadline", "7000")
        .build();
  }

  private CompletableFuture<HttpResponse<String>> sendUntilPlaced(
      HttpClient client, HttpRequest request, int triesLeft) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenCompose(
            response ->
                response.statusCode() == 503 && triesLeft > 0
                    ? CompletableFuture.supplyAsync(
                            () -> triesLeft - 1,
                            CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS))
                        .thenCompose(left -> sendUntilPlaced(client, request, left))
                    : CompletableFuture.completedFuture(response));
  }

  @Override
  public void close() throws Exception {
    endpoints.close();
    fleet.close();
  }
}
