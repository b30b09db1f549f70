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
 * The endpoints that an instance knows, merged from their own announcements and from what other
 * instances pass on. The newest announcement of an incarnation wins, whatever way it came; leaving
 * is final.
 *
 * <p>Addresses are used again. A new incarnation takes an address over from the one before, whose
 * announcements may still arrive late: it gets the address back only if it goes on announcing
 * itself while the other one is silent. An endpoint may also start again under the id that it had:
 * then the later start wins, whatever the earlier incarnation still says.
 *
 * <p>Not thread-safe: owned by the instance's event loop.
 */
public final class EndpointRoster {
  /** Announcements without one of the rival between that give an address back to an old holder. */
  private static final int RECLAIM_ANNOUNCEMENTS = 2;

  /** How long an incarnation that left is remembered, longer than any announcement is late. */
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

    /** An incarnation first heard of after the one that took its address over. */
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
   * Takes an endpoint's own announcement, received here or by another control instance. That it has
   * left is taken from any incarnation, replaced or not.
   *
   * @return the record if it changed what others must know: a new endpoint, another state, or an
   *     endpoint that turned cold
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

  /** Whether an incarnation that started later is in service at the record's address. */
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

  /** Takes a record from another instance; returns it if it changed what is known here. */
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

  /** Marks endpoints that were not heard of for a lease as lost and returns them. */
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

  /** Forgets an endpoint. */
  public void remove(String id) {
    byId.remove(id);
  }

  /** Forgets the endpoints that left so long ago that no word of them is late any more. */
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

  /** Counts every endpoint as heard of now: after a break their silence proves nothing. */
  public void renewAll(Instant now) {
    byId.values().forEach(k -> k.heardAt = now);
  }

  /** Returns what is known of an incarnation. */
  public Optional<EndpointRecord> find(String id) {
    return Optional.ofNullable(byId.get(id)).map(k -> k.record);
  }

  /** Returns how many incarnations are known, those included that have left lately. */
  public int size() {
    return byId.size();
  }

  /** Returns every record, with the cold time left at this instant, ordered by id. */
  public Collection<EndpointRecord> records(Instant now) {
    return byId.values().stream().map(k -> k.recordAt(now)).toList();
  }

  /** Returns a number that differs, almost surely, between rosters that say different things. */
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
