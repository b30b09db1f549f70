package org.lacewingcroft.membership;

import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.peer.MemberInfo;

/**
 * A daemon as known to another one: of the own region and of the control group from its signs of
 * life, an entry of another region from that region's digest.
 *
 * @param info how the daemon described itself
 * @param liveness its newest sign of life
 * @param lastSeenAt when that arrived, by whatever way
 * @param freeSlotsByModel its region's free capacity by model, for an entry of another region
 */
public record Member(
    MemberInfo info, Heartbeat liveness, Instant lastSeenAt, Map<String, Integer> freeSlotsByModel) {

  /** Copies the map so the record is immutable. */
  public Member {
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }

  /** Returns whether the daemon shuts down gracefully and takes no new work. */
  public boolean leaving() {
    return liveness.draining();
  }
}
