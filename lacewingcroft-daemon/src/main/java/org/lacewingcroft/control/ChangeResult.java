package org.lacewingcroft.control;

/** What the control role answered to an operator's configuration change. */
public sealed interface ChangeResult {

  /**
   * The change is durable and has this version.
   *
   * @param version the version (log index) the change got
   * @param duplicate true if the client change id had been accepted before; nothing new written
   */
  record Accepted(long version, boolean duplicate) implements ChangeResult {}

  /**
   * The change was based on another version than the one in force; nothing was written.
   *
   * @param currentVersion the version to rebase on
   */
  record Conflict(long currentVersion) implements ChangeResult {}
}
