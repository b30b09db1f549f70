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
 * Holds the endpoints known to one entry daemon, from announcements that it received itself and
 * announcements relayed by peers of its region. The directory is an immutable snapshot behind an
 * {@link AtomicReference}.
 *
 * <p>An announcement is a JSON object: {@code id}, {@code url}, {@code region}, {@code
 * failureDomain}, {@code kind} ({@code engine} or {@code service}), {@code labels}, {@code models},
 * {@code capacity}, {@code checksFencing}, {@code draining}, {@code load}, {@code cachedPrefixes}
 * and {@code sequence}, which increases with each announcement.
 */
public final class EndpointRegistry {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Set<String> KNOWN_KEYS =
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
   * @param lease how long an announcement is valid without renewal
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

  /** Adds or renews an endpoint relayed by a peer; its lease starts now by this daemon's clock. */
  public void renew(Endpoint endpoint) {
    put(endpoint.leasedUntil(clock.instant().plus(lease)));
  }

  private void put(Endpoint endpoint) {
    directory.updateAndGet(d -> d.with(endpoint));
  }

  /**
   * Parses and records an announcement.
   *
   * @param body the JSON body
   * @return the endpoint with its new lease
   * @throws GatewayException of kind {@link ErrorKind#MALFORMED_REQUEST} naming the invalid field
   */
  public Endpoint announce(byte[] body) {
    Endpoint endpoint = parse(body, clock.instant().plus(lease));
    put(endpoint);
    return endpoint;
  }

  private static Endpoint parse(byte[] body, Instant leaseExpiresAt) {
    JsonNode json;
    try {
      json = JSON.readTree(body);
    } catch (IOException e) {
      throw malformed("the announcement is not JSON");
    }
    if (json == null || !json.isObject()) {
      throw malformed("the announcement must be a JSON object");
    }
    for (Iterator<String> it = json.fieldNames(); it.hasNext(); ) {
      String key = it.next();
      if (!KNOWN_KEYS.contains(key)) {
        throw malformed("unknown key '" + key + "'; known keys: " + KNOWN_KEYS);
      }
    }
    String kindText = text(json, "kind");
    EndpointKind kind;
    try {
      kind = EndpointKind.valueOf(kindText.toUpperCase(java.util.Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw malformed("kind '" + kindText + "' is neither engine nor service");
    }
    int capacity = json.path("capacity").asInt(0);
    if (capacity <= 0) {
      throw malformed("capacity must be a positive number of concurrent requests");
    }
    String url = text(json, "url");
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      throw malformed("url must start with http:// or https://");
    }
    Map<String, String> labels = new HashMap<>();
    json.path("labels")
        .fields()
        .forEachRemaining(e -> labels.put(e.getKey(), e.getValue().asText()));
    Set<String> models = new HashSet<>();
    json.path("models").forEach(m -> models.add(m.asText()));
    Set<String> cachedPrefixes = new HashSet<>();
    json.path("cachedPrefixes").forEach(h -> cachedPrefixes.add(h.asText()));
    if (models.isEmpty()) {
      throw malformed("models must list at least one model or service name");
    }
    return new Endpoint(
        text(json, "id"),
        url,
        text(json, "region"),
        text(json, "failureDomain"),
        kind,
        labels,
        models,
        capacity,
        json.path("checksFencing").asBoolean(false),
        json.path("draining").asBoolean(false),
        Math.max(0, json.path("load").asInt(0)),
        cachedPrefixes,
        json.path("sequence").asLong(0),
        leaseExpiresAt);
  }

  private static String text(JsonNode json, String field) {
    JsonNode value = json.get(field);
    if (value == null || !value.isTextual() || value.asText().isBlank()) {
      throw malformed("field '" + field + "' must be a non-empty string");
    }
    return value.asText();
  }

  private static GatewayException malformed(String detail) {
    return new GatewayException(ErrorKind.MALFORMED_REQUEST, "announcement: " + detail);
  }
}
