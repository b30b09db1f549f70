package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointRoster;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.misc.BoundedMap;

/**
 * Holds an entry's state of the endpoints: their records, as the control instances report them, and
 * a tracker for the newest incarnation of each.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class TrackedEndpoints {
  /**
   * Age up to which a record may be missing from another control instance's complete roster,
   * because control instances receive announcements of new endpoints at different times.
   */
  private static final Duration ROSTER_PROPAGATION_TIME = Duration.ofSeconds(3);

  /** Maximum number of incarnations whose advertised conditions are retained. */
  private static final int MAX_CONDITIONS = 4_096;

  private final EndpointRoster roster = new EndpointRoster();
  private final Map<String, EndpointTracker> trackers = new TreeMap<>();
  private final Map<String, Instant> firstReportedAt = new HashMap<>();

  /**
   * Advertised conditions by incarnation. They outlast the records: the control instances may
   * remove an endpoint from their roster and later report the same incarnation again.
   */
  private final Map<String, AdvertisedConditions> conditions =
      BoundedMap.evictingLeastRecentlyUsed(MAX_CONDITIONS);

  /** The queue limits of the services' endpoints. */
  private final Map<String, QueueLimit> queueLimits = new HashMap<>();

  private final Listener listener;

  /** Receives changes of the endpoints. */
  public interface Listener {
    /**
     * Called when an endpoint is new, changes its state or has become cold.
     *
     * @param record the endpoint's current record
     * @param reporter the instance that reported the change
     */
    void changed(EndpointRecord record, String reporter);

    /** Called when an endpoint is lost or another incarnation has replaced it under its id. */
    void incarnationLost(EndpointTracker endpoint);

    /** Called when an endpoint that was recorded as lost is ready again as the same incarnation. */
    void incarnationReturned(EndpointRecord record);
  }

  /** Creates an empty set of endpoints. */
  public TrackedEndpoints(Listener listener) {
    this.listener = listener;
  }

  /** Applies records that a control instance reports. */
  public void update(FleetMessage.RosterUpdate update, Instant now) {
    Set<String> listed = new HashSet<>();
    for (EndpointRecord record : update.records()) {
      listed.add(record.id());
      apply(record, update.from(), now);
    }
    if (update.complete()) {
      for (EndpointRecord record : roster.records(now)) {
        if (!listed.contains(record.id()) && hasPropagated(record, now)) {
          handleMissing(record, update.from(), now);
        }
      }
    }
    roster.removeExpiredTombstones(now).forEach(this::remove);
  }

  private boolean hasPropagated(EndpointRecord record, Instant now) {
    Instant since = firstReportedAt.getOrDefault(record.id(), Instant.EPOCH);
    return since.plus(ROSTER_PROPAGATION_TIME).isBefore(now);
  }

  /**
   * Handles an endpoint that a complete roster does not contain. An endpoint that is already lost
   * is removed: as long as it is retained, the digests differ and the complete roster is sent
   * repeatedly.
   */
  private void handleMissing(EndpointRecord record, String reporter, Instant now) {
    switch (record.state()) {
      case READY, DRAINING -> apply(record.withState(EndpointState.LOST), reporter, now);
      case LOST -> remove(record.id());
      default -> {}
    }
  }

  private void remove(String endpointId) {
    roster.remove(endpointId);
    trackers.remove(endpointId);
    firstReportedAt.remove(endpointId);
  }

  /**
   * Applies a record. A later incarnation gets a new tracker, because its predecessor's cached
   * prompts and requests in flight do not apply to it; those requests stay with the old tracker
   * until they end.
   */
  private void apply(EndpointRecord record, String reporter, Instant now) {
    final Optional<EndpointRecord> changed = roster.merge(record, now);
    EndpointRecord current = roster.find(record.id()).orElse(record);
    EndpointTracker tracker = trackers.get(record.id());
    if (tracker != null) {
      notifyIfLost(tracker, current, changed.isPresent());
      if (current.recoversFrom(tracker.record())) {
        listener.incarnationReturned(current);
      }
    }
    if (tracker == null || current.startedAfter(tracker.record())) {
      AdvertisedConditions advertised =
          conditions.computeIfAbsent(current.incarnationId(), i -> new AdvertisedConditions());
      QueueLimit queueLimit = queueLimits.computeIfAbsent(current.service(), s -> new QueueLimit());
      trackers.put(record.id(), new EndpointTracker(current, advertised, queueLimit, now));
      firstReportedAt.put(record.id(), now);
    } else if (current.equals(record)) {
      tracker.update(record, now);
    }
    if (current.state() == EndpointState.GONE && trackers.get(record.id()).inFlight() == 0) {
      trackers.remove(record.id());
    }
    changed.ifPresent(c -> listener.changed(c, reporter));
  }

  private void notifyIfLost(EndpointTracker tracker, EndpointRecord current, boolean changed) {
    boolean lost = changed && current.state() == EndpointState.LOST;
    if (lost || current.startedAfter(tracker.record())) {
      listener.incarnationLost(tracker);
    }
  }

  /** Returns the tracker of an endpoint's newest incarnation. */
  public Optional<EndpointTracker> tracker(String endpointId) {
    return Optional.ofNullable(trackers.get(endpointId));
  }

  /** Returns all trackers, ordered by the endpoints' ids. */
  public Collection<EndpointTracker> trackers() {
    return Collections.unmodifiableCollection(trackers.values());
  }

  /**
   * Returns the digest by which a control instance detects that this entry has missed an update.
   */
  public int digest() {
    return roster.digest();
  }

  /**
   * Returns the number of stored records, including those of endpoints that have shut down or are
   * lost.
   */
  public int size() {
    return roster.size();
  }
}
