package org.lacewingcroft.misc;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest random weight) hashing. Every node ranks the same members in the same order
 * for a key, and adding or removing a member reassigns only the keys that this member owns.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** Returns the weight of a member for a key; the member with the highest weight owns the key. */
  public static long weight(String member, String key) {
    return weight(member, keySeed(key));
  }

  private static long weight(String member, int seed) {
    byte[] bytes = member.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes, 0, bytes.length, seed)[0];
  }

  private static int keySeed(String key) {
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
  }

  /**
   * Returns the members in rendezvous order for the key, the owner first. Each member's weight is
   * computed once; ties are broken by id.
   */
  public static <T> List<T> rank(List<T> members, Function<T, String> id, String key) {
    int seed = keySeed(key);
    List<Weighted<T>> weighted = new ArrayList<>(members.size());
    for (T m : members) {
      String memberId = id.apply(m);
      weighted.add(new Weighted<>(m, memberId, weight(memberId, seed)));
    }
    weighted.sort(
        Comparator.comparingLong((Weighted<T> w) -> w.weight).reversed().thenComparing(w -> w.id));
    List<T> ranked = new ArrayList<>(weighted.size());
    for (Weighted<T> w : weighted) {
      ranked.add(w.member);
    }
    return ranked;
  }

  /** Returns the member that owns the key; empty if there are no members. */
  public static <T> Optional<T> owner(List<T> members, Function<T, String> id, String key) {
    int seed = keySeed(key);
    Optional<Weighted<T>> best = Optional.empty();
    for (T member : members) {
      String memberId = id.apply(member);
      Weighted<T> candidate = new Weighted<>(member, memberId, weight(memberId, seed));
      if (best.isEmpty() || candidate.ranksBefore(best.get())) {
        best = Optional.of(candidate);
      }
    }
    return best.map(Weighted::member);
  }

  private record Weighted<T>(T member, String id, long weight) {
    private boolean ranksBefore(Weighted<T> other) {
      return weight != other.weight ? weight > other.weight : id.compareTo(other.id) < 0;
    }
  }
}
