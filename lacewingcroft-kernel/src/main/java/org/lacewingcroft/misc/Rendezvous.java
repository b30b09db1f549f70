package org.lacewingcroft.misc;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest random weight) hashing: every node ranks the same members the same way for a
 * key, and a member that joins or leaves moves only the keys it wins.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** Returns the weight of a member for a key; higher wins. */
  public static long weight(String member, String key) {
    byte[] bytes = (member + '\u0000' + key).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
  }

  /** Returns the members in rendezvous order for the key, winner first. */
  public static <T> List<T> rank(List<T> members, Function<T, String> id, String key) {
    List<T> ranked = new ArrayList<>(members);
    ranked.sort(
        Comparator.comparingLong((T m) -> weight(id.apply(m), key))
            .reversed()
            .thenComparing(id::apply));
    return ranked;
  }

  /** Returns the winning member for the key, or empty if there are no members. */
  public static <T> Optional<T> owner(List<T> members, Function<T, String> id, String key) {
    return members.stream()
        .max(
            Comparator.comparingLong((T m) -> weight(id.apply(m), key))
                .thenComparing(id::apply, Comparator.reverseOrder()));
  }
}
