package org.lacewingcroft.peer;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Faults that experiments inject on the links from this daemon to other regions: a partition from
 * given regions, and a one-way delay on links to all other regions.
 *
 * @param localRegion this daemon's region; links inside it are not affected
 * @param cutRegions the regions that this daemon cannot reach
 * @param delayMillis one-way delay of peer frames to other regions, in milliseconds
 * @param regionOfPeer returns the region of a peer address, or empty if it is unknown
 */
public record LinkFaults(
    String localRegion,
    Set<String> cutRegions,
    long delayMillis,
    Function<String, Optional<String>> regionOfPeer) {
  /** No faults. */
  public static final LinkFaults NONE = new LinkFaults("", Set.of(), 0, a -> Optional.empty());

  /** Copies the set of regions so that the record is immutable. */
  public LinkFaults {
    cutRegions = Set.copyOf(cutRegions);
  }

  /** Returns whether a region is unreachable from this daemon. */
  public boolean isCut(String region) {
    return cutRegions.contains(region);
  }

  /**
   * Returns whether frames to a peer address are dropped. While any region is cut off, so are peers
   * whose region is unknown.
   */
  boolean dropsFramesTo(String address) {
    return !cutRegions.isEmpty() && regionOfPeer.apply(address).map(this::isCut).orElse(true);
  }

  /** Returns the one-way delay of frames to a peer address, in milliseconds. */
  long delayMillis(String address) {
    if (delayMillis == 0) {
      return 0;
    }
    boolean local = regionOfPeer.apply(address).map(localRegion::equals).orElse(false);
    return local ? 0 : delayMillis;
  }
}
