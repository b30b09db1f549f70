package org.lacewingcroft.endpoint;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * An immutable snapshot of the endpoints that a daemon has recorded, keyed by id.
 *
 * <p>A daemon stores the current directory in an {@code AtomicReference} and replaces it on each
 * announcement and expiry (read-copy-update), so that the request path reads it without locks.
 */
public final class EndpointDirectory {
  /** A directory with no endpoints. */
  public static final EndpointDirectory EMPTY = new EndpointDirectory(Map.of());

  private final Map<String, Endpoint> byId;
  private final Map<String, List<Endpoint>> byModel;

  private EndpointDirectory(Map<String, Endpoint> byId) {
    this.byId = Map.copyOf(byId);
    Map<String, List<Endpoint>> index = new HashMap<>();
    for (Endpoint e : this.byId.values()) {
      for (String model : e.models()) {
        index.computeIfAbsent(model, m -> new ArrayList<>()).add(e);
      }
    }
    index.values().forEach(list -> list.sort(Comparator.comparing(Endpoint::id)));
    index.replaceAll((model, list) -> List.copyOf(list));
    this.byModel = Map.copyOf(index);
  }

  /**
   * Returns the endpoints that announced this model or service name, ordered by id. The lists are
   * built once per snapshot, so that the request path does not scan the whole directory.
   */
  public List<Endpoint> serving(String model) {
    return byModel.getOrDefault(model, List.of());
  }

  /**
   * Returns a directory with this endpoint added or its previous announcement replaced. An
   * announcement that is older than the recorded one has no effect.
   */
  public EndpointDirectory with(Endpoint endpoint) {
    Endpoint existing = byId.get(endpoint.id());
    if (existing != null && !endpoint.supersedes(existing)) {
      return this;
    }
    Map<String, Endpoint> next = new HashMap<>(byId);
    next.put(endpoint.id(), endpoint);
    return new EndpointDirectory(next);
  }

  /** Returns a directory without the endpoints whose lease has expired at {@code now}. */
  public EndpointDirectory withoutExpired(Instant now) {
    if (byId.values().stream().allMatch(e -> now.isBefore(e.leaseExpiresAt()))) {
      return this;
    }
    return new EndpointDirectory(
        byId.values().stream()
            .filter(e -> now.isBefore(e.leaseExpiresAt()))
            .collect(Collectors.toMap(Endpoint::id, e -> e)));
  }

  /** Returns the endpoint with this id; empty if the directory has none. */
  public Optional<Endpoint> get(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all endpoints, in no particular order. */
  public Collection<Endpoint> all() {
    return byId.values();
  }

  /** Returns the number of endpoints. */
  public int size() {
    return byId.size();
  }
}
