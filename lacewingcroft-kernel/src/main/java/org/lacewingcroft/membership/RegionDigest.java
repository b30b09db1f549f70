package org.lacewingcroft.membership;

import java.util.List;
import java.util.Map;
import org.lacewingcroft.peer.MemberInfo;

/**
 * A summary of a region for other regions: some of its entries to which requests can be sent, and
 * its free capacity. Created by the region's delegates and relayed by gossip.
 *
 * @param region the region
 * @param originator the node id of the delegate that created it
 * @param sequence increases with each digest of the originator, also across its restarts
 * @param contacts alive entries of the region, at most {@link #MAX_CONTACTS}
 * @param freeSlotsByModel the region's free capacity by model, in request slots
 */
public record RegionDigest(
    String region,
    String originator,
    long sequence,
    List<MemberInfo> contacts,
    Map<String, Integer> freeSlotsByModel) {
  /** Maximum number of entries listed in a digest. */
  public static final int MAX_CONTACTS = 2;

  /** Copies the collections so that the digest is immutable. */
  public RegionDigest {
    contacts = List.copyOf(contacts);
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }
}
