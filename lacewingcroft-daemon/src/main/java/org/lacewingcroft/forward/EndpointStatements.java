package org.lacewingcroft.forward;

import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.OptionalDouble;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.http.RetryAfter;
import org.lacewingcroft.placement.EndpointTracker;

/** Reads what endpoints state about themselves in the heads of their answers. */
final class EndpointStatements {
  private static final String LEAVES = "1";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HeaderNames names;
  private final EntryNode node;

  EndpointStatements(HeaderNames names, EntryNode node) {
    this.names = names;
    this.node = node;
  }

  /**
   * Takes what an answer states. Only a success without a rate shows that there is none any more.
   *
   * @param endpoint the endpoint that gave it
   * @param sentAt when its request was sent
   */
  void read(EndpointTracker endpoint, int status, HttpClientResponse answer, Instant sentAt) {
    readRate(endpoint, status, answer, sentAt);
    if (LEAVES.equals(answer.getHeader(names.draining()))) {
      node.drainAdvertised(endpoint);
    }
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
      RetryAfter.parse(answer.getHeader(RetryAfter.HEADER))
          .ifPresent(pause -> node.pauseRequested(endpoint, pause));
    }
  }

  private void readRate(
      EndpointTracker endpoint, int status, HttpClientResponse answer, Instant sentAt) {
    String stated = answer.getHeader(names.rateLimit());
    if (stated != null) {
      OptionalDouble rate = rate(stated);
      if (rate.isPresent()) {
        node.rateLimitAdvertised(endpoint, rate, sentAt, status);
      }
    } else if (status >= 200 && status < 300) {
      node.rateLimitAdvertised(endpoint, OptionalDouble.empty(), sentAt, status);
    }
  }

  /** Returns a rate that is not negative; empty if the text is none. */
  private static OptionalDouble rate(String text) {
    try {
      double rate = Double.parseDouble(text.trim());
      return rate >= 0 && Double.isFinite(rate) ? OptionalDouble.of(rate) : OptionalDouble.empty();
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }
}
