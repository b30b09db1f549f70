package org.lacewingcroft.membership;

import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.peer.MemberInfo;

/**
 * A daemon as seen by another, from its last heartbeat.
 *
 * @param info how the daemon described itself
 * @param lastHeardAt when its last heartbeat arrived (or when gossip first named it)
 * @param leaving whether it shuts down gracefully and takes no new work
 * @param configVersion the configuration version it reported
 * @param freeSlotsByModel the free capacity of its region it reported, by model
 */
public record Member(
    MemberInfo info,
    Instant lastHeardAt,
    boolean leaving,
    long configVersion,
    Map<String, Integer> freeSlotsByModel) {

  /** Copies the map so the record is immutable. */
  public Member {
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }
}
