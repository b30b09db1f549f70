package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.config.ConfigDocument;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.Snapshot;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.membership.Heartbeat;
import org.lacewingcroft.membership.RegionDigest;

class FrameCodecTest {
  private static final byte[] SECRET = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);
  private static final FrameCodec CODEC = new FrameCodec(SECRET);
  private static final MemberInfo MEMBER =
      new MemberInfo("n1", "entry", "uusimaa", "uusimaa-a", "127.0.0.1:1", "127.0.0.1:2", 7);

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new PeerMessage.Gossip(
            MEMBER,
            4,
            List.of(new Heartbeat("n1", 7, 3, true)),
            List.of(MEMBER),
            List.of(new RegionDigest("uusimaa", "n1", 8, List.of(MEMBER), Map.of("writer", 3))),
            true),
        new PeerMessage.ConfigPatches(4, List.of("a: 1", "b: 2")),
        new PeerMessage.ConfigNotice(9, "127.0.0.1:9"),
        new PeerMessage.ConfigOffer(9, "selectors: []"),
        new PeerMessage.ConfigRequest(2, "127.0.0.1:9"),
        new PeerMessage.KeyClaim(4, "org/key", new Claimant("n1", 7), "127.0.0.1:9"),
        new PeerMessage.KeyClaimReply(4, "n2", Optional.empty()),
        new PeerMessage.KeyRelease("org/key", new Claimant("n1", 7)),
        consensus(new ConsensusMessage.VoteRequest(3, 5, 2, true)),
        consensus(new ConsensusMessage.VoteResponse(3, false, false)),
        consensus(
            new ConsensusMessage.AppendRequest(
                3,
                1,
                1,
                List.of(
                    new LogEntry(2, 2, 0, new Command.Noop()),
                    new LogEntry(3, 2, 1, new Command.ConfigChange("c", "doc")),
                    new LogEntry(4, 2, 2, new Command.PatchChange("p", "a: 1")),
                    new LogEntry(4, 3, 1, new Command.StorageRegistration("m", "disk"))),
                2,
                9,
                OptionalLong.of(1_700),
                OptionalLong.of(-5))),
        consensus(
            new ConsensusMessage.AppendRequest(
                3, 1, 1, List.of(), 2, 9, OptionalLong.empty(), OptionalLong.empty())),
        consensus(
            new ConsensusMessage.AppendResponse(
                3, true, 4, "disk", true, 9, OptionalLong.of(1_700), OptionalLong.of(-5))),
        consensus(
            new ConsensusMessage.AppendResponse(
                3, true, 4, "disk", true, 9, OptionalLong.empty(), OptionalLong.of(-5))),
        consensus(
            new ConsensusMessage.SnapshotRequest(
                3,
                new Snapshot(
                    4,
                    3,
                    new ConfigState(
                        1, new ConfigDocument("doc"), Map.of("c", 1L), Map.of("m", "disk"))))),
        new PeerMessage.EndpointAnnounce(
            new Endpoint(
                "e1",
                "http://127.0.0.1:5",
                "uusimaa",
                "uusimaa-a",
                EndpointKind.ENGINE,
                Map.of("service", "writers"),
                Set.of("writer"),
                8,
                true,
                false,
                2,
                Set.of("ab12"),
                7,
                Instant.ofEpochMilli(1234))));
  }

  private static PeerMessage consensus(ConsensusMessage message) {
    return new PeerMessage.Consensus("control-1", message);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void roundTrips(PeerMessage message) {
    byte[] frame = CODEC.encode("1.000001", message);
    FrameCodec.Frame decoded = CODEC.decode(Arrays.copyOfRange(frame, 4, frame.length));
    assertThat(decoded.message(), is(message));
    assertThat(decoded.timestamp(), is("1.000001"));
  }

  static Stream<Arguments> malformedFrames() {
    byte[] good = CODEC.encode("1.000001", new PeerMessage.ConfigOffer(1, "x"));
    byte[] body = Arrays.copyOfRange(good, 4, good.length);
    Function<byte[], byte[]> flipLast =
        b -> {
          byte[] c = b.clone();
          c[c.length - 1] ^= 1;
          return c;
        };
    FrameCodec otherSecretCodec =
        new FrameCodec("another-secret-of-16".getBytes(StandardCharsets.UTF_8));
    return Stream.of(
        Arguments.of("tampered payload", flipLast.apply(body), CODEC, "does not verify"),
        Arguments.of("wrong secret", body, otherSecretCodec, "does not verify"),
        Arguments.of("too short", Arrays.copyOf(body, 10), CODEC, "outside"));
  }

  @ParameterizedTest
  @MethodSource("malformedFrames")
  void rejectsMalformedFrames(String name, byte[] body, FrameCodec codec, String expected) {
    MalformedFrameException e =
        assertThrows(MalformedFrameException.class, () -> codec.decode(body));
    assertThat(name, e.getMessage(), containsString(expected));
  }

  @ParameterizedTest
  @MethodSource("lengthsOutOfRange")
  void rejectsLengthsOutOfRange(int length) {
    assertThrows(MalformedFrameException.class, () -> FrameCodec.checkLength(length));
  }

  static Stream<Integer> lengthsOutOfRange() {
    return Stream.of(-1, 0, 32, FrameCodec.MAX_FRAME_BYTES + 1, Integer.MAX_VALUE);
  }

  static Stream<Arguments> undecodablePayloads() {
    return Stream.of(
        Arguments.of("one byte", new byte[1]),
        Arguments.of("timestamp longer than the payload", new byte[] {0, 9, 1}),
        Arguments.of("no message", new byte[2]),
        Arguments.of("no type", new byte[] {0, 0, (byte) 0xc1}),
        Arguments.of("message cut off", new byte[] {0, 0, 11}),
        Arguments.of("fleet message longer than the frame", declaring(12, 0xc6)),
        Arguments.of("list longer than the frame", declaring(11, 0, 0xdd)),
        Arguments.of(
            "body longer than the frame",
            declaring(5, 0xa0, 0xa4, 'D', 'O', 'N', 'E', 0xa0, 0, 0, 0xa0, 0xc6)));
  }

  /** Returns a payload whose message ends with a length of 2 GiB. */
  private static byte[] declaring(int... message) {
    byte[] payload = new byte[2 + message.length + Integer.BYTES];
    for (int i = 0; i < message.length; i++) {
      payload[2 + i] = (byte) message[i];
    }
    Arrays.fill(payload, payload.length - Integer.BYTES, payload.length, (byte) 0xff);
    payload[payload.length - Integer.BYTES] = 0x7f;
    return payload;
  }

  /** Guards against a peer's undecodable message that ends the process or keeps its connection. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("undecodablePayloads")
  void rejectsUndecodablePayloads(String name, byte[] payload) throws Exception {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(SECRET, "HmacSHA256"));
    byte[] tag = mac.doFinal(payload);
    byte[] body = Arrays.copyOf(tag, tag.length + payload.length);
    System.arraycopy(payload, 0, body, tag.length, payload.length);
    assertThrows(MalformedFrameException.class, () -> CODEC.decode(body));
  }
}
