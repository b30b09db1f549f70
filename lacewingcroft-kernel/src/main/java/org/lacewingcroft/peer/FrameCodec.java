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
 * Frames peer messages for TCP: a 4-byte big-endian length, then a 32-byte HMAC-SHA256 tag over the
 * payload, then the payload (the sender's hybrid-logical-clock stamp and the MessagePack message).
 *
 * <p>Frames over {@link #MAX_FRAME_BYTES} are refused before they are read, and a frame whose tag
 * does not verify is refused before its payload is parsed.
 */
public final class FrameCodec {
  /** The largest frame body accepted, in bytes, tag included. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  /** Size of the length prefix in bytes. */
  public static final int LENGTH_BYTES = 4;

  private static final int TAG_BYTES = 32;
  private static final String ALGORITHM = "HmacSHA256";
  private static final String PROVIDER = "SunJCE";
  private final ThreadLocal<Mac> macs;

  /**
   * A decoded frame.
   *
   * @param stamp the sender's hybrid-logical-clock stamp
   * @param message the message
   */
  public record Frame(String stamp, PeerMessage message) {}

  /**
   * Creates a codec keyed by the deployment's shared secret.
   *
   * @param secret the secret bytes, at least 16
   */
  public FrameCodec(byte[] secret) {
    if (secret.length < 16) {
      throw new IllegalArgumentException("the shared secret must have at least 16 bytes");
    }
    SecretKeySpec key = new SecretKeySpec(secret.clone(), ALGORITHM);
    this.macs = ThreadLocal.withInitial(() -> newMac(key));
  }

  /** Returns the whole frame, length prefix included. */
  public byte[] encode(String stamp, PeerMessage message) {
    byte[] stampBytes = stamp.getBytes(StandardCharsets.UTF_8);
    byte[] body = MessageCodec.encode(message);
    ByteBuffer payload = ByteBuffer.allocate(2 + stampBytes.length + body.length);
    payload.putShort((short) stampBytes.length).put(stampBytes).put(body);
    byte[] tag = tag(payload.array());
    int length = TAG_BYTES + payload.capacity();
    if (length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("frame of " + length + " bytes exceeds the bound");
    }
    return ByteBuffer.allocate(LENGTH_BYTES + length)
        .putInt(length)
        .put(tag)
        .put(payload.array())
        .array();
  }

  /**
   * Checks a length prefix before the body is read.
   *
   * @throws MalformedFrameException if the length is out of bounds
   */
  public static int checkLength(int length) {
    if (length <= TAG_BYTES || length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException(
          "frame length " + length + " is outside 33.." + MAX_FRAME_BYTES + " bytes");
    }
    return length;
  }

  /**
   * Verifies and decodes a frame body (the bytes after the length prefix).
   *
   * @throws MalformedFrameException if the tag is wrong or the payload undecodable
   */
  public Frame decode(byte[] body) {
    checkLength(body.length);
    byte[] tag = Arrays.copyOfRange(body, 0, TAG_BYTES);
    byte[] payload = Arrays.copyOfRange(body, TAG_BYTES, body.length);
    if (!MessageDigest.isEqual(tag, tag(payload))) {
      throw new MalformedFrameException("frame tag does not verify: wrong shared secret?");
    }
    ByteBuffer in = ByteBuffer.wrap(payload);
    int stampLength = in.getShort() & 0xffff;
    if (stampLength > in.remaining()) {
      throw new MalformedFrameException("stamp length exceeds the frame");
    }
    byte[] stamp = new byte[stampLength];
    in.get(stamp);
    byte[] message = new byte[in.remaining()];
    in.get(message);
    return new Frame(new String(stamp, StandardCharsets.UTF_8), MessageCodec.decode(message));
  }

  /**
   * Makes a thread's own authenticator, used again for each frame. It asks the usual provider by
   * name: a search through all of them loads and verifies four others before the first frame of a
   * process that has just started.
   */
  private static Mac newMac(SecretKeySpec key) {
    try {
      Mac mac = usualMac();
      mac.init(key);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is not available", e);
    }
  }

  private static Mac usualMac() throws GeneralSecurityException {
    try {
      return Mac.getInstance(ALGORITHM, PROVIDER);
    } catch (NoSuchProviderException e) {
      return Mac.getInstance(ALGORITHM);
    }
  }

  private byte[] tag(byte[] payload) {
    return macs.get().doFinal(payload);
  }
}
