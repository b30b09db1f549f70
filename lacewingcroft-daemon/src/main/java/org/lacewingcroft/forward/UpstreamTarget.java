package org.lacewingcroft.forward;

import java.util.Optional;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.Placement;

/**
 * The destination of one attempt: an endpoint of this region or another entry.
 *
 * @param name the endpoint's id or the entry's name, for logs
 * @param address the address to connect to, {@code host:port}
 * @param inFlightRequest the request's entry in the load tracking of the endpoint, empty for an
 *     entry
 * @param endpoint the endpoint, empty if the target is an entry
 * @param entry the other entry, empty if the target is an endpoint
 * @param prefixFetch the KV cache fetch that replaces prefill of a part of the prompt, if any
 */
record UpstreamTarget(
    String name,
    String address,
    Optional<EndpointTracker.InFlightRequest> inFlightRequest,
    Optional<EndpointTracker> endpoint,
    Optional<EntryInfo> entry,
    Optional<Placement.PrefixFetch> prefixFetch) {

  static UpstreamTarget endpoint(
      Placement.ToEndpoint placement, EndpointTracker.InFlightRequest inFlightRequest) {
    EndpointTracker endpoint = placement.endpoint();
    return new UpstreamTarget(
        endpoint.record().id(),
        endpoint.record().address(),
        Optional.of(inFlightRequest),
        Optional.of(endpoint),
        Optional.empty(),
        placement.fetch());
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
