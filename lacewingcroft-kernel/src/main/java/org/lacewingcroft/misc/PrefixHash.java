package org.lacewingcroft.misc;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes the hash that identifies a prompt prefix in cache events and routing: 64 bits of
 * MurmurHash3 in hexadecimal. Engines announce the prefixes that they cache by these hashes.
 */
public final class PrefixHash {
  private PrefixHash() {}

  /** Returns the hash of a prompt prefix. */
  public static String of(String prefix) {
    byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
    return Long.toHexString(MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
  }
}
