package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetMessage;

/** Guards against bytes after a rejected frame that are read as frames. */
class RejectedFrameTest {
  private static final String TIMESTAMP = "1.0.peer";
  private static final int GARBAGE_BYTES = 32_768;

  private final Vertx vertx = Vertx.vertx();

  /** Referenced here because a client without references closes its connections. */
  private final NetClient client = vertx.createNetClient();

  private final FrameCodec codec =
      new FrameCodec("0123456789abcdef".getBytes(StandardCharsets.UTF_8));
  private final PeerTransport transport = new PeerTransport(vertx, codec);

  @AfterEach
  void close() {
    transport.close();
    vertx.close();
  }

  static Stream<byte[]> rejectedBytes() {
    FrameCodec otherSecret = new FrameCodec("fedcba9876543210".getBytes(StandardCharsets.UTF_8));
    byte[] garbage = new byte[GARBAGE_BYTES];
    Arrays.fill(garbage, (byte) 0xff);
    return Stream.of(
        otherSecret.encode(TIMESTAMP, new PeerMessage.Ping()),
        new byte[] {0, 0, 0, 1},
        new byte[GARBAGE_BYTES],
        garbage);
  }

  @ParameterizedTest
  @MethodSource("rejectedBytes")
  void nothingIsReadAfterRejectedFrame(byte[] rejected) throws Exception {
    List<PeerMessage> received = new CopyOnWriteArrayList<>();
    int port =
        transport
            .listen("127.0.0.1", 0, (timestamp, message) -> received.add(message))
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    byte[] valid =
        codec.encode(TIMESTAMP, new PeerMessage.Fleet(new FleetMessage.StateRequest("peer")));
    CompletableFuture<Void> closed = new CompletableFuture<>();
    client
        .connect(port, "127.0.0.1")
        .onSuccess(
            socket -> {
              socket.closeHandler(closed::complete);
              socket.write(Buffer.buffer(rejected).appendBytes(valid));
            });
    closed.get(10, TimeUnit.SECONDS);
    assertThat(received, empty());
    assertThat(transport.framesRejected(), equalTo(1L));
  }
}
