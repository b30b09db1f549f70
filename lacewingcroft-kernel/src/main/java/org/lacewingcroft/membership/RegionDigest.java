package org.lacewingcroft.membership;

import java.util.List;
import java.util.Map;
import org.lacewingcroft.peer.MemberInfo;

/**
 * What the other regions need to know of a region: a few entries to send requests to and its free
 * capacity. Made by the region's delegates and passed on by gossip.
 *
 * @param region the region
 * @param originator the delegate that made it
 * @param sequence rises with each digest of the originator, over its restarts too
 * @param contacts live entries of the region, at most {@link #MAX_CONTACTS}
 * @param freeSlotsByModel the region's free capacity by model
 */
public record RegionDigest(
    String region,
    String originator,
    long sequence,
    List<MemberInfo> contacts,
    Map<String, Integer> freeSlotsByModel) {
  /** How many entries a digest names. */
  public static final int MAX_CONTACTS = 2;

  /** Copies the collections so the digest is immutable. */
  public RegionDigest {
    contacts = List.copyOf(contacts);
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }
}
