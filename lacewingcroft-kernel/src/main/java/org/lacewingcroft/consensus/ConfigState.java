package org.lacewingcroft.consensus;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.config.ConfigDocument;

/**
 * What the committed log adds up to: the configuration in force, the client change ids that were
 * applied (so a resend is applied once) and the readmitted members' data folders. Immutable.
 *
 * @param version the configuration version; 0 before the first change
 * @param document the document of that version; empty at version 0
 * @param versionByChangeId the version each of the last {@link #CHANGE_IDS_KEPT} change ids got,
 *     oldest first
 * @param storageIdByMember the data folder last registered for each readmitted member
 * @param routing the routing document and evacuations
 * @param members the control group's members; empty where the settings name them
 */
public record ConfigState(
    long version,
    ConfigDocument document,
    Map<String, Long> versionByChangeId,
    Map<String, String> storageIdByMember,
    RoutingState routing,
    Set<String> members) {

  /** How many change ids are remembered: over a day of the target's 5,200 changes. */
  public static final int CHANGE_IDS_KEPT = 8_192;

  /** The state before the first change. */
  public static final ConfigState EMPTY =
      new ConfigState(0, ConfigDocument.EMPTY, Map.of(), Map.of());

  /** Creates a state without routing document, of a group that the settings name. */
  public ConfigState(
      long version,
      ConfigDocument document,
      Map<String, Long> versionByChangeId,
      Map<String, String> storageIdByMember) {
    this(version, document, versionByChangeId, storageIdByMember, RoutingState.EMPTY, Set.of());
  }

  /** Copies the maps, keeping their order, so the state is immutable. */
  public ConfigState {
    versionByChangeId = Collections.unmodifiableMap(new LinkedHashMap<>(versionByChangeId));
    storageIdByMember = Map.copyOf(storageIdByMember);
    members = Set.copyOf(members);
  }

  /** Returns the state after a committed entry. */
  public ConfigState apply(LogEntry entry) {
    if (entry.command() instanceof Command.Change change) {
      LinkedHashMap<String, Long> ids = new LinkedHashMap<>(versionByChangeId);
      ids.put(change.changeId(), entry.version());
      if (ids.size() > CHANGE_IDS_KEPT) {
        ids.remove(ids.keySet().iterator().next());
      }
      return new ConfigState(
          entry.version(), change.applyTo(document), ids, storageIdByMember, routing, members);
    }
    if (entry.command() instanceof Command.StorageRegistration registration) {
      Map<String, String> storages = new LinkedHashMap<>(storageIdByMember);
      storages.put(registration.memberId(), registration.storageId());
      return new ConfigState(version, document, versionByChangeId, storages, routing, members);
    }
    if (entry.command() instanceof Command.RoutingChange change) {
      return withRouting(routing.offered(change.version(), change.document()));
    }
    if (entry.command() instanceof Command.EvacuationChange change) {
      return withRouting(
          routing.evacuated(change.failureDomain(), change.active(), change.baseRevision()));
    }
    if (entry.command() instanceof Command.GroupChange change) {
      return withMembers(change.members());
    }
    return this;
  }

  private ConfigState withRouting(RoutingState next) {
    return new ConfigState(version, document, versionByChangeId, storageIdByMember, next, members);
  }

  /** Returns this state with other members of the control group. */
  public ConfigState withMembers(Set<String> next) {
    return new ConfigState(version, document, versionByChangeId, storageIdByMember, routing, next);
  }

  /** Returns the version that this change id got, if it was applied. */
  public Optional<Long> versionOf(String changeId) {
    return Optional.ofNullable(versionByChangeId.get(changeId));
  }
}
