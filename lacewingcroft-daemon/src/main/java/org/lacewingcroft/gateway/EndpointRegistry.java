package org.lacewingcroft.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

/**
 * The endpoints one entry daemon knows, from announcements made to it and relayed by its region's
 * peers. The directory is an immutable snapshot behind an {@link AtomicReference}.
 *
 * <p>An announcement is a JSON object: {@code id}, {@code url}, {@code region}, {@code
 * failureDomain}, {@code kind} ({@code engine} or {@code service}), {@code labels}, {@code models},
 * {@code capacity}, {@code checksFencing}, {@code draining}, {@code load} and {@code sequence},
 * which rises with each announcement.
 */
public final class EndpointRegistry {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Set<String> KEYS =
      Set.of(
          "id",
          "url",
          "region",
          "failureDomain",
          "kind",
          "labels",
          "models",
          "capacity",
          "checksFencing",
          "draining",
          "load",
          "cachedPrefixes",
          "sequence");

  private final AtomicReference<EndpointDirectory> directory =
      new AtomicReference<>(EndpointDirectory.EMPTY);
  private final InstantSource clock;
  private final Duration lease;

  /**
   * Creates an empty registry.
   *
   * @param clock the time source for leases
   * @param lease how long an announcement lasts without renewal
   */
  public EndpointRegistry(InstantSource clock, Duration lease) {
    this.clock = clock;
    this.lease = lease;
  }

  /** Returns the current snapshot, without expired endpoints. */
  public EndpointDirectory snapshot() {
    Instant now = clock.instant();
    return directory.updateAndGet(d -> d.withoutExpired(now));
  }

  /** Adds or renews an endpoint relayed by a peer; its lease runs from now on this clock. */
  public void renew(Endpoint endpoint) {
    put(endpoint.withLeaseExpiry(clock.instant().plus(lease)));
  }

  private void put(Endpoint endpoint) {
    directory.updateAndGet(d -> d.with(endpoint));
  }

  /**
   * Parses and records an announcement.
   *
   * @param body the JSON body
   * @return the endpoint with its new lease
   * @throws GatewayException of kind {@link ErrorKind#MALFORMED_REQUEST} naming the bad field
   */
  public Endpoint announce(byte[] body) {
    Endpoint endpoint = parse(body, clock.instant().plus(lease));
    put(endpoint);
    return endpoint;
  }

  private static Endpoint parse(byte[] body, Instant leaseExpiresAt) {
    JsonNode n;
    try {
      n = JSON.readTree(body);
    } catch (IOException e) {
      throw bad("the announcement is not JSON");
    }
    if (n == null || !n.isObject()) {
      throw bad("the announcement must be a JSON object");
    }
    for (Iterator<String> it = n.fieldNames(); it.hasNext(); ) {
      String key = it.next();
      if (!KEYS.contains(key)) {
        throw bad("unknown key '" + key + "'; known keys: " + KEYS);
      }
    }
    String kindText = text(n, "kind");
    EndpointKind kind;
    try {
      kind = EndpointKind.valueOf(kindText.toUpperCase(java.util.Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw bad("kind '" + kindText + "' is neither engine nor service");
    }
    int capacity = n.path("capacity").asInt(0);
    if (capacity <= 0) {
      throw bad("capacity must be a positive number of concurrent requests");
    }
    String url = text(n, "url");
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      throw bad("url must start with http:// or https://");
    }
    Map<String, String> labels = new HashMap<>();
    n.path("labels").fields().forEachRemaining(e -> labels.put(e.getKey(), e.getValue().asText()));
    Set<String> models = new HashSet<>();
    n.path("models").forEach(m -> models.add(m.asText()));
    Set<String> cachedPrefixes = new HashSet<>();
    n.path("cachedPrefixes").forEach(h -> cachedPrefixes.add(h.asText()));
    if (models.isEmpty()) {
      throw bad("models must list at least one model or service name");
    }
    return new Endpoint(
        text(n, "id"),
        url,
        text(n, "region"),
        text(n, "failureDomain"),
        kind,
        labels,
        models,
        capacity,
        n.path("checksFencing").asBoolean(false),
        n.path("draining").asBoolean(false),
        Math.max(0, n.path("load").asInt(0)),
        cachedPrefixes,
        n.path("sequence").asLong(0),
        leaseExpiresAt);
  }

  private static String text(JsonNode n, String field) {
    JsonNode v = n.get(field);
    if (v == null || !v.isTextual() || v.asText().isBlank()) {
      throw bad("field '" + field + "' must be a non-empty string");
    }
    return v.asText();
  }

  private static GatewayException bad(String detail) {
    return new GatewayException(ErrorKind.MALFORMED_REQUEST, "announcement: " + detail);
  }
}
