package org.lacewingcroft.fleet;

/**
 * An endpoint as it announced itself last, or as the control instances judge it.
 *
 * @param id its id; an endpoint may start again under the id that it had
 * @param startedAtMillis when this incarnation started, in Unix milliseconds by its own clock; 0 if
 *     it does not say
 * @param service the service it belongs to
 * @param address where it listens, {@code ip:port}
 * @param failureDomain its failure domain
 * @param slots requests it runs at once
 * @param state its state
 * @param sequence the number of the announcement, rising within an incarnation
 * @param coldMillis how much longer it stays cold, counted from when the record was sent
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

  /** Returns the name of this incarnation, as {@code id@start}. */
  public String incarnationId() {
    return id + '@' + startedAtMillis;
  }

  /** Returns this record in another state. */
  public EndpointRecord withState(EndpointState next) {
    return new EndpointRecord(
        id, startedAtMillis, service, address, failureDomain, slots, next, sequence, coldMillis);
  }

  /** Returns this record with another remaining cold time. */
  public EndpointRecord withColdMillis(long millis) {
    return new EndpointRecord(
        id, startedAtMillis, service, address, failureDomain, slots, state, sequence, millis);
  }

  /** Returns whether this record is of an incarnation under the same id that started later. */
  public boolean startedAfter(EndpointRecord other) {
    return startedAtMillis > other.startedAtMillis;
  }

  /**
   * Returns whether an incarnation that was lost by an earlier record is in service by this one.
   */
  public boolean recoversFrom(EndpointRecord earlier) {
    return earlier.state == EndpointState.LOST
        && state == EndpointState.READY
        && !startedAfter(earlier);
  }

  /**
   * Returns whether this record says something newer of the same id: of a later incarnation, whose
   * sequence numbers start anew, or later words of the same one.
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
