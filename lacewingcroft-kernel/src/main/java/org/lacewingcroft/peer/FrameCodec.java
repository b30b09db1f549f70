package org.lacewingcroft.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.NoSuchProviderException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes and decodes the frames of peer messages on TCP connections. A frame is a 4-byte
 * big-endian length, a 32-byte HMAC-SHA256 tag over the payload, and the payload: a 2-byte
 * big-endian timestamp length, the sender's hybrid-logical-clock timestamp in UTF-8 and the
 * MessagePack message.
 *
 * <p>A frame larger than {@link #MAX_FRAME_BYTES} is rejected before its body is read, and a frame
 * whose tag does not verify is rejected before its payload is parsed.
 */
public final class FrameCodec {
  /** The maximum size of a frame body (tag and payload), in bytes. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  /** The size of the length prefix, in bytes. */
  public static final int LENGTH_BYTES = 4;

  private static final int TAG_BYTES = 32;
  private static final String ALGORITHM = "HmacSHA256";
  private static final String PROVIDER = "SunJCE";
  private final ThreadLocal<Mac> macPerThread;

  /**
   * A decoded frame.
   *
   * @param timestamp the sender's hybrid-logical-clock timestamp
   * @param message the message
   */
  public record Frame(String timestamp, PeerMessage message) {}

  /**
   * Creates a codec that authenticates frames with the deployment's shared secret.
   *
   * @param secret the shared secret, at least 16 bytes
   * @throws IllegalArgumentException if the secret is shorter
   */
  public FrameCodec(byte[] secret) {
    if (secret.length < 16) {
      throw new IllegalArgumentException("the shared secret must have at least 16 bytes");
    }
    SecretKeySpec key = new SecretKeySpec(secret.clone(), ALGORITHM);
    this.macPerThread = ThreadLocal.withInitial(() -> createMac(key));
  }

  /**
   * Returns the complete frame, including the length prefix.
   *
   * @throws MalformedFrameException if the frame exceeds {@link #MAX_FRAME_BYTES}
   */
  public byte[] encode(String timestamp, PeerMessage message) {
    byte[] timestampBytes = timestamp.getBytes(StandardCharsets.UTF_8);
    byte[] body = MessageCodec.encode(message);
    ByteBuffer payload = ByteBuffer.allocate(2 + timestampBytes.length + body.length);
    payload.putShort((short) timestampBytes.length).put(timestampBytes).put(body);
    byte[] tag = tag(payload.array());
    int length = TAG_BYTES + payload.capacity();
    if (length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException(
          "frame of " + length + " bytes exceeds the maximum frame size");
    }
    return ByteBuffer.allocate(LENGTH_BYTES + length)
        .putInt(length)
        .put(tag)
        .put(payload.array())
        .array();
  }

  /**
   * Validates a length prefix before the frame body is read, and returns it.
   *
   * @throws MalformedFrameException if the length is out of range
   */
  public static int checkLength(int length) {
    if (length <= TAG_BYTES || length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException(
          "frame length " + length + " is outside 33.." + MAX_FRAME_BYTES + " bytes");
    }
    return length;
  }

  /**
   * Verifies and decodes a frame body, which is the bytes after the length prefix.
   *
   * @throws MalformedFrameException if the length is out of range, the tag does not verify or the
   *     payload cannot be decoded
   */
  public Frame decode(byte[] body) {
    checkLength(body.length);
    byte[] tag = Arrays.copyOfRange(body, 0, TAG_BYTES);
    byte[] payload = Arrays.copyOfRange(body, TAG_BYTES, body.length);
    if (!MessageDigest.isEqual(tag, tag(payload))) {
      throw new MalformedFrameException("frame tag does not verify; check the shared secret");
    }
    if (payload.length < Short.BYTES) {
      throw new MalformedFrameException("the payload has no timestamp length");
    }
    ByteBuffer in = ByteBuffer.wrap(payload);
    int timestampLength = in.getShort() & 0xffff;
    if (timestampLength > in.remaining()) {
      throw new MalformedFrameException("timestamp length exceeds the frame size");
    }
    byte[] timestamp = new byte[timestampLength];
    in.get(timestamp);
    byte[] message = new byte[in.remaining()];
    in.get(message);
    return new Frame(new String(timestamp, StandardCharsets.UTF_8), MessageCodec.decode(message));
  }

  /**
   * Creates the {@link Mac} of a thread, which is reused for each frame. It requests the default
   * provider by name, because a search through all providers loads and verifies four others before
   * the first frame of a new process.
   */
  private static Mac createMac(SecretKeySpec key) {
    try {
      Mac mac = createDefaultMac();
      mac.init(key);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is not available", e);
    }
  }

  private static Mac createDefaultMac() throws GeneralSecurityException {
    try {
      return Mac.getInstance(ALGORITHM, PROVIDER);
    } catch (NoSuchProviderException e) {
      return Mac.getInstance(ALGORITHM);
    }
  }

  private byte[] tag(byte[] payload) {
    return macPerThread.get().doFinal(payload);
  }
}
