package org.lacewingcroft.consensus;

import java.util.Optional;

/** What became of an operator's configuration change. */
public sealed interface ChangeResult {

  /**
   * A quorum has the change on disk; it is in force at this version and never reverts.
   *
   * @param version the version the change got
   * @param duplicate true if this change id had been accepted before; nothing new was written
   */
  record Accepted(long version, boolean duplicate) implements ChangeResult {}

  /**
   * The change was based on another version than the one in force; it is not accepted.
   *
   * @param currentVersion the version to rebase on
   */
  record Conflict(long currentVersion) implements ChangeResult {}

  /**
   * This member does not lead; it has not taken the change.
   *
   * @param leader the leader it knows, if any
   */
  record NotLeader(Optional<String> leader) implements ChangeResult {}

  /** Leadership was lost before a quorum confirmed the change; it may or may not be accepted. */
  record Unknown() implements ChangeResult {}
}
