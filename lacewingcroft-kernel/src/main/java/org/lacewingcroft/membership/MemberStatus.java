package org.lacewingcroft.membership;

/** The status of a member, derived from the time since its last heartbeat. */
public enum MemberStatus {
  /** Its last heartbeat arrived within the suspicion timeout. */
  ALIVE,
  /** No heartbeat within the suspicion timeout: it receives no new requests. */
  SUSPECT,
  /** No heartbeat within the removal timeout: it is removed from the table. */
  DEAD
}
