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
 * The endpoints that an instance knows, merged from their own announcements and from the records that other instances forward. The newest announcement of an incarnation wins regardless of the path by which it arrived; {@link EndpointState#GONE} is final.
 *
 * <p>Addresses are reused. A new incarnation takes over the address of the previous one, whose announcements may still arrive late: the previous one gets the address back only if it keeps announcing itself while the new one does not. An endpoint may also restart under the same id: then the incarnation that started later wins, regardless of further announcements of the earlier one.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class EndpointRoster {
  /** Announcements of the previous holder of an address, with none of the new holder in between, after which the previous holder gets the address back. */
  private static final int RECLAIM_ANNOUNCEMENTS = 2;

  /** How long a deregistered incarnation is retained, longer than any announcement is delayed. */
  private static final Duration TOMBSTONE = Duration.ofSeconds(90);

  private static final class Known {
    private EndpointRecord record;
    private Instant heardAt;
    private Instant coldUntil;
    private boolean replaced;
    private int reclaims;

    private Known(EndpointRecord record, Instant now) {
      take(record, now);
    }

    /** Creates an incarnation whose first announcement arrived after that of the one which took over its address. */
    private static Known late(EndpointRecord record, Instant now) {
      Known known = new Known(record.withState(EndpointState.LOST), now);
      known.replaced = true;
      return known;
    }

    private void take(EndpointRecord newer, Instant now) {
      record = newer;
      heardAt = now;
      coldUntil = now.plusMillis(newer.coldMillis());
    }

    private EndpointRecord recordAt(Instant now) {
      long left = Math.max(0, Duration.between(now, coldUntil).toMillis());
      return record.withColdMillis(left);
    }
  }

  private final Map<String, Known> byId = new TreeMap<>();

  /**
   * Applies an endpoint's own announcement, received here or by another control instance. A deregistration ({@link EndpointState#GONE}) is accepted from any incarnation, replaced or not.
   *
   * @return the record if it is a change to publish: a new endpoint, another state, or an endpoint that became cold
   */
  public Optional<EndpointRecord> applyAnnouncement(EndpointRecord record, Instant now) {
    if (record.state() == EndpointState.GONE) {
      return merge(record, now);
    }
    Known known = byId.get(record.id());
    if (known == null && laterStartAt(record)) {
      byId.put(record.id(), Known.late(record, now));
      return Optional.empty();
    }
    if (known != null && known.record.startedAfter(record)) {
      return Optional.empty();
    }
    boolean sameIncarnation = known != null && !record.startedAfter(known.record);
    if (sameIncarnation && known.replaced && !reclaims(known, record)) {
      return Optional.empty();
    }
    replaceOthersAt(record);
    return merge(record, now);
  }

  /** Returns whether an incarnation that started later is ready at the record's address. */
  private boolean laterStartAt(EndpointRecord record) {
    return record.startedAtMillis() > 0
        && byId.values().stream()
            .map(k -> k.record)
            .filter(other -> other.address().equals(record.address()))
            .filter(other -> other.state() == EndpointState.READY)
            .anyMatch(other -> other.startedAfter(record));
  }

  private boolean reclaims(Known known, EndpointRecord record) {
    if (record.sequence() <= known.record.sequence()) {
      return false;
    }
    known.record = known.record.withState(EndpointState.LOST);
    known.reclaims++;
    return known.reclaims >= RECLAIM_ANNOUNCEMENTS;
  }

  private void replaceOthersAt(EndpointRecord record) {
    for (Known other : byId.values()) {
      boolean rival =
          other.record.address().equals(record.address())
              && !other.record.id().equals(record.id())
              && other.record.state() != EndpointState.GONE;
      if (rival) {
        other.replaced = true;
        other.reclaims = 0;
        other.record = other.record.withState(EndpointState.LOST);
      }
    }
  }

  /** Merges a record from another instance and returns it if it changed the roster. */
  public Optional<EndpointRecord> merge(EndpointRecord record, Instant now) {
    Known known = byId.get(record.id());
    if (known == null) {
      byId.put(record.id(), new Known(record, now));
      return Optional.of(record);
    }
    if (!record.supersedes(known.record)) {
      return Optional.empty();
    }
    boolean changed =
        record.startedAfter(known.record)
            || record.state() != known.record.state()
            || record.coldMillis() > 0 && !known.coldUntil.isAfter(now);
    known.replaced = false;
    known.take(record, now);
    return changed ? Optional.of(record) : Optional.empty();
  }

  /** Marks the endpoints whose lease has expired as lost and returns their records. */
  public List<EndpointRecord> expire(Instant now, Duration lease) {
    List<EndpointRecord> lost = new ArrayList<>();
    byId.values().removeIf(k -> k.heardAt.plus(TOMBSTONE).isBefore(now));
    for (Known known : byId.values()) {
      boolean live =
          known.record.state() == EndpointState.READY
              || known.record.state() == EndpointState.DRAINING;
      if (live && known.heardAt.plus(lease).isBefore(now)) {
        known.record = known.record.withState(EndpointState.LOST);
        lost.add(known.recordAt(now));
      }
    }
    return lost;
  }

  /** Removes an endpoint. */
  public void remove(String id) {
    byId.remove(id);
  }

  /** Removes the endpoints that deregistered so long ago that none of their announcements can still arrive, and returns their ids. */
  public List<String> removeExpiredTombstones(Instant now) {
    List<String> gone =
        byId.values().stream()
            .filter(k -> k.record.state() == EndpointState.GONE)
            .filter(k -> k.heardAt.plus(TOMBSTONE).isBefore(now))
            .map(k -> k.record.id())
            .toList();
    gone.forEach(this::remove);
    return gone;
  }

  /** Renews every endpoint's lease. After the instance was disconnected, missed announcements are no evidence that an endpoint is lost. */
  public void renewAll(Instant now) {
    byId.values().forEach(k -> k.heardAt = now);
  }

  /** Returns the record of an endpoint. */
  public Optional<EndpointRecord> find(String id) {
    return Optional.ofNullable(byId.get(id)).map(k -> k.record);
  }

  /** Returns the number of recorded endpoints, including those that deregistered recently. */
  public int size() {
    return byId.size();
  }

  /** Returns every record, with the cold time remaining at the given instant, ordered by id. */
  public Collection<EndpointRecord> records(Instant now) {
    return byId.values().stream().map(k -> k.recordAt(now)).toList();
  }

  /** Returns a hash of the roster's contents; different rosters have different hashes with high probability. */
  public int digest() {
    int digest = 0;
    for (Known known : byId.values()) {
      EndpointRecord record = known.record;
      if (record.state() != EndpointState.GONE) {
        digest += Objects.hash(record.id(), record.startedAtMillis(), record.state().name());
      }
    }
    return digest;
  }
}
