package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.FaultyEndpoints.Fault;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks that the prompt parts that requests have in common are not quarantined when endpoints
 * crash for another reason than these parts.
 */
class HarmlessPromptPartTest {
  private static final String SERVICE = "model";
  private static final List<String> ENDPOINT_REGIONS =
      List.of("north", "north", "north", "south", "south", "south");
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_200);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final long WARM_UP_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 1_500;
  private static final int CRASHES_TO_QUARANTINE = 3;
  private static final long CRASHING_INTERVAL_MILLIS = 150;

  @TempDir private Path dataDir;
  private final List<FleetHarness.Entry> entries = new ArrayList<>();
  private FleetHarness fleet;
  private FaultyEndpoints endpoints;

  /** Crashes endpoints once. */
  private interface Fall {
    void crash(FaultyEndpoints endpoints, int number) throws Exception;
  }

  /** A cause of crashes, how often it occurs, and the pause after each occurrence. */
  record TestCase(String cause, int count, long pauseMillis, Fall fall) {
    @Override
    public String toString() {
      return cause;
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase("power", 5, 800, (e, i) -> e.crashAll()),
        new TestCase(
            "regions in turn", 6, 600, (e, i) -> e.crashRegion(i % 2 == 0 ? "north" : "south")),
        new TestCase("chance", 16, 200, FaultyEndpoints::crashOne));
  }

  @BeforeEach
  void start() throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(SERVICE, RouteKind.AT_MOST_ONCE, false, 1, REQUEST_TIMEOUT)),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    fleet = new FleetHarness(dataDir, Map.of(1L, table));
    fleet.activateRouteTable(1);
    endpoints = new FaultyEndpoints(fleet, SERVICE, ENDPOINT_REGIONS, false, Fault.CRASH);
    startEntries(List.of("north", "north", "south"));
  }

  private void startEntries(List<String> regions) throws Exception {
    for (String region : regions) {
      entries.add(fleet.startEntry(region + "-" + entries.size(), region));
    }
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, ENDPOINT_REGIONS.size());
    }
  }

  @AfterEach
  void stop() throws Exception {
    endpoints.close();
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void commonPartsAreServedAfterCrashesOfOtherCauses(TestCase testCase) throws Exception {
    try (PromptTraffic early = traffic(entries)) {
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
      // An entry that has not completed any request yet when the first endpoints crash.
      startEntries(List.of("north"));
      try (PromptTraffic late = traffic(entries.subList(entries.size() - 1, entries.size()))) {
        for (int i = 0; i < testCase.count(); i++) {
          testCase.fall().crash(endpoints, i);
          TimeUnit.MILLISECONDS.sleep(testCase.pauseMillis());
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        assertThat("refused", early.refusedAsCrashing() + late.refusedAsCrashing(), is(0));
        early.takeResult();
        late.takeResult();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        assertThat("served", early.takeResult().served(), greaterThan(0));
        assertThat("served by the late entry", late.takeResult().served(), greaterThan(0));
      }
    }
    assertNothingQuarantined();
  }

  /** Guards against refusing common parts for long because the first requests of all crashed. */
  @Test
  void commonPartsOfTheFirstRequestsAreServedAfterwards() throws Exception {
    List<String> crashingPrompt = List.of("first", "common-1", "poison-1");
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    for (int i = 0;
        endpoints.crashes() < CRASHES_TO_QUARANTINE && Instant.now().isBefore(deadline);
        i++) {
      PromptTraffic.sendAsync(entries.get(i % entries.size()), SERVICE, crashingPrompt);
      TimeUnit.MILLISECONDS.sleep(CRASHING_INTERVAL_MILLIS);
    }
    try (PromptTraffic sound = traffic(entries)) {
      int served = 0;
      for (int i = 0; served == 0 && Instant.now().isBefore(deadline); i++) {
        PromptTraffic.sendAsync(entries.get(i % entries.size()), SERVICE, crashingPrompt);
        TimeUnit.MILLISECONDS.sleep(CRASHING_INTERVAL_MILLIS);
        served = sound.takeResult().served();
      }
      assertThat("requests served with the common parts", served, greaterThan(0));
    }
    assertThat(endpoints.poisonRunsAfterCrash(5), lessThanOrEqualTo(3));
  }

  private static PromptTraffic traffic(List<FleetHarness.Entry> entries) {
    return new PromptTraffic(entries, SERVICE, i -> List.of("first", "common-" + i % 3));
  }

  private void assertNothingQuarantined() throws Exception {
    for (FleetHarness.Entry entry : entries) {
      int quarantined =
          fleet.onContext(() -> Future.succeededFuture(entry.node().quarantine().size()));
      assertThat("quarantined at " + entry.node().name(), quarantined, is(0));
    }
    assertThat(fleet.control().quarantinedContents(), is(0));
  }
}
