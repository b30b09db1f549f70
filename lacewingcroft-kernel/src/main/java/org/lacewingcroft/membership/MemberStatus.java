package org.lacewingcroft.membership;

/** The liveness of a member as judged from the time since its last heartbeat. */
public enum MemberStatus {
  /** Heard from within the suspicion timeout. */
  ALIVE,
  /** Silent longer than the suspicion timeout: no new work is placed on it. */
  SUSPECT,
  /** Silent longer than the removal timeout: dropped from the table. */
  DEAD
}
