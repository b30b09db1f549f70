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
  private static final String HOME = "uusimaa";
  private static final Optional<String> HOME_ONLY = Optional.of(HOME);
  private static final String AWAY = "pirkanmaa";
  private static final long SHORT_FREEZE_MILLIS = 1_500;
  private static final long LONG_FREEZE_MILLIS = 6_000;
  private static final int LEAVING_BOUND_MILLIS = 5_000;
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

  private void cut(String region, boolean cutOff) throws Exception {
    Set<String> others =
        Set.copyOf(DemoDeployment.REGIONS.stream().filter(r -> !r.equals(region)).toList());
    for (Map.Entry<String, String> node : deployment.regionsByNode().entrySet()) {
      Set<String> cut = node.getValue().equals(region) ? others : Set.of(region);
      deployment.injectFaults(node.getKey(), cutOff ? cut : Set.of(), 0);
    }
  }

  @Test
  void regionCutOffServesItsOwnCallersOnTheConfigurationItHas() throws Exception {
    String cutEntry = deployment.urlOf(AWAY + "-entry-1");
    final long before = deployment.client().configVersion(cutEntry);
    List<TraceRequest> own =
        DemoDeployment.trace().stream().filter(r -> r.region().equals(AWAY)).toList();
    cut(AWAY, true);
    final long changed =
        deployment.applyConfig(DemoDeployment.resource("demo/selectors.yaml") + "# changed\n");
    ReplayResult duringCut = replay(own, FaultEndToEndTest::firstEntryOf);
    assertThat(duringCut.report("cut off"), duringCut.outcome("served"), is(own.size()));
    assertThat(duringCut.servedByRegion.get(AWAY), is(own.size()));
    assertThat(deployment.client().configVersion(cutEntry), is(before));
    cut(AWAY, false);
    LocalDeployment.awaitCondition(
        "the region applies the change after it is reconnected",
        () -> deployment.client().configVersion(cutEntry) == changed);
  }

  @Test
  void requestsBoundToTheirHomeAreRefusedWhenItHasNoCapacity() throws Exception {
    String writers = "writers-" + HOME;
    deployment.terminate(writers);
    List<TraceRequest> trace = DemoDeployment.trace();
    final ReplayResult result = replay(trace, FaultEndToEndTest::firstEntryOf);
    deployment.restart(writers);
    deployment.awaitEndpoints(HOME + "-entry-1");
    deployment.awaitEndpoints(HOME + "-entry-2");
    long bound = trace.stream().filter(r -> r.residency().equals(HOME_ONLY)).count();
    assertThat(result.report("no capacity"), result.outsideResidency, is(0));
    assertThat(result.outcome("not_run"), is((int) bound));
    assertThat(result.outcome("served"), is(trace.size() - (int) bound));
    assertThat(result.crossRegion, is(greaterThan(0)));
    assertThat(result.corrupted, is(0));
  }

  /** A fault of an entry, which owns the keys of some orders, while orders are sent. */
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
    List<String> entries = List.of(HOME + "-entry-1", HOME + "-entry-2");
    final OrderLoad load = new OrderLoad(deployment, entries, desks(), fault.name());
    CompletableFuture<Void> sending = load.start();
    befall(entries.get(0), fault);
    load.finish(sending);
    assertThat(load.summary(), load.runsByKey().values(), everyItem(lessThanOrEqualTo(1)));
    assertThat(load.summary(), load.keysAnsweredTwoWays(), is(empty()));
    assertThat(load.summary(), load.servedKeysNotRun(), is(empty()));
    assertThat(load.summary(), load.refusedKeysThatRan(), is(empty()));
    assertThat(load.summary(), load.served(), is(greaterThan(0)));
    System.out.println("entry " + fault + ": " + load.summary());
    deployment.awaitEndpoints(entries.get(0));
  }

  /** Returns the runners of all regions, because orders may be relayed to other regions. */
  private List<String> desks() {
    return deployment.standins().entrySet().stream()
        .filter(group -> group.getKey().startsWith("desk-"))
        .flatMap(group -> group.getValue().stream())
        .toList();
  }

  private void befall(String entry, EntryFault fault) throws Exception {
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
    deployment.pause(entry);
    OrderLoad.pause(millis);
    deployment.resume(entry);
  }

  /**
   * Checks graceful stops under load. Every request is completed, refused as not run, or fails to
   * connect (its caller then tries another entry). No connection is lost after a request was sent.
   */
  @ParameterizedTest
  @MethodSource("plannedStops")
  void plannedStopCutsNoRequest(String process) throws Exception {
    List<TraceRequest> trace = TraceRequest.scaled(DemoDeployment.trace(), 3, 1.5);
    final CompletableFuture<ReplayResult> load =
        CompletableFuture.supplyAsync(() -> quietly(() -> replay(trace, r -> entryFor(r))));
    OrderLoad.pause(1_000);
    deployment.terminate(process);
    deployment.restart(process);
    ReplayResult result = load.get();
    for (String entry : deployment.entries().keySet()) {
      deployment.awaitEndpoints(entry);
    }
    System.out.println("stopped " + process + ": " + result.outcomes);
    Set<String> honest = Set.of("served", "shutting_down", "not_run", "unreachable");
    assertThat(result.report(process), result.outcomes.keySet(), everyItem(is(in(honest))));
    assertThat(result.report(process), result.corrupted, is(0));
  }

  private String entryFor(TraceRequest r) {
    return r.region() + "-entry-" + (1 + r.atMillis() % 2);
  }

  static Stream<String> plannedStops() {
    return Stream.of(AWAY + "-entry-1", "writers-" + AWAY, "control-1");
  }

  private interface Action<T> {
    T run() throws Exception;
  }

  private static <T> T quietly(Action<T> action) {
    try {
      return action.run();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** The bound is specified in docs/INVARIANTS.md. The measured time is printed. */
  @Test
  void leavingEndpointIsKnownToEveryEntryOfItsRegion() throws Exception {
    String writers = "writers-" + AWAY;
    CompletableFuture<Integer> stopping =
        CompletableFuture.supplyAsync(() -> quietly(() -> deployment.terminate(writers)));
    final long startNanos = System.nanoTime();
    for (String entry : List.of(AWAY + "-entry-1", AWAY + "-entry-2")) {
      LocalDeployment.awaitCondition(
          entry + " sends no new requests to " + writers, () -> quietly(() -> acceptsNone(entry)));
    }
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    System.out.println("draining endpoints reported by all entries after " + millis + " ms");
    stopping.get();
    deployment.restart(writers);
    deployment.awaitEndpoints(AWAY + "-entry-1");
    deployment.awaitEndpoints(AWAY + "-entry-2");
    assertThat(millis, is(lessThan((long) LEAVING_BOUND_MILLIS)));
  }

  private boolean acceptsNone(String entry) throws Exception {
    for (JsonNode e : deployment.endpoints(entry)) {
      if (e.path("id").asText().startsWith("writers-") && !e.path("draining").asBoolean()) {
        return false;
      }
    }
    return true;
  }
}
