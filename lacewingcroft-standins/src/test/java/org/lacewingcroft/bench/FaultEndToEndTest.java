package org.lacewingcroft.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the system invariants on real processes that are partitioned, killed, frozen and stopped.
 * Each test restores the deployment to its initial state.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FaultEndToEndTest {
  private static final String HOME_REGION = "uusimaa";
  private static final Optional<String> HOME_ONLY = Optional.of(HOME_REGION);
  private static final String OTHER_REGION = "pirkanmaa";
  private static final long SHORT_FREEZE_MILLIS = 1_500;
  private static final long LONG_FREEZE_MILLIS = 6_000;
  private static final int MAX_DRAIN_PROPAGATION_MILLIS = 5_000;
  private LocalDeployment deployment;

  @BeforeAll
  void start(@TempDir Path workDir) throws Exception {
    deployment =
        LocalDeployment.start(
            DemoDeployment.topology().withDaemonArgs("--fault-injection"), workDir);
  }

  @AfterAll
  void stop() throws Exception {
    assertThat("processes that did not stop cleanly", deployment.stop(), is(empty()));
  }

  private ReplayResult replay(List<TraceRequest> trace, Function<TraceRequest, String> entryNodeFor)
      throws Exception {
    try (TraceReplayer replayer = new TraceReplayer()) {
      return replayer.replay(trace, r -> deployment.urlOf(entryNodeFor.apply(r)));
    }
  }

  private static String firstEntryOf(TraceRequest r) {
    return r.region() + "-entry-1";
  }

  private void setPartitioned(String region, boolean partitioned) throws Exception {
    Set<String> others =
        Set.copyOf(DemoDeployment.REGIONS.stream().filter(r -> !r.equals(region)).toList());
    for (Map.Entry<String, String> node : deployment.regionsByNode().entrySet()) {
      Set<String> cutRegions = node.getValue().equals(region) ? others : Set.of(region);
      deployment.injectFaults(node.getKey(), partitioned ? cutRegions : Set.of(), 0);
    }
  }

  @Test
  void partitionedRegionServesItsCallersWithItsLastConfiguration() throws Exception {
    String partitionedEntry = deployment.urlOf(OTHER_REGION + "-entry-1");
    final long versionBefore = deployment.client().configVersion(partitionedEntry);
    List<TraceRequest> ownRequests =
        DemoDeployment.trace().stream().filter(r -> r.region().equals(OTHER_REGION)).toList();
    setPartitioned(OTHER_REGION, true);
    final long changedVersion =
        deployment.applyConfig(DemoDeployment.resource("demo/selectors.yaml") + "# changed\n");
    ReplayResult duringPartition = replay(ownRequests, FaultEndToEndTest::firstEntryOf);
    assertThat(
        duringPartition.report("network partition"),
        duringPartition.outcome("served"),
        is(ownRequests.size()));
    assertThat(duringPartition.servedByRegion.get(OTHER_REGION), is(ownRequests.size()));
    assertThat(deployment.client().configVersion(partitionedEntry), is(versionBefore));
    setPartitioned(OTHER_REGION, false);
    LocalDeployment.awaitCondition(
        "the region applies the change after it is reconnected",
        () -> deployment.client().configVersion(partitionedEntry) == changedVersion);
  }

  @Test
  void requestsWithHomeResidencyAreRefusedWhenTheRegionHasNoCapacity() throws Exception {
    String writers = "writers-" + HOME_REGION;
    deployment.terminate(writers);
    List<TraceRequest> trace = DemoDeployment.trace();
    final ReplayResult result = replay(trace, FaultEndToEndTest::firstEntryOf);
    deployment.restart(writers);
    deployment.awaitEndpoints(HOME_REGION + "-entry-1");
    deployment.awaitEndpoints(HOME_REGION + "-entry-2");
    long homeOnlyCount = trace.stream().filter(r -> r.residency().equals(HOME_ONLY)).count();
    assertThat(result.report("no capacity"), result.outsideResidency, is(0));
    assertThat(result.outcome("not_run"), is((int) homeOnlyCount));
    assertThat(result.outcome("served"), is(trace.size() - (int) homeOnlyCount));
    assertThat(result.crossRegion, is(greaterThan(0)));
    assertThat(result.corrupted, is(0));
  }

  /**
   * A fault of an entry that owns the idempotency keys of some of the orders. The fault is injected
   * while the orders are sent.
   */
  private enum EntryFault {
    KILLED,
    KILLED_TWICE,
    FROZEN,
    FROZEN_UNTIL_REMOVED,
    STOPPED
  }

  static Stream<EntryFault> entryFaults() {
    return Stream.of(EntryFault.values());
  }

  @ParameterizedTest
  @MethodSource("entryFaults")
  void ordersRunAtMostOnceWhenAnEntryIs(EntryFault fault) throws Exception {
    List<String> entries = List.of(HOME_REGION + "-entry-1", HOME_REGION + "-entry-2");
    final OrderLoad load = new OrderLoad(deployment, entries, deskRunners(), fault.name());
    CompletableFuture<Void> sending = load.start();
    inject(entries.get(0), fault);
    load.finish(sending);
    assertThat(load.summary(), load.runsByKey().values(), everyItem(lessThanOrEqualTo(1)));
    assertThat(load.summary(), load.keysWithDifferentOrders(), is(empty()));
    assertThat(load.summary(), load.servedKeysNotRun(), is(empty()));
    assertThat(load.summary(), load.refusedKeysThatRan(), is(empty()));
    assertThat(load.summary(), load.served(), is(greaterThan(0)));
    System.out.println("entry " + fault + ": " + load.summary());
    deployment.awaitEndpoints(entries.get(0));
  }

  /** Returns the runner URLs of all regions, because orders may be relayed to other regions. */
  private List<String> deskRunners() {
    return deployment.standinUrlsByGroup().entrySet().stream()
        .filter(group -> group.getKey().startsWith("desk-"))
        .flatMap(group -> group.getValue().stream())
        .toList();
  }

  private void inject(String entry, EntryFault fault) throws Exception {
    switch (fault) {
      case KILLED -> {
        deployment.kill(entry);
        deployment.restart(entry);
      }
      case KILLED_TWICE -> {
        deployment.kill(entry);
        deployment.restart(entry);
        deployment.kill(entry);
        deployment.restart(entry);
      }
      case FROZEN -> freeze(entry, SHORT_FREEZE_MILLIS);
      case FROZEN_UNTIL_REMOVED -> freeze(entry, LONG_FREEZE_MILLIS);
      default -> {
        assertThat(deployment.terminate(entry), is(143));
        deployment.restart(entry);
      }
    }
  }

  private void freeze(String entry, long millis) throws Exception {
    deployment.freeze(entry);
    OrderLoad.sleep(millis);
    deployment.resume(entry);
  }

  /**
   * Checks graceful stops under load. Every request is completed, refused as not run, or fails to
   * connect (its caller then tries another entry). No connection is lost after a request was sent.
   */
  @ParameterizedTest
  @MethodSource("gracefulStops")
  void gracefulStopInterruptsNoRequest(String process) throws Exception {
    List<TraceRequest> trace = TraceRequest.scaled(DemoDeployment.trace(), 3, 1.5);
    final CompletableFuture<ReplayResult> load =
        CompletableFuture.supplyAsync(() -> unchecked(() -> replay(trace, r -> entryFor(r))));
    OrderLoad.sleep(1_000);
    deployment.terminate(process);
    deployment.restart(process);
    ReplayResult result = load.get();
    for (String entry : deployment.entryUrls().keySet()) {
      deployment.awaitEndpoints(entry);
    }
    System.out.println("stopped " + process + ": " + result.outcomes);
    Set<String> expectedOutcomes = Set.of("served", "shutting_down", "not_run", "unreachable");
    assertThat(
        result.report(process), result.outcomes.keySet(), everyItem(is(in(expectedOutcomes))));
    assertThat(result.report(process), result.corrupted, is(0));
  }

  private String entryFor(TraceRequest r) {
    return r.region() + "-entry-" + (1 + r.atMillis() % 2);
  }

  static Stream<String> gracefulStops() {
    return Stream.of(OTHER_REGION + "-entry-1", "writers-" + OTHER_REGION, "control-1");
  }

  private interface Action<T> {
    T run() throws Exception;
  }

  private static <T> T unchecked(Action<T> action) {
    try {
      return action.run();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** The bound is specified in docs/INVARIANTS.md. The measured time is printed. */
  @Test
  void drainingEndpointIsReportedByEveryEntryOfItsRegion() throws Exception {
    String writers = "writers-" + OTHER_REGION;
    CompletableFuture<Integer> stopping =
        CompletableFuture.supplyAsync(() -> unchecked(() -> deployment.terminate(writers)));
    final long startNanos = System.nanoTime();
    for (String entry : List.of(OTHER_REGION + "-entry-1", OTHER_REGION + "-entry-2")) {
      LocalDeployment.awaitCondition(
          entry + " reports draining for every endpoint of " + writers,
          () -> unchecked(() -> reportsAllDraining(entry)));
    }
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    System.out.println("draining endpoints reported by all entries after " + millis + " ms");
    stopping.get();
    deployment.restart(writers);
    deployment.awaitEndpoints(OTHER_REGION + "-entry-1");
    deployment.awaitEndpoints(OTHER_REGION + "-entry-2");
    assertThat(millis, is(lessThan((long) MAX_DRAIN_PROPAGATION_MILLIS)));
  }

  private boolean reportsAllDraining(String entry) throws Exception {
    for (JsonNode e : deployment.endpoints(entry)) {
      if (e.path("id").asText().startsWith("writers-") && !e.path("draining").asBoolean()) {
        return false;
      }
    }
    return true;
  }
}
