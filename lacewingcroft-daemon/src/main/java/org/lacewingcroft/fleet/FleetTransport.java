package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;

/** The peer transport as the instances of a fleet use it; handlers run on the given context. */
final class FleetTransport implements AutoCloseable {
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
    return transport.listen(
        settings.ip(),
        settings.peerPort(),
        (stamp, message) -> {
          if (message instanceof PeerMessage.Consensus consensus) {
            onConsensus.accept(consensus.from(), consensus.message());
          } else if (message instanceof PeerMessage.Fleet fleet) {
            context.runOnContext(v -> onFleet.accept(fleet.message()));
          }
        });
  }

  /** Sends a message; may be called from any thread. */
  void send(String peerAddress, FleetMessage message) {
    sendOnContext(peerAddress, new PeerMessage.Fleet(message));
  }

  /** Sends a message of the control group. */
  void send(String peerAddress, ConsensusMessage message) {
    sendOnContext(peerAddress, new PeerMessage.Consensus(settings.peerAddress(), message));
  }

  private void sendOnContext(String peerAddress, PeerMessage message) {
    context.runOnContext(v -> transport.send(peerAddress, message));
  }

  @Override
  public void close() {
    transport.close();
  }
}
