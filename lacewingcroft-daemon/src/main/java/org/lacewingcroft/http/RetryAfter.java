package org.lacewingcroft.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses the response header by which a server requests a pause before further requests. */
public final class RetryAfter {
  /** The name of the header. */
  public static final String HEADER = "Retry-After";

  private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The longest pause returned; a longer one is assumed to be a mistake of the sender. */
  private static final Duration MAX_PAUSE = Duration.ofHours(1);

  private RetryAfter() {}

  /**
   * Parses a value in seconds, which may have a fraction and is rounded up to whole milliseconds.
   *
   * @param value the header's value, or null if the header is absent
   * @return the pause, at most one hour; empty if the value is not a number of seconds
   */
  public static Optional<Duration> parse(String value) {
    if (value == null || !SECONDS.matcher(value.trim()).matches()) {
      return Optional.empty();
    }
    double millis = Math.ceil(Double.parseDouble(value.trim()) * MILLIS_PER_SECOND);
    Duration pause = Duration.ofMillis((long) Math.min(millis, MAX_PAUSE.toMillis()));
    return Optional.of(pause);
  }
}
