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
 * The endpoints known to an entry: their records, as the control instances report them, and a
 * tracker for the newest incarnation of each.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class TrackedEndpoints {
  /**
   * Age up to which a record may be missing from another control instance's complete roster,
   * because control instances receive announcements of new endpoints at different times.
   */
  private static final Duration ROSTER_SPREAD = Duration.ofSeconds(3);

  private static final int CONDITIONS_KEPT = 4_096;

  private final EndpointRoster roster = new EndpointRoster();
  private final Map<String, EndpointTracker> trackers = new TreeMap<>();
  private final Map<String, Instant> knownSince = new HashMap<>();

  /**
   * Advertised conditions by incarnation. They outlast the records: the control instances may
   * remove an endpoint from their roster and later report the same incarnation again.
   */
  private final Map<String, AdvertisedConditions> conditions =
      BoundedMap.evictingLeastRecentlyUsed(CONDITIONS_KEPT);

  private final Listener listener;

  /** Receives changes of the endpoints. */
  public interface Listener {
    /**
     * Called on a change that other components need: a new endpoint, another state, or an endpoint
     * that has become cold.
     *
     * @param record the endpoint's current record
     * @param cause the instance that reported the change
     */
    void changed(EndpointRecord record, String cause);

    /** Called when an endpoint is lost or another incarnation has replaced it under its id. */
    void incarnationLost(EndpointTracker endpoint);

    /** Called when an endpoint that was lost is ready again as the same incarnation. */
    void incarnationReturned(EndpointRecord record);
  }

  /** Creates an empty set of endpoints. */
  public TrackedEndpoints(Listener listener) {
    this.listener = listener;
  }

  /** Applies records that a control instance reports. */
  public void update(FleetMessage.RosterUpdate update, Instant now) {
    Set<String> named = new HashSet<>();
    for (EndpointRecord record : update.records()) {
      named.add(record.id());
      take(record, update.from(), now);
    }
    if (update.complete()) {
      for (EndpointRecord record : roster.records(now)) {
        if (!named.contains(record.id()) && isOld(record, now)) {
          missing(record, update.from(), now);
        }
      }
    }
    roster.removeExpiredTombstones(now).forEach(this::forget);
  }

  private boolean isOld(EndpointRecord record, Instant now) {
    Instant since = knownSince.getOrDefault(record.id(), Instant.EPOCH);
    return since.plus(ROSTER_SPREAD).isBefore(now);
  }

  /**
   * Handles an endpoint that a complete roster does not contain. One that is already lost is
   * removed: as long as it is kept, the digests differ and the complete roster is sent again and
   * again.
   */
  private void missing(EndpointRecord record, String from, Instant now) {
    switch (record.state()) {
      case READY, DRAINING -> take(record.withState(EndpointState.LOST), from, now);
      case LOST -> forget(record.id());
      default -> {}
    }
  }

  private void forget(String endpointId) {
    roster.remove(endpointId);
    trackers.remove(endpointId);
    knownSince.remove(endpointId);
  }

  /**
   * Applies a record. A later incarnation gets a new tracker, because none of its predecessor's
   * cached prompts and requests in flight apply to it. The predecessor's requests end on the old
   * tracker.
   */
  private void take(EndpointRecord record, String from, Instant now) {
    final Optional<EndpointRecord> changed = roster.merge(record, now);
    EndpointRecord known = roster.find(record.id()).orElse(record);
    EndpointTracker tracker = trackers.get(record.id());
    if (tracker != null) {
      noteEnd(tracker, known, changed.isPresent());
      if (known.recoversFrom(tracker.record())) {
        listener.incarnationReturned(known);
      }
    }
    if (tracker == null || known.startedAfter(tracker.record())) {
      AdvertisedConditions stated =
          conditions.computeIfAbsent(known.incarnationId(), i -> new AdvertisedConditions());
      trackers.put(record.id(), new EndpointTracker(known, stated, now));
      knownSince.put(record.id(), now);
    } else if (known.equals(record)) {
      tracker.update(record, now);
    }
    if (known.state() == EndpointState.GONE && trackers.get(record.id()).inFlight() == 0) {
      trackers.remove(record.id());
    }
    changed.ifPresent(c -> listener.changed(c, from));
  }

  private void noteEnd(EndpointTracker tracker, EndpointRecord known, boolean changed) {
    boolean lost = changed && known.state() == EndpointState.LOST;
    if (lost || known.startedAfter(tracker.record())) {
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
