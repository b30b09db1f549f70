package org.lacewingcroft.consensus;

/** What a {@link LogEntry} does to the {@link ConfigState} once it is committed. */
public sealed interface Command {

  /** Does nothing; a new leader commits one so that earlier terms' entries commit with it. */
  record Noop() implements Command {}

  /**
   * An operator's accepted configuration change.
   *
   * @param changeId the operator's client change id
   * @param document the YAML document that replaces the one in force
   */
  record ConfigChange(String changeId, String document) implements Command {}

  /**
   * Readmits a member whose data folder is new (its disk was lost or the instance replaced), so
   * that it may vote again.
   *
   * @param memberId the member
   * @param storageId the id of the member's new data folder
   */
  record StorageRegistration(String memberId, String storageId) implements Command {}
}
