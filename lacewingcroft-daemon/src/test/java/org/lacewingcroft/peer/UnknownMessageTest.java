package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.FleetMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against closing the connection to an instance whose newer build sends a new message. */
class UnknownMessageTest {
  private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final String TIMESTAMP = "0.000000";
  private static final int UNKNOWN_TYPE = 100;

  /** Time in which a receiver that closes the connection has done so. */
  private static final long PAUSE_MILLIS = 200;

  private static final int FLEET_TYPE = 12;

  private final Vertx vertx = Vertx.vertx();

  /** Referenced here because a client without references closes its connections. */
  private final NetClient client = vertx.createNetClient();

  private final FrameCodec codec = new FrameCodec(SECRET);
  private final PeerTransport transport = new PeerTransport(vertx, codec);

  @AfterEach
  void close() {
    transport.close();
    vertx.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void messagesAfterAnUnknownOneAreReceived(boolean fleetMessage) throws Exception {
    BlockingQueue<PeerMessage> received = new ArrayBlockingQueue<>(10);
    int port =
        transport
            .listen("127.0.0.1", 0, (timestamp, message) -> received.add(message))
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    PeerMessage known = new PeerMessage.Fleet(new FleetMessage.StateRequest("peer"));
    byte[] unknownFrame = unknownFrame(fleetMessage);
    client
        .connect(port, "127.0.0.1")
        .onSuccess(
            socket -> {
              socket.write(Buffer.buffer(unknownFrame));
              vertx.setTimer(
                  PAUSE_MILLIS, t -> socket.write(Buffer.buffer(codec.encode(TIMESTAMP, known))));
            });
    assertThat(received.poll(10, TimeUnit.SECONDS), is(known));
  }

  private static byte[] unknownFrame(boolean fleetMessage) throws Exception {
    byte[] unknown = unknownMessage();
    byte[] message = unknown;
    if (fleetMessage) {
      try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
        packer.packInt(FLEET_TYPE).packBinaryHeader(unknown.length).writePayload(unknown);
        message = packer.toByteArray();
      }
    }
    byte[] timestamp = TIMESTAMP.getBytes(StandardCharsets.UTF_8);
    byte[] payload =
        ByteBuffer.allocate(Short.BYTES + timestamp.length + message.length)
            .putShort((short) timestamp.length)
            .put(timestamp)
            .put(message)
            .array();
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(SECRET, "HmacSHA256"));
    byte[] tag = mac.doFinal(payload);
    return ByteBuffer.allocate(Integer.BYTES + tag.length + payload.length)
        .putInt(tag.length + payload.length)
        .put(tag)
        .put(payload)
        .array();
  }

  private static byte[] unknownMessage() throws Exception {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(UNKNOWN_TYPE).packString("a field").packLong(7);
      return packer.toByteArray();
    }
  }
}
