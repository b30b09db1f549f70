package org.lacewingcroft.endpoint;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * An immutable snapshot of the endpoints a daemon knows, keyed by id.
 *
 * <p>Daemons keep one of these in an {@code AtomicReference} and replace it on every announce or
 * expiry (read-copy-update), so the request path reads it without locks.
 */
public final class EndpointDirectory {
  /** A directory with no endpoints. */
  public static final EndpointDirectory EMPTY = new EndpointDirectory(Map.of());

  private final Map<String, Endpoint> byId;

  private EndpointDirectory(Map<String, Endpoint> byId) {
    this.byId = Map.copyOf(byId);
  }

  /** Returns a directory with this endpoint added or its previous announcement replaced. */
  public EndpointDirectory with(Endpoint endpoint) {
    Map<String, Endpoint> next = new HashMap<>(byId);
    next.put(endpoint.id(), endpoint);
    return new EndpointDirectory(next);
  }

  /** Returns a directory without the endpoints whose lease ended before {@code now}. */
  public EndpointDirectory withoutExpired(Instant now) {
    if (byId.values().stream().allMatch(e -> now.isBefore(e.leaseExpiresAt()))) {
      return this;
    }
    return new EndpointDirectory(
        byId.values().stream()
            .filter(e -> now.isBefore(e.leaseExpiresAt()))
            .collect(Collectors.toMap(Endpoint::id, e -> e)));
  }

  /** Returns the endpoint with this id, if known. */
  public Optional<Endpoint> get(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all endpoints in no particular order. */
  public Collection<Endpoint> all() {
    return byId.values();
  }

  /** Returns the number of endpoints. */
  public int size() {
    return byId.size();
  }
}
