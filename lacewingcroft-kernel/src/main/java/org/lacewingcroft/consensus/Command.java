package org.lacewingcroft.consensus;

import java.util.Set;
import org.lacewingcroft.config.ConfigDocument;
import org.lacewingcroft.config.ConfigPatch;

/** What a {@link LogEntry} does to the {@link ConfigState} once it is committed. */
public sealed interface Command {

  /** Does nothing; a new leader commits one so that earlier terms' entries commit with it. */
  record Noop() implements Command {}

  /** An operator's accepted change, which raises the configuration version by one. */
  sealed interface Change extends Command {
    /** Returns the operator's client change id. */
    String changeId();

    /** Returns the configuration after the change. */
    ConfigDocument applyTo(ConfigDocument before);
  }

  /**
   * A change of the whole configuration.
   *
   * @param changeId the operator's client change id
   * @param document the YAML document that replaces the one in force
   */
  record ConfigChange(String changeId, String document) implements Change {
    @Override
    public ConfigDocument applyTo(ConfigDocument before) {
      return new ConfigDocument(document);
    }
  }

  /**
   * A change of single selectors and organisations.
   *
   * @param changeId the operator's client change id
   * @param patch the YAML of a {@link ConfigPatch}
   */
  record PatchChange(String changeId, String patch) implements Change {
    @Override
    public ConfigDocument applyTo(ConfigDocument before) {
      return before.patched(ConfigPatch.parse(patch));
    }
  }

  /**
   * Readmits a member whose data folder is new (its disk was lost or the instance replaced), so
   * that it may vote again.
   *
   * @param memberId the member
   * @param storageId the id of the member's new data folder
   */
  record StorageRegistration(String memberId, String storageId) implements Command {}

  /**
   * Puts a routing document in force if its version is higher than the one in force; otherwise it
   * changes nothing.
   *
   * @param version the operator's version
   * @param document the document's text
   */
  record RoutingChange(long version, String document) implements Command {}

  /**
   * Begins or ends the evacuation of a failure domain.
   *
   * @param failureDomain the failure domain
   * @param active whether its endpoints shall get no work
   * @param baseRevision the revision known where the operator gave the order; the command has no
   *     effect if the domain's evacuation was changed since
   */
  record EvacuationChange(String failureDomain, boolean active, long baseRevision)
      implements Command {}

  /**
   * Replaces the members of the control group; in force at each member as soon as it holds the
   * entry.
   *
   * @param members the ids of all members after the change
   */
  record GroupChange(Set<String> members) implements Command {
    /** Copies the set so the command is immutable. */
    public GroupChange {
      members = Set.copyOf(members);
    }
  }
}
