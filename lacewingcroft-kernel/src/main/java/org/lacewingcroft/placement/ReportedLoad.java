package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lacewingcroft.fleet.FleetMessage;

/**
 * The load that an endpoint has reported in a response head.
 *
 * @param running number of requests that it is running
 * @param waiting number of requests in its queue
 * @param slots number of requests that it runs concurrently
 * @param pacePercent how long work takes on its machine, 100 for the usual time
 * @param reportedAt when an entry of this region received the report, by this entry's clock
 */
public record ReportedLoad(
    int running, int waiting, int slots, int pacePercent, Instant reportedAt) {
  private static final int USUAL_PACE_PERCENT = 100;
  private static final int MAX_PACE_PERCENT = 10_000;

  /** The largest number of five digits; larger numbers could make estimates overflow. */
  private static final int MAX_COUNT = 99_999;

  private static final Pattern HEADER =
      Pattern.compile("(\\d{1,5}),(\\d{1,5}),(\\d{1,5})(?:,(\\d{1,5}))?");

  /**
   * Parses a header value.
   *
   * @param value {@code RUNNING,WAITING,SLOTS} or {@code RUNNING,WAITING,SLOTS,PACE}
   * @return empty if the value is malformed or out of range
   */
  public static Optional<ReportedLoad> parse(String value, Instant receivedAt) {
    Matcher matcher = HEADER.matcher(value.trim());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String pace = matcher.group(4);
    ReportedLoad load =
        new ReportedLoad(
            Integer.parseInt(matcher.group(1)),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3)),
            pace == null ? USUAL_PACE_PERCENT : Integer.parseInt(pace),
            receivedAt);
    return load.isInRange() ? Optional.of(load) : Optional.empty();
  }

  /**
   * Returns whether a header value contains the pace. Placement uses only reports that do: an
   * endpoint that does not state its pace shares its machine with no other work, so that the
   * requests that the entries count describe its load.
   */
  public static boolean containsPace(String value) {
    Matcher matcher = HEADER.matcher(value.trim());
    return matcher.matches() && matcher.group(4) != null;
  }

  /**
   * Converts a report that another entry received.
   *
   * @param now when its message arrived
   * @return empty if a value is out of range
   */
  public static Optional<ReportedLoad> fromPeer(FleetMessage.EndpointReport report, Instant now) {
    ReportedLoad load =
        new ReportedLoad(
            report.running(),
            report.waiting(),
            report.slots(),
            report.pacePercent(),
            now.minusMillis(Math.max(0, report.ageMillis())));
    return load.isInRange() ? Optional.of(load) : Optional.empty();
  }

  /** Returns the message that passes this report to other entries. */
  public FleetMessage.EndpointReport toMessage(String endpoint, Instant now) {
    return new FleetMessage.EndpointReport(
        endpoint,
        running,
        waiting,
        slots,
        pacePercent,
        Math.max(0, Duration.between(reportedAt, now).toMillis()));
  }

  private boolean isInRange() {
    return running >= 0
        && running <= MAX_COUNT
        && waiting >= 0
        && waiting <= MAX_COUNT
        && slots > 0
        && slots <= MAX_COUNT
        && pacePercent > 0
        && pacePercent <= MAX_PACE_PERCENT;
  }

  /** Returns whether the report is recent enough to be used. */
  boolean isRecent(Instant now) {
    return reportedAt.plus(EndpointOccupancy.REPORT_TTL).isAfter(now);
  }

  /** Returns whether the reported values are the same, whenever they were reported. */
  public boolean hasSameValues(ReportedLoad other) {
    return running == other.running
        && waiting == other.waiting
        && slots == other.slots
        && pacePercent == other.pacePercent;
  }

  /** Returns how long work takes on the endpoint's machine, 1 for the usual time. */
  double pace() {
    return (double) pacePercent / USUAL_PACE_PERCENT;
  }
}
