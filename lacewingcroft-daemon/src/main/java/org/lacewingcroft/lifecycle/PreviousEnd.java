package org.lacewingcroft.lifecycle;

import java.time.Instant;
import java.util.Optional;

/**
 * How the previous process of an instance ended, as recorded in its marker file.
 *
 * @param cause {@code first_start}, {@code stopped}, {@code failed: <error>}, {@code not_recorded}
 *     after a kill, a power loss or a wiped disk, or {@code unknown}
 * @param startedAt when that process started, if recorded
 * @param endedAt when it recorded its end; empty if it did not
 */
public record PreviousEnd(String cause, Optional<Instant> startedAt, Optional<Instant> endedAt) {
  static final PreviousEnd UNKNOWN = of("unknown");
  static final PreviousEnd FIRST_START = of("first_start");
  static final PreviousEnd NOT_RECORDED = of("not_recorded");

  private static PreviousEnd of(String cause) {
    return new PreviousEnd(cause, Optional.empty(), Optional.empty());
  }

  /** Returns a time as it is logged. */
  public static String logged(Optional<Instant> time) {
    return time.map(Instant::toString).orElse("unknown");
  }
}
