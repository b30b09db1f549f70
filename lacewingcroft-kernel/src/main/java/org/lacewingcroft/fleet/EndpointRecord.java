package org.lacewingcroft.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An endpoint as it announced itself last, or as the control instances judge it.
 *
 * @param id the id of this incarnation; a restart brings a new one
 * @param service the service it belongs to
 * @param address where it listens, {@code ip:port}
 * @param failureDomain its failure domain
 * @param slots requests it runs at once
 * @param state its state
 * @param sequence the number of the announcement, rising within an incarnation
 * @param coldMillis how much longer it stays cold, counted from when the record was sent
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointRecord(
    String id,
    String service,
    String address,
    String failureDomain,
    int slots,
    EndpointState state,
    long sequence,
    long coldMillis) {

  /** Returns this record in another state. */
  public EndpointRecord inState(EndpointState next) {
    return new EndpointRecord(
        id, service, address, failureDomain, slots, next, sequence, coldMillis);
  }

  /** Returns this record with another remaining cold time. */
  public EndpointRecord coldFor(long millis) {
    return new EndpointRecord(id, service, address, failureDomain, slots, state, sequence, millis);
  }

  /** Returns whether this record says something newer of the same incarnation. */
  public boolean supersedes(EndpointRecord older) {
    if (older.state == EndpointState.GONE) {
      return false;
    }
    return state == EndpointState.GONE
        || sequence > older.sequence
        || sequence == older.sequence && state.compareTo(older.state) > 0;
  }
}
