package org.lacewingcroft.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.lacewingcroft.route.HostHeader;

/**
 * Names what a request asks for, whoever sends it and under which request id: the first 64 bits of
 * SHA-256 over its method, host, target and body. Two requests with the same fingerprint are the
 * same work for an endpoint.
 *
 * @param value the hash
 */
public record RequestFingerprint(long value) {
  private static final String ALGORITHM = "SHA-256";

  private static final int DIGITS = 16;

  /** Ends each field of the head; none of them can contain it. */
  private static final char END = '\n';

  /**
   * Returns the fingerprint of a request.
   *
   * @param method its method
   * @param hostHeader its Host header; its port does not count, as it may name one entry
   * @param target its path and query
   * @param body its body
   */
  public static RequestFingerprint of(
      String method, String hostHeader, String target, byte[] body) {
    String head = method + END + HostHeader.hostOf(hostHeader) + END + target + END;
    MessageDigest digest = newDigest();
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    return new RequestFingerprint(ByteBuffer.wrap(digest.digest(body)).getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /**
   * Returns the fingerprint that reads so.
   *
   * @param digits 16 hexadecimal digits
   * @return empty if they are not
   */
  public static Optional<RequestFingerprint> parse(String digits) {
    if (digits.length() != DIGITS || !digits.chars().allMatch(HexFormat::isHexDigit)) {
      return Optional.empty();
    }
    return Optional.of(new RequestFingerprint(HexFormat.fromHexDigitsToLong(digits)));
  }

  /** Returns its 16 hexadecimal digits. */
  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(value);
  }
}
