package org.lacewingcroft.forward;

import java.util.Optional;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.placement.EndpointTracker;

/**
 * Where one attempt of a request is sent.
 *
 * @param name the endpoint's id or the entry's name, for logs
 * @param address where to connect
 * @param ticket the work booked at the endpoint, empty for an entry of another region
 * @param endpoint the endpoint
 * @param entry the entry of another region
 */
record UpstreamTarget(
    String name,
    String address,
    Optional<EndpointTracker.Ticket> ticket,
    Optional<EndpointTracker> endpoint,
    Optional<EntryInfo> entry) {

  static UpstreamTarget endpoint(EndpointTracker endpoint, EndpointTracker.Ticket ticket) {
    return new UpstreamTarget(
        endpoint.record().id(),
        endpoint.record().address(),
        Optional.of(ticket),
        Optional.of(endpoint),
        Optional.empty());
  }

  static UpstreamTarget entry(EntryInfo entry) {
    return new UpstreamTarget(
        entry.name(), entry.relayAddress(), Optional.empty(), Optional.empty(), Optional.of(entry));
  }
}
