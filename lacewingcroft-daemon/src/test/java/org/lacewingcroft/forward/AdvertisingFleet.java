package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lacewingcroft.fleet.FleetBounds;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * A fleet with three entries in the region of the endpoints and one entry in another region, two
 * endpoints for each service, and callers that send requests to each entry. The callers of
 * successive entries start {@link #START_STAGGER_MILLIS} apart.
 */
final class AdvertisingFleet implements AutoCloseable {
  /**
   * The entry in the other region; request ids start with the name of the entry they are sent to.
   */
  static final String ENTRY_IN_OTHER_REGION = "south-0";

  private static final List<String> ENTRY_NAMES =
      List.of("north-0", "north-1", "north-2", ENTRY_IN_OTHER_REGION);
  private static final int ENDPOINTS_PER_SERVICE = 2;
  private static final long CALL_INTERVAL_MILLIS = 125;
  private static final long START_STAGGER_MILLIS = 1_200;
  private static final int CONSECUTIVE_SERVED_PER_ENTRY = 12;

  /** Stands for no entry where an index is expected. */
  private static final int NONE = -1;

  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicInteger requests = new AtomicInteger();
  private final List<FleetHarness.Entry> entries = new CopyOnWriteArrayList<>();
  private final Map<String, AdvertisingEndpoints> endpoints = new LinkedHashMap<>();
  private final List<String> refusedWithoutRetryAfter = new CopyOnWriteArrayList<>();
  private final FleetHarness fleet;
  private volatile int restarting = NONE;

  /**
   * Starts the fleet.
   *
   * @param statuses the initial status (code and reason phrase) of responses, by service name
   */
  AdvertisingFleet(Path folder, Map<String, String> statuses) throws Exception {
    this(folder, statuses, FleetHarness.BOUNDS);
  }

  /** Starts the fleet with the given bounds. */
  AdvertisingFleet(Path folder, Map<String, String> statuses, FleetBounds bounds) throws Exception {
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    for (String name : statuses.keySet()) {
      routes.add(FleetHarness.routeTo(name, RouteKind.IDEMPOTENT, false, 2, Duration.ofSeconds(2)));
      services.add(FleetHarness.serviceNamed(name));
    }
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table), bounds);
    for (String name : ENTRY_NAMES) {
      entries.add(fleet.startEntry(name, name.split("-")[0]));
    }
    fleet.activateRouteTable(1);
    for (Map.Entry<String, String> service : statuses.entrySet()) {
      String name = service.getKey();
      AdvertisingEndpoints serviceEndpoints =
          new AdvertisingEndpoints(fleet.vertx(), ENDPOINTS_PER_SERVICE, service.getValue());
      endpoints.put(name, serviceEndpoints);
      for (int i = 0; i < ENDPOINTS_PER_SERVICE; i++) {
        fleet.keepAnnouncing(name + "-" + i, name, "north", serviceEndpoints.all().get(i).port());
      }
    }
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
      for (String name : statuses.keySet()) {
        fleet.awaitEndpoints(entry, name, ENDPOINTS_PER_SERVICE);
      }
    }
  }

  /** Returns the first {@code count} endpoints of a service. */
  List<AdvertisingEndpoints.Endpoint> endpoints(String service, int count) {
    return endpoints.get(service).all().subList(0, count);
  }

  /** Returns the names of the entries in the region of the endpoints. */
  List<String> entriesInEndpointRegion() {
    return ENTRY_NAMES.stream().filter(name -> !name.equals(ENTRY_IN_OTHER_REGION)).toList();
  }

  /**
   * Sends requests for all services to all entries, and runs an action meanwhile.
   *
   * @param duration how long the requests are sent
   * @param actionDelay the delay before the action
   */
  void callDuring(Duration duration, Duration actionDelay, Runnable action)
      throws InterruptedException {
    List<Thread> callers = new ArrayList<>();
    long endNanos = System.nanoTime() + duration.toNanos();
    for (int e = 0; e < entries.size(); e++) {
      int entry = e;
      long startDelayMillis = e * START_STAGGER_MILLIS;
      for (String service : endpoints.keySet()) {
        callers.add(new Thread(() -> callUntil(endNanos, startDelayMillis, entry, service)));
      }
    }
    callers.forEach(Thread::start);
    TimeUnit.MILLISECONDS.sleep(actionDelay.toMillis());
    action.run();
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void callUntil(long endNanos, long startDelayMillis, int entry, String service) {
    try {
      TimeUnit.MILLISECONDS.sleep(startDelayMillis);
      while (System.nanoTime() < endNanos) {
        callUnlessRestarting(entry, service);
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends a request to an entry; the connection may fail if the entry is restarted meanwhile. */
  private void callUnlessRestarting(int index, String service) throws Exception {
    FleetHarness.Entry entry = entries.get(index);
    try {
      call(entry, service);
    } catch (IOException e) {
      if (restarting != index && entries.get(index) == entry) {
        throw e;
      }
    }
  }

  /**
   * Restarts the entries in turn. Each entry starts without the state of its predecessor.
   *
   * @param duration how long entries are restarted
   * @param interval the pause between two restarts
   */
  void restartEntriesInTurn(Duration duration, Duration interval) {
    long endNanos = System.nanoTime() + duration.toNanos();
    try {
      for (int i = 0; System.nanoTime() < endNanos; i++) {
        restart(i % entries.size());
        TimeUnit.MILLISECONDS.sleep(interval.toMillis());
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private void restart(int index) throws Exception {
    FleetHarness.Entry stopped = entries.get(index);
    restarting = index;
    fleet.stopEntry(stopped);
    String name = stopped.node().name();
    FleetHarness.Entry started = fleet.startEntry(name, name.split("-")[0]);
    fleet.awaitReady(started);
    entries.set(index, started);
    restarting = NONE;
  }

  private int call(FleetHarness.Entry entry, String service) throws Exception {
    int number = requests.incrementAndGet();
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body " + number))
            .header("X-Request-Id", entry.node().name() + "-" + number)
            .header("X-Deadline", "2000")
            .timeout(Duration.ofSeconds(4))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    boolean hasRetryAfter = response.headers().firstValue("Retry-After").isPresent();
    if (response.statusCode() == 503 && !hasRetryAfter) {
      refusedWithoutRetryAfter.add(service);
    }
    return response.statusCode();
  }

  /** Returns the number of requests that callers have sent. */
  int requests() {
    return requests.get();
  }

  /** Returns the services of requests that were refused without {@code Retry-After}. */
  List<String> refusedWithoutRetryAfter() {
    return refusedWithoutRetryAfter;
  }

  /**
   * Waits until {@link #CONSECUTIVE_SERVED_PER_ENTRY} consecutive requests have been served by each
   * entry.
   */
  void awaitServed(String service, Duration timeout) throws Exception {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    int consecutive = 0;
    while (consecutive < CONSECUTIVE_SERVED_PER_ENTRY * entries.size()) {
      consecutive =
          call(entries.get(consecutive % entries.size()), service) == 200 ? consecutive + 1 : 0;
      assertThat(
          service + " served again, " + consecutive + " consecutive requests",
          deadlineNanos,
          greaterThan(System.nanoTime()));
    }
  }

  @Override
  public void close() throws Exception {
    endpoints.values().forEach(AdvertisingEndpoints::close);
    fleet.close();
  }
}
