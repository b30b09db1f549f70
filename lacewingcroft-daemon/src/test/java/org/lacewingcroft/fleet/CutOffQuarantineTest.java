package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.peer.LoopbackPorts;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * Guards against quarantining a common content because an entry is partitioned from all endpoints,
 * which then refuse its connections one after the other as if they had crashed.
 */
class CutOffQuarantineTest {
  private static final int LOST_ENDPOINTS = 4;

  /** Longer than the time within which crashes count as one. */
  private static final long LOSS_INTERVAL_MILLIS = 250;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final MonotonicInstantSource clock = new MonotonicInstantSource();

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @ParameterizedTest(name = "another endpoint accepts connections: {0}, quarantined: {1}")
  @CsvSource({"true, 1", "false, 0"})
  void refusedConnectionsAreEvidenceOnlyIfAnotherEndpointAcceptsThem(
      boolean anotherAccepts, int quarantined) throws Exception {
    FleetTransport transport = new FleetTransport(context, EntrySettings.onFreePorts("entry"));
    RequestQuarantine quarantine =
        new RequestQuarantine(
            vertx, "entry", "127.0.0.1:1", transport, clock, Set::of, () -> List.of("entry"));
    RequestFingerprint content = new RequestFingerprint(1);
    try (ServerSocket listening = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
      List<EndpointTracker> lost = new ArrayList<>();
      for (int i = 0; i < LOST_ENDPOINTS; i++) {
        lost.add(tracker("lost-" + i, LoopbackPorts.allocatePort()));
      }
      List<EndpointTracker> all = new ArrayList<>(lost);
      if (anotherAccepts) {
        all.add(tracker("other", listening.getLocalPort()));
      }
      for (EndpointTracker endpoint : lost) {
        List<EndpointTracker> others = all.stream().filter(t -> t != endpoint).toList();
        onContext(
            () ->
                quarantine.onConnectionLost(
                    endpoint, RequestFingerprints.ofContent(content), others));
        TimeUnit.MILLISECONDS.sleep(LOSS_INTERVAL_MILLIS);
      }
      CompletableFuture<Integer> size = new CompletableFuture<>();
      onContext(() -> size.complete(quarantine.size()));
      assertThat(size.get(10, TimeUnit.SECONDS), is(quarantined));
    }
  }

  private EndpointTracker tracker(String id, int port) {
    EndpointRecord record =
        new EndpointRecord(
            id, 0, "s", "127.0.0.1:" + port, "north-a", 8, EndpointState.READY, 1, 0);
    return new EndpointTracker(record, clock.instant());
  }

  private void onContext(Runnable action) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          action.run();
          done.complete(null);
        });
    done.get(10, TimeUnit.SECONDS);
  }
}
