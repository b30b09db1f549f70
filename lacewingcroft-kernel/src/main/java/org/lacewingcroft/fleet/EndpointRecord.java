package org.lacewingcroft.fleet;

/**
 * The last announced state of an endpoint, or the state that the control instances have recorded
 * for it.
 *
 * @param id its id; an endpoint may restart under the same id
 * @param startedAtMillis when this incarnation started, in Unix milliseconds of its own clock; 0 if
 *     not announced
 * @param service the service it belongs to
 * @param address its listen address, {@code ip:port}
 * @param failureDomain its failure domain
 * @param slots number of requests it runs concurrently
 * @param state its state
 * @param sequence the number of the announcement, increasing within an incarnation
 * @param coldMillis remaining time for which it stays cold, in ms from when the record was sent
 */
public record EndpointRecord(
    String id,
    long startedAtMillis,
    String service,
    String address,
    String failureDomain,
    int slots,
    EndpointState state,
    long sequence,
    long coldMillis) {

  /** Returns the id of this incarnation, as {@code id@start}. */
  public String incarnationId() {
    return id + '@' + startedAtMillis;
  }

  /** Returns a copy of this record with the given state. */
  public EndpointRecord withState(EndpointState next) {
    return new EndpointRecord(
        id, startedAtMillis, service, address, failureDomain, slots, next, sequence, coldMillis);
  }

  /** Returns a copy of this record with the given remaining cold time. */
  public EndpointRecord withColdMillis(long millis) {
    return new EndpointRecord(
        id, startedAtMillis, service, address, failureDomain, slots, state, sequence, millis);
  }

  /** Returns whether this record belongs to an incarnation of the same id that started later. */
  public boolean startedAfter(EndpointRecord other) {
    return startedAtMillis > other.startedAtMillis;
  }

  /**
   * Returns whether this record reports an incarnation as ready that the earlier record reported as
   * lost.
   */
  public boolean recoversFrom(EndpointRecord earlier) {
    return earlier.state == EndpointState.LOST
        && state == EndpointState.READY
        && !startedAfter(earlier);
  }

  /**
   * Returns whether this record is newer than another one of the same id: from a later incarnation,
   * whose sequence numbers restart, or a later announcement of the same incarnation.
   */
  public boolean supersedes(EndpointRecord older) {
    if (startedAtMillis != older.startedAtMillis) {
      return startedAfter(older);
    }
    if (older.state == EndpointState.GONE) {
      return false;
    }
    return state == EndpointState.GONE
        || sequence > older.sequence
        || sequence == older.sequence && state.compareTo(older.state) > 0;
  }
}
