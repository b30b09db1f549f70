package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** A client of the operator and fault injection APIs of daemons, and of the stand-in APIs. */
public final class DaemonClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(8);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private Optional<HttpResponse<String>> send(HttpRequest request) {
    try {
      return Optional.of(http.send(request, HttpResponse.BodyHandlers.ofString()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private Optional<HttpResponse<String>> get(String url) {
    return send(HttpRequest.newBuilder(URI.create(url)).timeout(QUERY_TIMEOUT).build());
  }

  /** Returns the JSON document at a URL, or empty if the request fails or has another status. */
  public Optional<JsonNode> getJson(String url) {
    return get(url)
        .filter(r -> r.statusCode() == 200)
        .flatMap(
            r -> {
              try {
                return Optional.of(JSON.readTree(r.body()));
              } catch (IOException e) {
                return Optional.empty();
              }
            });
  }

  /** Returns the active configuration version of a daemon, or -1 if it does not respond. */
  public long configVersion(String daemonUrl) {
    return get(daemonUrl + "/v1/config")
        .map(r -> r.headers().firstValueAsLong("X-Config-Version").orElse(-1))
        .orElse(-1L);
  }

  /** Returns whether a daemon is ready. */
  public boolean isReady(String daemonUrl) {
    return get(daemonUrl + "/readyz").filter(r -> r.statusCode() == 200).isPresent();
  }

  /** Returns the active configuration document of a daemon, or empty if it does not respond. */
  public Optional<String> configDocument(String daemonUrl) {
    return get(daemonUrl + "/v1/config").filter(r -> r.statusCode() == 200).map(HttpResponse::body);
  }

  /** The form of a change: a complete document or a patch. */
  public enum ChangeKind {
    /** {@code PUT}: replaces the complete document. */
    PUT,
    /** {@code PATCH}: adds, replaces and removes elements by name. */
    PATCH
  }

  /**
   * Sends one configuration change to a control daemon.
   *
   * @return the response, or empty if the daemon did not respond
   */
  public Optional<HttpResponse<String>> sendChange(
      ChangeKind kind, String daemonUrl, String changeId, long expectedVersion, String body) {
    return send(
        HttpRequest.newBuilder(URI.create(daemonUrl + "/v1/config"))
            .timeout(CHANGE_TIMEOUT)
            .header("X-Change-Id", changeId)
            .header("X-Expected-Version", Long.toString(expectedVersion))
            .method(kind.name(), HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Returns the version in the response to an accepted change, or -1 if it was not accepted. */
  public static long acceptedVersion(Optional<HttpResponse<String>> response) {
    try {
      return response.isPresent() && response.get().statusCode() == 200
          ? JSON.readTree(response.get().body()).path("version").asLong(-1)
          : -1;
    } catch (IOException e) {
      return -1;
    }
  }

  /**
   * Injects link faults into a daemon started with {@code --fault-injection}.
   *
   * @throws IllegalStateException if the daemon does not accept them
   */
  public void injectFaults(String daemonUrl, Set<String> cutRegions, long delayMillis) {
    ObjectNode body = JSON.createObjectNode();
    body.set("cutRegions", JSON.valueToTree(cutRegions));
    body.put("delayMillis", delayMillis);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(daemonUrl + "/v1/faults"))
            .timeout(QUERY_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    if (send(request).filter(r -> r.statusCode() == 200).isEmpty()) {
      throw new IllegalStateException(daemonUrl + " does not accept injected faults");
    }
  }
}
