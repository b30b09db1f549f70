package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The endpoints recorded by an instance, merged from their own announcements and from the records
 * that other instances forward. The newest announcement of an incarnation wins regardless of the
 * path by which it arrived; {@link EndpointState#GONE} is final.
 *
 * <p>Addresses are reused. A new incarnation takes over the address of the previous one, whose
 * announcements may still arrive late: the previous one gets the address back only if it keeps
 * announcing itself while the new one does not. An endpoint may also restart under the same id:
 * then the incarnation that started later wins, regardless of further announcements of the earlier
 * one.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class EndpointRoster {
  /**
   * Number of announcements of the previous holder of an address, with none of the new holder in
   * between, after which the previous holder gets the address back.
   */
  private static final int RECLAIM_ANNOUNCEMENTS = 2;

  /**
   * How long an endpoint's record is retained after its last announcement or its deregistration,
   * longer than any announcement is delayed.
   */
  private static final Duration RECORD_RETENTION = Duration.ofSeconds(90);

  private static final class StoredEndpoint {
    private EndpointRecord record;
    private Instant lastAnnouncedAt;
    private Instant coldUntil;
    private boolean replaced;
    private int reclaimAnnouncements;

    private StoredEndpoint(EndpointRecord record, Instant now) {
      update(record, now);
    }

    /**
     * Records an incarnation whose first announcement arrived after that of the incarnation that
     * took over its address.
     */
    private static StoredEndpoint createReplaced(EndpointRecord record, Instant now) {
      StoredEndpoint stored = new StoredEndpoint(record.withState(EndpointState.LOST), now);
      stored.replaced = true;
      return stored;
    }

    private void update(EndpointRecord newer, Instant now) {
      record = newer;
      lastAnnouncedAt = now;
      coldUntil = now.plusMillis(newer.coldMillis());
    }

    private EndpointRecord recordAt(Instant now) {
      long remainingMillis = Math.max(0, Duration.between(now, coldUntil).toMillis());
      return record.withColdMillis(remainingMillis);
    }
  }

  private final Map<String, StoredEndpoint> byId = new TreeMap<>();

  /**
   * Applies an endpoint's own announcement, received here or by another control instance. A
   * deregistration ({@link EndpointState#GONE}) is accepted from any incarnation, replaced or not.
   *
   * @return the record if it is a change to publish: a new endpoint, another state, or an endpoint
   *     that became cold
   */
  public Optional<EndpointRecord> applyAnnouncement(EndpointRecord record, Instant now) {
    if (record.state() == EndpointState.GONE) {
      return merge(record, now);
    }
    StoredEndpoint stored = byId.get(record.id());
    if (stored == null && hasLaterIncarnationAt(record)) {
      byId.put(record.id(), StoredEndpoint.createReplaced(record, now));
      return Optional.empty();
    }
    if (stored != null && stored.record.startedAfter(record)) {
      return Optional.empty();
    }
    boolean sameIncarnation = stored != null && !record.startedAfter(stored.record);
    if (sameIncarnation && stored.replaced && !countReclaimAnnouncement(stored, record)) {
      return Optional.empty();
    }
    markOthersReplacedAt(record);
    return merge(record, now);
  }

  /** Returns whether an incarnation that started later is ready at the record's address. */
  private boolean hasLaterIncarnationAt(EndpointRecord record) {
    return record.startedAtMillis() > 0
        && byId.values().stream()
            .map(t -> t.record)
            .filter(other -> other.address().equals(record.address()))
            .filter(other -> other.state() == EndpointState.READY)
            .anyMatch(other -> other.startedAfter(record));
  }

  /**
   * Counts an announcement of a replaced incarnation, unless it is outdated, and returns whether
   * the incarnation gets its address back.
   */
  private boolean countReclaimAnnouncement(StoredEndpoint stored, EndpointRecord record) {
    if (record.sequence() <= stored.record.sequence()) {
      return false;
    }
    stored.record = stored.record.withState(EndpointState.LOST);
    stored.reclaimAnnouncements++;
    return stored.reclaimAnnouncements >= RECLAIM_ANNOUNCEMENTS;
  }

  private void markOthersReplacedAt(EndpointRecord record) {
    for (StoredEndpoint other : byId.values()) {
      boolean sameAddress =
          other.record.address().equals(record.address())
              && !other.record.id().equals(record.id())
              && other.record.state() != EndpointState.GONE;
      if (sameAddress) {
        other.replaced = true;
        other.reclaimAnnouncements = 0;
        other.record = other.record.withState(EndpointState.LOST);
      }
    }
  }

  /** Merges a record from another instance and returns it if it changed the roster. */
  public Optional<EndpointRecord> merge(EndpointRecord record, Instant now) {
    StoredEndpoint stored = byId.get(record.id());
    if (stored == null) {
      byId.put(record.id(), new StoredEndpoint(record, now));
      return Optional.of(record);
    }
    if (!record.supersedes(stored.record)) {
      return Optional.empty();
    }
    boolean changed =
        record.startedAfter(stored.record)
            || record.state() != stored.record.state()
            || record.coldMillis() > 0 && !stored.coldUntil.isAfter(now);
    stored.replaced = false;
    stored.update(record, now);
    return changed ? Optional.of(record) : Optional.empty();
  }

  /**
   * Marks the endpoints whose lease has expired as lost and returns their records. Also removes the
   * endpoints that have not announced themselves for {@link #RECORD_RETENTION}.
   */
  public List<EndpointRecord> expire(Instant now, Duration lease) {
    List<EndpointRecord> lost = new ArrayList<>();
    byId.values().removeIf(t -> t.lastAnnouncedAt.plus(RECORD_RETENTION).isBefore(now));
    for (StoredEndpoint stored : byId.values()) {
      boolean leased =
          stored.record.state() == EndpointState.READY
              || stored.record.state() == EndpointState.DRAINING;
      if (leased && stored.lastAnnouncedAt.plus(lease).isBefore(now)) {
        stored.record = stored.record.withState(EndpointState.LOST);
        lost.add(stored.recordAt(now));
      }
    }
    return lost;
  }

  /** Removes an endpoint. */
  public void remove(String id) {
    byId.remove(id);
  }

  /**
   * Removes the endpoints that deregistered so long ago that none of their announcements can still
   * arrive, and returns their ids.
   */
  public List<String> removeExpiredTombstones(Instant now) {
    List<String> gone =
        byId.values().stream()
            .filter(t -> t.record.state() == EndpointState.GONE)
            .filter(t -> t.lastAnnouncedAt.plus(RECORD_RETENTION).isBefore(now))
            .map(t -> t.record.id())
            .toList();
    gone.forEach(this::remove);
    return gone;
  }

  /**
   * Renews every endpoint's lease. After the instance was disconnected, missed announcements are no
   * evidence that an endpoint is lost.
   */
  public void renewAllLeases(Instant now) {
    byId.values().forEach(t -> t.lastAnnouncedAt = now);
  }

  /** Returns the record of an endpoint. */
  public Optional<EndpointRecord> find(String id) {
    return Optional.ofNullable(byId.get(id)).map(t -> t.record);
  }

  /** Returns the number of recorded endpoints, including those that deregistered recently. */
  public int size() {
    return byId.size();
  }

  /** Returns every record, with the cold time remaining at the given instant, ordered by id. */
  public Collection<EndpointRecord> records(Instant now) {
    return byId.values().stream().map(t -> t.recordAt(now)).toList();
  }

  /**
   * Returns a hash of the roster's contents; different rosters have different hashes with high
   * probability.
   */
  public int digest() {
    int digest = 0;
    for (StoredEndpoint stored : byId.values()) {
      EndpointRecord record = stored.record;
      if (record.state() != EndpointState.GONE) {
        digest += Objects.hash(record.id(), record.startedAtMillis(), record.state().name());
      }
    }
    return digest;
  }
}
