package org.lacewingcroft.forward;

import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.OptionalDouble;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.http.RetryAfter;
import org.lacewingcroft.placement.EndpointTracker;

/**
 * Applies the conditions that endpoints advertise in response heads: load, rate limit, draining,
 * pause.
 */
final class AdvertisedConditionsReader {
  private static final String DRAINING = "1";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HeaderNames headerNames;
  private final EntryNode node;
  private final EndpointLoadReader loadReader;

  AdvertisedConditionsReader(
      HeaderNames headerNames, EntryNode node, EndpointLoadReader loadReader) {
    this.headerNames = headerNames;
    this.node = node;
    this.loadReader = loadReader;
  }

  /**
   * Applies the conditions in a response head to an endpoint. A successful response without a rate
   * limit header removes the limit; an unsuccessful one without it leaves the limit as it is.
   *
   * @param endpoint the endpoint that sent the response
   * @param status the status of the response
   * @param sentAt when the request was sent
   */
  void read(EndpointTracker endpoint, int status, HttpClientResponse response, Instant sentAt) {
    loadReader.read(endpoint, response);
    readRateLimit(endpoint, status, response, sentAt);
    if (DRAINING.equals(response.getHeader(headerNames.draining()))) {
      node.drainAdvertised(endpoint);
    }
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
      RetryAfter.parse(response.getHeader(RetryAfter.HEADER))
          .ifPresent(pause -> node.pauseAdvertised(endpoint, pause));
    }
  }

  private void readRateLimit(
      EndpointTracker endpoint, int status, HttpClientResponse response, Instant sentAt) {
    String value = response.getHeader(headerNames.rateLimit());
    if (value != null) {
      OptionalDouble rate = parseRate(value);
      if (rate.isPresent()) {
        node.rateLimitAdvertised(endpoint, rate, sentAt, status);
      }
    } else if (status >= 200 && status < 300) {
      node.rateLimitAdvertised(endpoint, OptionalDouble.empty(), sentAt, status);
    }
  }

  /** Parses a rate; returns empty if the text is not a finite, non-negative number. */
  private static OptionalDouble parseRate(String text) {
    try {
      double rate = Double.parseDouble(text.trim());
      return rate >= 0 && Double.isFinite(rate) ? OptionalDouble.of(rate) : OptionalDouble.empty();
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }
}
