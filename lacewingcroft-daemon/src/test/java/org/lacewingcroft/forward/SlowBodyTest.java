package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RouteKind;

/** Guards against responses that count as silent while their body arrives. */
class SlowBodyTest {
  @ParameterizedTest
  @EnumSource(
      value = Action.class,
      names = {"ANSWER", "SLOW_BODY"})
  void bodyIsPassedOn(Action action, @TempDir Path folder) throws Exception {
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            FleetHarness.BOUNDS,
            FleetHarness.routeTo(
                OneServiceFleet.SERVICE, RouteKind.IDEMPOTENT, false, 2, Duration.ofSeconds(8)),
            "north",
            2,
            List.of(action))) {
      assertThat(fleet.call("id").get().body(), equalTo("done"));
      assertThat(fleet.endpoints().heads(), hasSize(1));
    }
  }
}
