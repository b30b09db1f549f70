package org.lacewingcroft.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.routing.RouteRequest;

/**
 * A caller's request, parsed from the OpenAI-compatible JSON body of a chat completion or from a
 * call to a plain service, and from the headers that an entry reads.
 *
 * <p>Headers read: {@code X-Organisation} (required), {@code X-Residency} (comma-separated
 * regions), {@code X-Priority}, {@code Idempotency-Key}, {@code X-Idempotent} ({@code false} marks
 * the request non-idempotent and then requires a key), {@code X-Deadline-Millis} (how long the
 * caller waits) and {@code X-Lacewingcroft-Forwarded} (set by an entry that forwarded the request
 * from another region).
 *
 * @param organisation the caller's organisation
 * @param model the model from the body, or the name of the called service
 * @param stream whether the caller requested server-sent events
 * @param priority the priority, {@code normal} by default
 * @param residency the regions in which the request may be served; empty means any
 * @param idempotencyKey the caller's idempotency key, if any
 * @param idempotent false if the request must run at most once
 * @param timeout how long the caller waits, from now
 * @param forwardedFrom the region that forwarded the request to this one, if any
 * @param prefixKey the first {@link #PREFIX_CHARS} characters of the first message, for cache
 *     affinity
 * @param fingerprints identify the content, the same for all callers, and its messages but the last
 * @param body the raw body, relayed unchanged to the endpoint
 * @param path the path to call on the endpoint, such as {@code /v1/chat/completions}
 */
public record CallerRequest(
    String organisation,
    String model,
    boolean stream,
    String priority,
    Set<String> residency,
    Optional<String> idempotencyKey,
    boolean idempotent,
    Duration timeout,
    Optional<String> forwardedFrom,
    String prefixKey,
    RequestFingerprints fingerprints,
    byte[] body,
    String path) {

  /** Header naming the caller's organisation. */
  public static final String ORGANISATION_HEADER = "X-Organisation";

  /**
   * Header in which standard OpenAI clients name the organisation; read if {@link
   * #ORGANISATION_HEADER} is missing.
   */
  public static final String OPENAI_ORGANISATION_HEADER = "OpenAI-Organization";

  /** Header listing allowed regions. */
  public static final String RESIDENCY_HEADER = "X-Residency";

  /** Header carrying the priority. */
  public static final String PRIORITY_HEADER = "X-Priority";

  /** Header carrying the idempotency key. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Header marking a request non-idempotent with {@code false}. */
  public static final String IDEMPOTENT_HEADER = "X-Idempotent";

  /** Header set by an entry that forwarded the request from another region. */
  public static final String FORWARDED_HEADER = "X-Lacewingcroft-Forwarded";

  /** Header carrying the remaining time in milliseconds that the caller waits. */
  public static final String DEADLINE_HEADER = "X-Deadline-Millis";

  /** Timeout of a request whose caller set no deadline. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(2);

  private static final Duration MAX_TIMEOUT = Duration.ofMinutes(30);

  /** Number of leading characters of the first message that form the cache affinity key. */
  public static final int PREFIX_CHARS = 256;

  /** The path of chat completions at the engines. */
  public static final String CHAT_PATH = "/v1/chat/completions";

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Parses a chat completion request.
   *
   * @param headers looks up a header by name, case-insensitively; null when absent
   * @param body the request body
   * @param knownRegions supplies the deployment's regions, to validate the residency
   * @return the request
   * @throws GatewayException of kind {@link ErrorKind#MALFORMED_REQUEST} or {@link
   *     ErrorKind#UNKNOWN_REGION}; the request has not been sent to any endpoint then
   */
  public static CallerRequest parse(
      Function<String, String> headers, byte[] body, Supplier<Set<String>> knownRegions) {
    // Rejects a missing organisation before any other error.
    organisationOf(headers);
    JsonNode root;
    try {
      root = JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw malformed("the body is not JSON: " + e.getOriginalMessage());
    } catch (java.io.IOException e) {
      throw malformed("the body could not be read");
    }
    if (root == null || !root.isObject()) {
      throw malformed("the body must be a JSON object");
    }
    JsonNode model = root.get("model");
    if (model == null || !model.isTextual() || model.asText().isBlank()) {
      throw malformed("field 'model' must be a non-empty string");
    }
    JsonNode messages = root.get("messages");
    if (messages == null || !messages.isArray() || messages.isEmpty()) {
      throw malformed("field 'messages' must be a non-empty array");
    }
    return build(
        headers,
        model.asText(),
        root.path("stream").asBoolean(false),
        prefixOf(messages),
        promptPartsOf(messages),
        body,
        CHAT_PATH,
        knownRegions);
  }

  /**
   * Parses a call to a plain service, {@code /v1/services/<service><path>}; the body is relayed
   * unchanged.
   *
   * @param headers looks up a header by name, case-insensitively; null when absent
   * @param service the service name, routed like a model name
   * @param path the path to call on the service, starting with {@code /}
   * @param body the request body
   * @param knownRegions supplies the deployment's regions, to validate the residency
   * @return the request
   * @throws GatewayException of kind {@link ErrorKind#MALFORMED_REQUEST} or {@link
   *     ErrorKind#UNKNOWN_REGION}
   */
  public static CallerRequest forService(
      Function<String, String> headers,
      String service,
      String path,
      byte[] body,
      Supplier<Set<String>> knownRegions) {
    // Rejects a missing organisation before any other error.
    organisationOf(headers);
    if (service == null || service.isBlank() || !path.startsWith("/")) {
      throw malformed("the path must be /v1/services/<service>/<path>");
    }
    return build(headers, service, false, "", List.of(), body, path, knownRegions);
  }

  private static String organisationOf(Function<String, String> headers) {
    return Stream.of(ORGANISATION_HEADER, OPENAI_ORGANISATION_HEADER)
        .map(headers)
        .filter(name -> name != null && !name.isBlank())
        .findFirst()
        .orElseThrow(
            () ->
                malformed(
                    "the organisation is missing; send the header "
                        + ORGANISATION_HEADER
                        + " or "
                        + OPENAI_ORGANISATION_HEADER));
  }

  private static CallerRequest build(
      Function<String, String> headers,
      String model,
      boolean stream,
      String prefixKey,
      List<String> promptParts,
      byte[] body,
      String path,
      Supplier<Set<String>> knownRegions) {
    Set<String> residency = parseResidency(headers.apply(RESIDENCY_HEADER), knownRegions);
    Optional<String> key = Optional.ofNullable(headers.apply(IDEMPOTENCY_KEY_HEADER));
    boolean markedNonIdempotent = "false".equalsIgnoreCase(headers.apply(IDEMPOTENT_HEADER));
    if (markedNonIdempotent && key.isEmpty()) {
      throw malformed(
          "a request with " + IDEMPOTENT_HEADER + ": false needs an " + IDEMPOTENCY_KEY_HEADER);
    }
    String priority = Optional.ofNullable(headers.apply(PRIORITY_HEADER)).orElse("normal");
    return new CallerRequest(
        organisationOf(headers),
        model,
        stream,
        priority,
        residency,
        key,
        !(markedNonIdempotent || key.isPresent()),
        parseTimeout(headers.apply(DEADLINE_HEADER)),
        Optional.ofNullable(headers.apply(FORWARDED_HEADER)),
        prefixKey,
        RequestFingerprints.of(
            RequestFingerprint.of("POST", "", model + ' ' + path, body), promptParts),
        body.clone(),
        path);
  }

  /**
   * Returns the key under which the owner instance records this request: the organisation and the
   * idempotency key.
   */
  public Optional<String> scopedIdempotencyKey() {
    return idempotencyKey.map(k -> organisation + "/" + k);
  }

  private static Set<String> parseResidency(String header, Supplier<Set<String>> knownRegions) {
    if (header == null || header.isBlank()) {
      return Set.of();
    }
    Set<String> regions =
        Arrays.stream(header.split(","))
            .map(String::trim)
            .filter(s -> !s.isEmpty())
            .collect(Collectors.toSet());
    Set<String> supported = knownRegions.get();
    for (String region : regions) {
      if (!supported.contains(region)) {
        throw new GatewayException(
            ErrorKind.UNKNOWN_REGION,
            "residency names region '" + region + "', which is not one of " + supported);
      }
    }
    return regions;
  }

  private static Duration parseTimeout(String header) {
    if (header == null) {
      return DEFAULT_TIMEOUT;
    }
    if (!header.matches("\\d{1,9}") || Long.parseLong(header) == 0) {
      throw malformed(
          "header " + DEADLINE_HEADER + " is '" + header + "', not a positive number of ms");
    }
    Duration timeout = Duration.ofMillis(Long.parseLong(header));
    return timeout.compareTo(MAX_TIMEOUT) > 0 ? MAX_TIMEOUT : timeout;
  }

  private static String prefixOf(JsonNode messages) {
    String text = messages.get(0).path("content").asText("");
    return text.substring(0, Math.min(PREFIX_CHARS, text.length()));
  }

  /** Returns the messages of a prompt as ids of its parts; equal messages have equal ids. */
  private static List<String> promptPartsOf(JsonNode messages) {
    List<String> parts = new ArrayList<>();
    messages.forEach(message -> parts.add(message.toString()));
    return parts;
  }

  private static GatewayException malformed(String detail) {
    return new GatewayException(ErrorKind.MALFORMED_REQUEST, detail);
  }

  /**
   * Returns the attributes of this request that the router needs.
   *
   * @param excluded endpoint ids and regions that the router must not select
   */
  public RouteRequest toRouteRequest(Set<String> excluded) {
    return new RouteRequest(
        organisation,
        model,
        priority,
        residency,
        forwardedFrom.isPresent(),
        excluded,
        body.length,
        prefixKey);
  }
}
