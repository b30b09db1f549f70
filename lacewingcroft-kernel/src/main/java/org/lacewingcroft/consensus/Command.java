package org.lacewingcroft.consensus;

import java.util.Set;
import org.lacewingcroft.config.ConfigDocument;
import org.lacewingcroft.config.ConfigPatch;

/**
 * The operation of a {@link LogEntry}, applied to the {@link ConfigState} once the entry is
 * committed.
 */
public sealed interface Command {

  /**
   * Has no effect; a new leader appends one so that the entries of earlier terms are committed with
   * it.
   */
  record Noop() implements Command {}

  /** An operator's change of the configuration, which raises the configuration version by one. */
  sealed interface Change extends Command {
    /** Returns the operator's client change id. */
    String changeId();

    /** Returns the given configuration with the change applied. */
    ConfigDocument applyTo(ConfigDocument before);
  }

  /**
   * A change of the whole configuration.
   *
   * @param changeId the operator's client change id
   * @param document the YAML document that replaces the active one
   */
  record ConfigChange(String changeId, String document) implements Change {
    @Override
    public ConfigDocument applyTo(ConfigDocument before) {
      return new ConfigDocument(document);
    }
  }

  /**
   * A change of individual selectors and organisations.
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
   * Readmits a member whose data folder is new (its disk was lost or the instance was replaced), so
   * that it may vote again.
   *
   * @param memberId the member
   * @param storageId the id of the member's new data folder
   */
  record StorageRegistration(String memberId, String storageId) implements Command {}

  /**
   * Activates a routing document if its version is higher than that of the active one; otherwise it
   * has no effect.
   *
   * @param version the version assigned by the operator
   * @param document the document's text
   */
  record RoutingChange(long version, String document) implements Command {}

  /**
   * Starts or ends the evacuation of a failure domain.
   *
   * @param failureDomain the failure domain
   * @param active true if requests are no longer to be sent to the domain's endpoints
   * @param baseRevision the {@link RoutingState#revision} at the instance where the operator gave
   *     the order; the command has no effect if the domain's evacuation has changed since
   */
  record EvacuationChange(String failureDomain, boolean active, long baseRevision)
      implements Command {}

  /**
   * Replaces the members of the control group; takes effect at each member as soon as the entry is
   * in its log, committed or not.
   *
   * @param members the ids of all members after the change
   */
  record GroupChange(Set<String> members) implements Command {
    /** Copies the set so that the command is immutable. */
    public GroupChange {
      members = Set.copyOf(members);
    }
  }
}
