package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.peer.LoopbackPorts;
import org.lacewingcroft.route.RouteTable;

/** Tests that the successors of lost control instances become members of the control group. */
class ReplacedControlInstanceTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final byte[] SECRET = "a secret of the test fleet".getBytes();

  @TempDir private Path folder;
  private final Vertx vertx = Vertx.vertx();
  private final Map<String, ControlNode> nodes = new HashMap<>();

  private String start(int port, List<Integer> seedPorts, boolean firstStart) throws Exception {
    FleetSettings settings =
        new FleetSettings(
            "control-" + port,
            "127.0.0.1",
            "north",
            "north-a",
            Map.of("north-a", "north"),
            port,
            LoopbackPorts.allocatePort(),
            seedPorts.stream().map(p -> "127.0.0.1:" + p).toList(),
            Optional.of(folder.resolve("data-" + port)),
            firstStart,
            1,
            Optional.empty(),
            Duration.ofMillis(300),
            EntrySettings.BOUNDS,
            Optional.empty(),
            ActiveEntriesMode.AUTO,
            Set.of(),
            SECRET);
    Context context = vertx.getOrCreateContext();
    CompletableFuture<ControlNode> started = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          ControlNode node =
              new ControlNode(
                  context,
                  settings,
                  document -> RouteTable.EMPTY,
                  new MonotonicInstantSource(),
                  new GatewayMetrics());
          node.start().onSuccess(s -> started.complete(node));
        });
    nodes.put(settings.peerAddress(), started.get(10, TimeUnit.SECONDS));
    return settings.peerAddress();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private Optional<String> leader() {
    return nodes.entrySet().stream()
        .filter(n -> n.getValue().view().leader().filter(n.getKey()::equals).isPresent())
        .filter(n -> n.getValue().view().inMajority())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private Set<String> membersAtLeader() {
    return leader().map(l -> nodes.get(l).view().members()).orElse(Set.of());
  }

  /**
   * Guards against a successor that never joins because the leader is not among the seeds of its
   * settings. With two replacements, the second successor knows only the first one.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void successorsOfLostInstancesBecomeMembers(int replacements) throws Exception {
    List<Integer> founders = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      founders.add(LoopbackPorts.allocatePort());
    }
    for (int port : founders) {
      start(port, founders, true);
    }
    await(() -> leader().isPresent());
    String leader = leader().orElseThrow();
    List<String> followers = new ArrayList<>(nodes.keySet());
    followers.remove(leader);
    for (int i = 0; i < replacements; i++) {
      nodes.remove(followers.remove(0)).close();
      String seed = followers.get(0);
      followers.add(
          start(
              LoopbackPorts.allocatePort(),
              List.of(Integer.parseInt(seed.substring(seed.indexOf(':') + 1))),
              false));
      Set<String> running = new HashSet<>(nodes.keySet());
      await(() -> membersAtLeader().equals(running));
      assertThat(membersAtLeader(), equalTo(running));
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (ControlNode node : nodes.values()) {
      node.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
