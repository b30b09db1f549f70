package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a reply to a call of an instance before its restart that is taken for the reply to
 * a call after it.
 */
class ReplyToEarlierProcessTest {
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final BlockingQueue<FleetMessage.RosterUpdate> received = new LinkedBlockingQueue<>();
  private final List<FleetTransport> transports = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    transports.forEach(FleetTransport::close);
    await(vertx.close());
  }

  @ParameterizedTest
  @CsvSource({"false, false", "true, true"})
  void departureIsConfirmedByReplyToItsOwnCall(boolean ownCall, boolean confirmed)
      throws Exception {
    FleetSettings peer = EntrySettings.onFreePorts("peer");
    FleetSettings restarted = EntrySettings.onFreePorts("restarted");
    FleetTransport peerTransport = transport(peer);
    await(
        onContext(
            () ->
                peerTransport.listen(
                    message -> received.add((FleetMessage.RosterUpdate) message),
                    (from, message) -> {})));
    FleetTransport transport = transport(restarted);
    Set<String> members = Set.of(peer.peerAddress(), restarted.peerAddress());
    DepartureReplicator before = new DepartureReplicator(vertx, restarted.peerAddress(), transport);
    onContext(() -> before.replicate(record("e1"), members));
    final FleetMessage.RosterUpdate earlierCall = received.poll(5, TimeUnit.SECONDS);
    DepartureReplicator after = new DepartureReplicator(vertx, restarted.peerAddress(), transport);
    Future<Boolean> departure = onContext(() -> after.replicate(record("e2"), members));
    FleetMessage.RosterUpdate laterCall = received.poll(5, TimeUnit.SECONDS);
    long callId = (ownCall ? laterCall : earlierCall).callId();
    context.runOnContext(
        v -> after.onRosterAck(new FleetMessage.RosterAck(peer.peerAddress(), callId)));
    assertThat(await(departure), equalTo(confirmed));
  }

  private FleetTransport transport(FleetSettings settings) {
    FleetTransport transport = new FleetTransport(context, settings);
    transports.add(transport);
    return transport;
  }

  private <T> Future<T> onContext(Callable<Future<T>> action) throws Exception {
    return await(
        Future.<Future<T>>future(
            promise ->
                context.runOnContext(
                    v -> {
                      try {
                        promise.complete(action.call());
                      } catch (Exception e) {
                        promise.fail(e);
                      }
                    })));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private static EndpointRecord record(String id) {
    return new EndpointRecord(
        id, 0, "service", "127.0.0.1:1", "north-a", 1, EndpointState.GONE, 1, 0);
  }
}
