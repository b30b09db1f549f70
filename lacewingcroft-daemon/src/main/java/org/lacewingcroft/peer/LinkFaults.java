package org.lacewingcroft.peer;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Faults that experiments inject on the links from this daemon to other regions: a partition from
 * some regions, and a one-way delay to all others.
 *
 * @param localRegion this daemon's region; links inside it are never touched
 * @param cutRegions the regions this daemon cannot reach
 * @param delayMillis one-way delay of peer frames to other regions, in milliseconds
 * @param regionOfPeer finds the region of a peer address
 */
public record LinkFaults(
    String localRegion,
    Set<String> cutRegions,
    long delayMillis,
    Function<String, Optional<String>> regionOfPeer) {
  /** No faults. */
  public static final LinkFaults NONE = new LinkFaults("", Set.of(), 0, a -> Optional.empty());

  /** Copies the region set so the faults are immutable. */
  public LinkFaults {
    cutRegions = Set.copyOf(cutRegions);
  }

  /** Returns whether a region cannot be reached. */
  public boolean isCut(String region) {
    return cutRegions.contains(region);
  }

  /** Returns whether frames to a peer address are lost; a peer not known yet is lost too. */
  boolean cutsPeer(String address) {
    return !cutRegions.isEmpty() && regionOfPeer.apply(address).map(this::isCut).orElse(true);
  }

  /** Returns the one-way delay of frames to a peer address. */
  long delayMillis(String address) {
    if (delayMillis == 0) {
      return 0;
    }
    boolean local = regionOfPeer.apply(address).map(localRegion::equals).orElse(false);
    return local ? 0 : delayMillis;
  }
}
