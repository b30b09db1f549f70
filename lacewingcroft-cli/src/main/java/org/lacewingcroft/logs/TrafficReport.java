package org.lacewingcroft.logs;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums the messages between instances by kind, from the cumulative counters that each instance logs
 * periodically. The counters start at 0 when an instance starts, so the last values of each start
 * are summed.
 */
public final class TrafficReport {
  private static final String TRAFFIC = "peer.traffic";
  private static final int MICROS_PER_MILLI = 1_000;

  private final Map<String, Totals> byKind = new TreeMap<>();
  private final Map<CounterKey, Totals> latestTotals = new HashMap<>();

  private record CounterKey(String node, String kind) {}

  /**
   * Message counters of one kind of message.
   *
   * @param sent the number of messages sent
   * @param sentBytes the size of the messages sent, in bytes
   * @param received the number of messages received
   * @param receivedBytes the size of the messages received, in bytes
   * @param workMicros the time spent processing the messages, in microseconds
   */
  public record Totals(
      long sent, long sentBytes, long received, long receivedBytes, long workMicros) {
    private static final Totals ZERO = new Totals(0, 0, 0, 0, 0);

    private static Totals of(LogLine line) {
      return new Totals(
          line.number("sent", 0),
          line.number("sentBytes", 0),
          line.number("received", 0),
          line.number("receivedBytes", 0),
          line.number("workMicros", 0));
    }

    private Totals plus(Totals other) {
      return new Totals(
          sent + other.sent,
          sentBytes + other.sentBytes,
          received + other.received,
          receivedBytes + other.receivedBytes,
          workMicros + other.workMicros);
    }

    private Totals minus(Totals other) {
      return new Totals(
          sent - other.sent,
          sentBytes - other.sentBytes,
          received - other.received,
          receivedBytes - other.receivedBytes,
          workMicros - other.workMicros);
    }

    /** Returns whether a counter is below its earlier value, because the instance restarted. */
    private boolean isAfterRestart(Totals earlier) {
      return sent < earlier.sent || received < earlier.received;
    }
  }

  /**
   * Reads the logged counters.
   *
   * @param lines the log lines of all instances, in causal order
   */
  public TrafficReport(List<LogLine> lines) {
    lines.stream().filter(line -> line.event().equals(TRAFFIC)).forEach(this::addLine);
  }

  private void addLine(LogLine line) {
    CounterKey counterKey = new CounterKey(line.node(), line.text("kind"));
    Totals totals = Totals.of(line);
    Totals earlier = latestTotals.getOrDefault(counterKey, Totals.ZERO);
    Totals added = totals.isAfterRestart(earlier) ? totals : totals.minus(earlier);
    byKind.merge(counterKey.kind(), added, Totals::plus);
    latestTotals.put(counterKey, totals);
  }

  /** Returns the totals of all instances by kind of message. */
  public Map<String, Totals> byKind() {
    return Map.copyOf(byKind);
  }

  /** Returns the report as text, or an empty string if no instance logged its counters. */
  public String text() {
    if (byKind.isEmpty()) {
      return "";
    }
    StringBuilder text = new StringBuilder("messages between instances by kind\n");
    text.append(
        String.format(
            "%-30s %10s %12s %10s %12s %10s%n",
            "", "sent", "sent B", "received", "received B", "work ms"));
    byKind.forEach(
        (kind, t) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "%-30s %10d %12d %10d %12d %10d%n",
                    kind,
                    t.sent(),
                    t.sentBytes(),
                    t.received(),
                    t.receivedBytes(),
                    t.workMicros() / MICROS_PER_MILLI)));
    return text.append('\n').toString();
  }
}
