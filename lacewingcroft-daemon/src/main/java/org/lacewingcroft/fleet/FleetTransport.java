package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTraffic;
import org.lacewingcroft.peer.PeerTransport;

/**
 * The peer transport as used by the instances of a fleet; message handlers run on the given
 * context.
 */
final class FleetTransport implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(FleetTransport.class.getName());

  /** Interval at which the traffic totals are logged. */
  private static final long TRAFFIC_LOG_INTERVAL_MILLIS = 15_000;

  private static final long NANOS_PER_MICRO = 1_000;

  private final PeerTransport transport;
  private final FleetSettings settings;
  private final Context context;

  FleetTransport(Context context, FleetSettings settings) {
    this.context = context;
    this.settings = settings;
    this.transport = new PeerTransport(context.owner(), new FrameCodec(settings.secret()));
  }

  Future<Integer> listen(
      Consumer<FleetMessage> onFleet, BiConsumer<String, ConsensusMessage> onConsensus) {
    context.owner().setPeriodic(TRAFFIC_LOG_INTERVAL_MILLIS, id -> logTraffic());
    return transport.listen(
        settings.ip(),
        settings.peerPort(),
        (timestamp, message) -> {
          if (message instanceof PeerMessage.Consensus consensus) {
            onConsensus.accept(consensus.from(), consensus.message());
          } else if (message instanceof PeerMessage.Fleet fleet) {
            context.runOnContext(v -> handle(fleet, onFleet));
          }
        });
  }

  private void handle(PeerMessage.Fleet fleet, Consumer<FleetMessage> onFleet) {
    long startNanos = System.nanoTime();
    onFleet.accept(fleet.message());
    transport.traffic().recordHandling(fleet, System.nanoTime() - startNanos);
  }

  /** Returns the traffic and processing time by message kind. */
  PeerTraffic traffic() {
    return transport.traffic();
  }

  /** Logs the traffic and processing time since the start, by message kind. */
  private void logTraffic() {
    traffic()
        .totals()
        .forEach(
            (kind, totals) ->
                LOG.log(
                    System.Logger.Level.INFO,
                    "peer.traffic",
                    "kind",
                    kind,
                    "sent",
                    totals.sent(),
                    "sentBytes",
                    totals.sentBytes(),
                    "received",
                    totals.received(),
                    "receivedBytes",
                    totals.receivedBytes(),
                    "workMicros",
                    totals.workNanos() / NANOS_PER_MICRO));
  }

  /** Sends a message; may be called from any thread. */
  void send(String peerAddress, FleetMessage message) {
    sendOnContext(peerAddress, new PeerMessage.Fleet(message));
  }

  /** Sends a message of the control group; may be called from any thread. */
  void send(String peerAddress, ConsensusMessage message) {
    sendOnContext(peerAddress, new PeerMessage.Consensus(settings.peerAddress(), message));
  }

  /** Sends a message to several peers, encoded once; may be called from any thread. */
  void sendAll(Collection<String> peerAddresses, FleetMessage message) {
    List<String> receivers = List.copyOf(peerAddresses);
    context.runOnContext(v -> transport.sendAll(receivers, new PeerMessage.Fleet(message)));
  }

  private void sendOnContext(String peerAddress, PeerMessage message) {
    context.runOnContext(v -> transport.send(peerAddress, message));
  }

  @Override
  public void close() {
    transport.close();
  }
}
