package org.lacewingcroft.forward;

import java.util.Optional;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.Placement;

/**
 * Where one attempt of a request is sent.
 *
 * @param name the endpoint's id or the entry's name, for logs
 * @param address where to connect
 * @param ticket the work booked at the endpoint, empty for an entry of another region
 * @param endpoint the endpoint
 * @param entry the entry of another region
 * @param fetch what the endpoint fetches of the prompt instead of reading it
 */
record UpstreamTarget(
    String name,
    String address,
    Optional<EndpointTracker.InFlightRequest> ticket,
    Optional<EndpointTracker> endpoint,
    Optional<EntryInfo> entry,
    Optional<Placement.PrefixFetch> fetch) {

  static UpstreamTarget endpoint(
      Placement.ToEndpoint here, EndpointTracker.InFlightRequest ticket) {
    EndpointTracker endpoint = here.endpoint();
    return new UpstreamTarget(
        endpoint.record().id(),
        endpoint.record().address(),
        Optional.of(ticket),
        Optional.of(endpoint),
        Optional.empty(),
        here.fetch());
  }

  static UpstreamTarget entry(EntryInfo entry) {
    return new UpstreamTarget(
        entry.name(),
        entry.relayAddress(),
        Optional.empty(),
        Optional.empty(),
        Optional.of(entry),
        Optional.empty());
  }
}
