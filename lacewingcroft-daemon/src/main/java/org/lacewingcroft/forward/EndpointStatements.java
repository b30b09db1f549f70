package org.lacewingcroft.forward;

import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.OptionalDouble;
import org.lacewingcroft.placement.EndpointTracker;

/** Reads what endpoints state about themselves in the heads of their answers. */
final class EndpointStatements {
  private static final System.Logger LOG = System.getLogger(EndpointStatements.class.getName());

  private final HeaderNames names;

  EndpointStatements(HeaderNames names) {
    this.names = names;
  }

  /**
   * Takes what an answer states.
   *
   * @param endpoint the endpoint that gave it
   * @param sentAt when its request was sent
   */
  void read(
      EndpointTracker endpoint,
      int status,
      HttpClientResponse answer,
      Instant sentAt,
      Instant now) {
    String stated = answer.getHeader(names.rateLimit());
    boolean success = status >= 200 && status < 300;
    if (stated == null && !success) {
      return;
    }
    OptionalDouble perSecond = stated == null ? OptionalDouble.empty() : rate(stated);
    boolean unreadable = stated != null && perSecond.isEmpty();
    if (!unreadable && endpoint.rateLimit().stated(perSecond, sentAt, now)) {
      LOG.log(
          System.Logger.Level.INFO,
          "endpoint.rate_limit_stated",
          "endpoint",
          endpoint.record().id(),
          "perSecond",
          stated == null ? "none" : stated,
          "status",
          status);
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
