package org.lacewingcroft.misc;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The short name of a prompt prefix in cache events and routing: 64 bits of MurmurHash3 in
 * hexadecimal. Engines announce what their caches hold by these.
 */
public final class PrefixHash {
  private PrefixHash() {}

  /** Returns the hash of a prefix. */
  public static String of(String prefix) {
    byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
    return Long.toHexString(MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
  }
}
