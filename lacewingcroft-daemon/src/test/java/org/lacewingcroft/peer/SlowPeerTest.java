package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.fleet.FleetMessage;

/** Guards against messages for peers that do not read, which filled the heap of an instance. */
class SlowPeerTest {
  private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final int MESSAGE_BYTES = 1 << 16;

  /** Size of a message with its names, its timestamp and its authentication tag. */
  private static final long MAX_FRAME_BYTES = MESSAGE_BYTES + 256;

  private static final long MAX_QUEUED_BYTES = 16 << 20;

  private final Vertx vertx = Vertx.vertx();
  private final PeerTransport transport = new PeerTransport(vertx, new FrameCodec(SECRET));

  @AfterEach
  void close() {
    transport.close();
    vertx.close();
  }

  private String startPeerThatDoesNotRead() throws Exception {
    int port =
        vertx
            .createNetServer()
            .connectHandler(NetSocket::pause)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
    return "127.0.0.1:" + port;
  }

  private static PeerMessage largeMessage() {
    return new PeerMessage.Fleet(
        new FleetMessage.StateOffer(1, 1, "x".repeat(MESSAGE_BYTES), Set.of()));
  }

  @ParameterizedTest
  @CsvSource({"1, 1200", "8, 200"})
  void messagesForPeersThatDoNotReadAreBounded(int peers, int messagesForEach) throws Exception {
    for (int i = 0; i < peers; i++) {
      String peer = startPeerThatDoesNotRead();
      IntStream.range(0, messagesForEach).forEach(m -> transport.send(peer, largeMessage()));
      // Beyond the limit, each peer may have one waiting frame.
      long maxBytes = MAX_QUEUED_BYTES + (i + 1) * MAX_FRAME_BYTES;
      assertThat(transport.queuedBytes(), lessThanOrEqualTo(maxBytes));
    }
    assertThat(transport.framesDropped(), greaterThan(0L));
  }

  @Test
  void otherPeersAreReachedMeanwhile() throws Exception {
    String slowPeer = startPeerThatDoesNotRead();
    IntStream.range(0, 1_200).forEach(m -> transport.send(slowPeer, largeMessage()));
    try (PeerTransport other = new PeerTransport(vertx, new FrameCodec(SECRET))) {
      BlockingQueue<PeerMessage> received = new ArrayBlockingQueue<>(1);
      int port =
          other
              .listen("127.0.0.1", 0, (timestamp, message) -> received.add(message))
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS);
      PeerMessage message = new PeerMessage.Fleet(new FleetMessage.StateRequest("peer"));
      transport.send("127.0.0.1:" + port, message);
      assertThat(received.poll(10, TimeUnit.SECONDS), is(message));
    }
  }

  /**
   * Guards against heartbeats that wait behind the entries or the snapshot sent to a slow member.
   */
  @Test
  void heartbeatsOfTheControlGroupDoNotWaitBehindItsData() throws Exception {
    BlockingQueue<Integer> smallFrames = new ArrayBlockingQueue<>(10);
    int port =
        vertx
            .createNetServer()
            .connectHandler(
                socket ->
                    socket.handler(
                        buffer -> {
                          if (buffer.getInt(0) > MESSAGE_BYTES) {
                            socket.pause();
                          } else {
                            smallFrames.add(buffer.getInt(0));
                          }
                        }))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
    LogEntry entry =
        new LogEntry(1, 1, 0, new Command.RoutingChange(1, "x".repeat(8 * MESSAGE_BYTES)));
    for (int i = 0; i < 20; i++) {
      transport.send("127.0.0.1:" + port, append(List.of(entry)));
    }
    transport.send("127.0.0.1:" + port, append(List.of()));
    assertThat(smallFrames.poll(10, TimeUnit.SECONDS) != null, is(true));
  }

  private static PeerMessage append(List<LogEntry> entries) {
    return new PeerMessage.Consensus(
        "leader",
        new ConsensusMessage.AppendRequest(
            1, 0, 0, entries, 0, 0, OptionalLong.empty(), OptionalLong.empty()));
  }
}
