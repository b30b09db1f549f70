package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.Snapshot;

/**
 * Checks that a control instance stops taking part and reports no majority when its disk fails, and
 * that a new one resumes from the state on disk.
 */
class RoutingControlTest {
  private static final String SELF = "10.0.0.1:7660";

  @TempDir private Path folder;

  private static ChangeResult await(Future<ChangeResult> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static RoutingControl open(DurableLog log, CompletableFuture<Throwable> diskFailure) {
    return new RoutingControl(SELF, log, 0, (to, m) -> {}, state -> {}, diskFailure::complete);
  }

  private static ChangeResult submit(RoutingControl control, long version) throws Exception {
    ChangeResult result = new ChangeResult.Unknown();
    for (int i = 0; i < 100 && !(result instanceof ChangeResult.Accepted); i++) {
      TimeUnit.MILLISECONDS.sleep(20);
      result =
          await(
              control.submit(
                  new Command.RoutingChange(version, "v" + version), Duration.ofMillis(300)));
    }
    return result;
  }

  @Test
  void diskFailureLosesMajorityAndFolderCanBeReopened() throws Exception {
    AtomicBoolean diskFull = new AtomicBoolean();
    DurableLog log =
        DurableLog.open(
            folder,
            true,
            (path, channel) -> {
              if (diskFull.get()) {
                throw new IOException("no space left");
              }
              channel.force(true);
            });
    log.compact(
        new Snapshot(0, 0, ConfigState.EMPTY.withMembers(Set.of(SELF))), java.util.List.of());
    CompletableFuture<Throwable> diskFailure = new CompletableFuture<>();
    RoutingControl control = open(log, diskFailure);
    assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
    assertThat(control.view().inMajority(), equalTo(true));

    diskFull.set(true);
    ChangeResult result =
        await(control.submit(new Command.RoutingChange(6, "v6"), Duration.ofSeconds(2)));
    diskFailure.get(5, TimeUnit.SECONDS);
    assertThat(result, instanceOf(ChangeResult.Unknown.class));
    assertThat(control.view().inMajority(), equalTo(false));

    try (RoutingControl reopened =
        open(DurableLog.openWithFounders(folder, Set.of()), new CompletableFuture<>())) {
      assertThat(submit(reopened, 7), instanceOf(ChangeResult.Accepted.class));
      assertThat(reopened.view().routing().document(), equalTo("v7"));
    }
  }
}
