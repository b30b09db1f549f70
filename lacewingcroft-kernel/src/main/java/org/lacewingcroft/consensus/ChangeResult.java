package org.lacewingcroft.consensus;

import java.util.Optional;

/** The outcome of an operator's configuration change. */
public sealed interface ChangeResult {

  /**
   * A quorum has the change on disk; it is active at this version and is never reverted.
   *
   * @param version the version assigned to the change
   * @param duplicate true if this change id had been accepted before; nothing new was written
   */
  record Accepted(long version, boolean duplicate) implements ChangeResult {}

  /**
   * The change was based on a version other than the latest one; it is rejected.
   *
   * @param currentVersion the version to rebase on
   */
  record Conflict(long currentVersion) implements ChangeResult {}

  /**
   * This member is not the leader; it has not appended the change.
   *
   * @param leader the leader that this member follows, if any
   */
  record NotLeader(Optional<String> leader) implements ChangeResult {}

  /**
   * The changes that no quorum has stored yet have reached {@link LogLimits#maxUncommittedBytes};
   * nothing was appended.
   */
  record Overloaded() implements ChangeResult {}

  /** Leadership was lost before a quorum confirmed the change; it may or may not be accepted. */
  record Unknown() implements ChangeResult {}
}
