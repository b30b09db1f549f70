package org.lacewingcroft.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.lacewingcroft.route.HostHeader;

/**
 * Identifies the content of a request, independent of its sender and request id, or a part of its
 * prompt: the first 64 bits of a SHA-256 hash. Requests with the same content cause the same work
 * at an endpoint; requests with a common prompt part cause a part of the same work.
 *
 * @param value the first 64 bits of the hash, in big-endian order
 */
public record RequestFingerprint(long value) {
  private static final String ALGORITHM = "SHA-256";

  private static final int HEX_DIGIT_COUNT = 16;

  /** Terminates each hashed field before the body; none of these fields can contain it. */
  private static final char FIELD_TERMINATOR = '\n';

  /**
   * Precedes the id of a prompt part. No hashed request begins with it, because an HTTP method is
   * not empty.
   */
  private static final String PROMPT_PART_PREFIX = FIELD_TERMINATOR + "prompt part ";

  /**
   * Returns the fingerprint of a request: the hash over its method, host, target and body.
   *
   * @param method the HTTP method
   * @param hostHeader the Host header; its port is ignored, because entries may listen on different
   *     ports
   * @param target the path and query
   * @param body the request body
   */
  public static RequestFingerprint of(
      String method, String hostHeader, String target, byte[] body) {
    String fields =
        method
            + FIELD_TERMINATOR
            + HostHeader.hostOf(hostHeader)
            + FIELD_TERMINATOR
            + target
            + FIELD_TERMINATOR;
    return hash(fields, body);
  }

  /** Returns the fingerprint of a prompt part with the given id, in any request. */
  public static RequestFingerprint ofPromptPart(String id) {
    return hash(PROMPT_PART_PREFIX, id.getBytes(StandardCharsets.UTF_8));
  }

  private static RequestFingerprint hash(String fields, byte[] body) {
    MessageDigest digest = newDigest();
    digest.update(fields.getBytes(StandardCharsets.UTF_8));
    return new RequestFingerprint(ByteBuffer.wrap(digest.digest(body)).getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Missing required message digest algorithm " + ALGORITHM, e);
    }
  }

  /**
   * Parses the textual form of a fingerprint.
   *
   * @param digits 16 hexadecimal digits
   * @return the fingerprint, empty if the text has another form
   */
  public static Optional<RequestFingerprint> parse(String digits) {
    if (digits.length() != HEX_DIGIT_COUNT || !digits.chars().allMatch(HexFormat::isHexDigit)) {
      return Optional.empty();
    }
    return Optional.of(new RequestFingerprint(HexFormat.fromHexDigitsToLong(digits)));
  }

  /** Returns the fingerprint as 16 hexadecimal digits. */
  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(value);
  }
}
