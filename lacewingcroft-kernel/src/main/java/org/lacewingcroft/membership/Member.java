package org.lacewingcroft.membership;

import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.peer.MemberInfo;

/**
 * A daemon as recorded by another daemon: a member of the recording daemon's region or of the
 * control group from its heartbeats, an entry of another region from that region's digest or from
 * its own gossip.
 *
 * @param info the daemon's description of itself
 * @param heartbeat its latest heartbeat
 * @param lastSeenAt when that heartbeat or the digest was received, directly or relayed
 * @param freeSlotsByModel its region's free capacity by model, for an entry of another region
 */
public record Member(
    MemberInfo info,
    Heartbeat heartbeat,
    Instant lastSeenAt,
    Map<String, Integer> freeSlotsByModel) {

  /** Copies the map so that the record is immutable. */
  public Member {
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }

  /** Returns whether the daemon is draining: it is shutting down and accepts no new requests. */
  public boolean draining() {
    return heartbeat.draining();
  }
}
