package org.lacewingcroft.consensus;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.config.ConfigDocument;

/**
 * The state that results from the committed log: the active configuration, the client change ids
 * that were applied (so that a resent change is applied once), the data folders of readmitted
 * members, the routing state and the members of the control group. Immutable.
 *
 * @param version the configuration version; 0 before the first change
 * @param document the document of that version; empty at version 0
 * @param versionByChangeId the version assigned to each of the last {@link #MAX_CHANGE_IDS} change
 *     ids, oldest first
 * @param storageIdByMember the data folder last registered for each readmitted member
 * @param routing the routing document and evacuations
 * @param members the members of the control group; empty if they are configured in the settings
 */
public record ConfigState(
    long version,
    ConfigDocument document,
    Map<String, Long> versionByChangeId,
    Map<String, String> storageIdByMember,
    RoutingState routing,
    Set<String> members) {

  /**
   * Maximum number of change ids retained: more than a day's changes at the target of 5,200 a day.
   */
  public static final int MAX_CHANGE_IDS = 8_192;

  /** The state before the first change. */
  public static final ConfigState EMPTY =
      new ConfigState(0, ConfigDocument.EMPTY, Map.of(), Map.of());

  /**
   * Creates a state without a routing document, of a group whose members are configured in the
   * settings.
   */
  public ConfigState(
      long version,
      ConfigDocument document,
      Map<String, Long> versionByChangeId,
      Map<String, String> storageIdByMember) {
    this(version, document, versionByChangeId, storageIdByMember, RoutingState.EMPTY, Set.of());
  }

  /** Copies the maps and keeps the order of the change ids, so that the state is immutable. */
  public ConfigState {
    versionByChangeId = Collections.unmodifiableMap(new LinkedHashMap<>(versionByChangeId));
    storageIdByMember = Map.copyOf(storageIdByMember);
    members = Set.copyOf(members);
  }

  /** Returns the state after a committed entry is applied. */
  public ConfigState apply(LogEntry entry) {
    if (entry.command() instanceof Command.Change change) {
      LinkedHashMap<String, Long> changeIds = new LinkedHashMap<>(versionByChangeId);
      changeIds.put(change.changeId(), entry.version());
      if (changeIds.size() > MAX_CHANGE_IDS) {
        changeIds.remove(changeIds.keySet().iterator().next());
      }
      return new ConfigState(
          entry.version(),
          change.applyTo(document),
          changeIds,
          storageIdByMember,
          routing,
          members);
    }
    if (entry.command() instanceof Command.StorageRegistration registration) {
      Map<String, String> storages = new LinkedHashMap<>(storageIdByMember);
      storages.put(registration.memberId(), registration.storageId());
      return new ConfigState(version, document, versionByChangeId, storages, routing, members);
    }
    if (entry.command() instanceof Command.RoutingChange change) {
      return withRouting(routing.withDocument(change.version(), change.document()));
    }
    if (entry.command() instanceof Command.EvacuationChange change) {
      return withRouting(
          routing.withEvacuation(change.failureDomain(), change.active(), change.baseRevision()));
    }
    if (entry.command() instanceof Command.GroupChange change) {
      return withMembers(change.members());
    }
    return this;
  }

  private ConfigState withRouting(RoutingState newRouting) {
    return new ConfigState(
        version, document, versionByChangeId, storageIdByMember, newRouting, members);
  }

  /** Returns this state with the given members of the control group. */
  public ConfigState withMembers(Set<String> newMembers) {
    return new ConfigState(
        version, document, versionByChangeId, storageIdByMember, routing, newMembers);
  }

  /** Returns the version assigned to this change id, if the change was applied. */
  public Optional<Long> versionOf(String changeId) {
    return Optional.ofNullable(versionByChangeId.get(changeId));
  }
}
