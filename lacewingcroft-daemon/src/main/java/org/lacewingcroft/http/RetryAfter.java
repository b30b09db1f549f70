package org.lacewingcroft.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** The header by which the sender of an answer says how long it wants no further request. */
public final class RetryAfter {
  /** Its name. */
  public static final String HEADER = "Retry-After";

  private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A longer pause is taken for a mistake of its sender. */
  private static final Duration LONGEST = Duration.ofHours(1);

  private RetryAfter() {}

  /**
   * Reads a value in seconds, which may have a fraction.
   *
   * @param value the header's value, null if there is none
   * @return the pause, an hour at most; empty if the value is no number of seconds
   */
  public static Optional<Duration> parse(String value) {
    if (value == null || !SECONDS.matcher(value.trim()).matches()) {
      return Optional.empty();
    }
    double millis = Math.ceil(Double.parseDouble(value.trim()) * MILLIS_PER_SECOND);
    Duration pause = Duration.ofMillis((long) Math.min(millis, LONGEST.toMillis()));
    return Optional.of(pause);
  }
}
