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
 * The endpoints that an entry knows: their records, as the control instances tell of them, and a
 * tracker for each incarnation.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class TrackedEndpoints {
  /** A record younger than this may be missing in another control instance's whole roster. */
  private static final Duration ROSTER_SPREAD = Duration.ofSeconds(3);

  private static final int CONDITIONS_KEPT = 4_096;

  private final EndpointRoster roster = new EndpointRoster();
  private final Map<String, EndpointTracker> trackers = new TreeMap<>();
  private final Map<String, Instant> knownSince = new HashMap<>();

  /** By incarnation, those of endpoints included that the control instances have forgotten. */
  private final Map<String, AdvertisedConditions> conditions =
      BoundedMap.evictingLeastRecentlyUsed(CONDITIONS_KEPT);

  private final Listener listener;

  /** Hears what changes. */
  public interface Listener {
    /**
     * Others must know of a change: a new endpoint, another state, one that turned cold.
     *
     * @param record what is believed now
     * @param cause the instance that told of it
     */
    void changed(EndpointRecord record, String cause);

    /** An endpoint is lost, or another incarnation is there under its id. */
    void incarnationLost(EndpointTracker endpoint);

    /** An endpoint that was lost is back as the same incarnation. */
    void incarnationReturned(EndpointRecord record);
  }

  /** Creates it knowing no endpoint. */
  public TrackedEndpoints(Listener listener) {
    this.listener = listener;
  }

  /** Takes records that a control instance tells. */
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
   * A whole roster does not name an endpoint. One that was lost before is forgotten: as long as it
   * is kept the digests differ, and the whole roster is told again and again.
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
   * Takes a record. A later incarnation gets a tracker of its own: it holds no prompts and nothing
   * in flight of the one before, whose requests end on the old tracker.
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

  /** Returns the digest by which a control instance finds out whether this entry missed news. */
  public int digest() {
    return roster.digest();
  }

  /** Returns how many records are kept, those of endpoints included that have left or are lost. */
  public int size() {
    return roster.size();
  }
}
