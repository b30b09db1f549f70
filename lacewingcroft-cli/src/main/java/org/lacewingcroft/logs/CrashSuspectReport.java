package org.lacewingcroft.logs;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Lists the request contents that were in progress at endpoints whose connections were lost.
 * Content that recurs across several of these endpoints, from the same senders, crashes the
 * endpoints that run it. If no content recurs, the endpoints crashed for another reason.
 */
public final class CrashSuspectReport {
  private static final int MAX_ROWS = 20;
  private static final String PLACED = "request.placed";
  private static final String ATTEMPT_FAILED = "request.try_failed";
  private static final String CONNECTION_LOST = "broken";

  private final Map<String, Suspect> byFingerprint = new HashMap<>();
  private final Set<String> entries = new HashSet<>();
  private final Set<String> placedRequests = new HashSet<>();

  /**
   * A request content that was in progress when the connection to an endpoint was lost.
   *
   * @param fingerprint the fingerprint that identifies the content
   * @param route the route of the content
   * @param endpoints the endpoints whose connections were lost while they ran the content
   * @param senders the addresses of the callers that sent the content
   */
  public record Suspect(
      String fingerprint, String route, Set<String> endpoints, Set<String> senders) {}

  /**
   * Reads the log lines.
   *
   * @param lines the log lines of all entries, in causal order
   */
  public CrashSuspectReport(List<LogLine> lines) {
    lines.forEach(this::readPlacement);
    lines.forEach(this::readFailure);
    byFingerprint.values().removeIf(s -> s.endpoints().isEmpty());
  }

  private void readPlacement(LogLine line) {
    if (!line.event().equals(PLACED) || line.text("fingerprint").isEmpty()) {
      return;
    }
    // Only relays to another region log a region.
    if (line.fields().has("region")) {
      entries.add(line.text("target"));
    }
    // Only the first entry receives the request from its caller; after a relay the sender is an
    // entry.
    if (placedRequests.add(line.text("request"))) {
      suspect(line).senders().add(line.text("sender"));
    }
  }

  private void readFailure(LogLine line) {
    boolean connectionLost =
        line.event().equals(ATTEMPT_FAILED) && line.text("what").equals(CONNECTION_LOST);
    boolean failedAtEndpoint =
        !line.text("fingerprint").isEmpty() && !entries.contains(line.text("target"));
    if (connectionLost && failedAtEndpoint) {
      suspect(line).endpoints().add(line.text("target"));
    }
  }

  private Suspect suspect(LogLine line) {
    return byFingerprint.computeIfAbsent(
        line.text("fingerprint"),
        f -> new Suspect(f, line.text("route"), new TreeSet<>(), new TreeSet<>()));
  }

  /** Returns the contents, sorted by descending number of endpoints. */
  public List<Suspect> suspects() {
    return byFingerprint.values().stream()
        .sorted(
            Comparator.comparingInt((Suspect s) -> -s.endpoints().size())
                .thenComparing(Suspect::fingerprint))
        .toList();
  }

  /** Returns the report as text, or an empty string if no connection to an endpoint was lost. */
  public String text() {
    if (byFingerprint.isEmpty()) {
      return "";
    }
    StringBuilder text = new StringBuilder("endpoints with lost connections, by request content\n");
    text.append(
        String.format("%-18s %9s %8s  %-16s %s%n", "", "endpoints", "senders", "route", "which"));
    for (Suspect suspect : suspects().subList(0, Math.min(MAX_ROWS, byFingerprint.size()))) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-18s %9d %8d  %-16s %s%n",
              suspect.fingerprint(),
              suspect.endpoints().size(),
              suspect.senders().size(),
              suspect.route(),
              String.join(" ", suspect.endpoints())));
    }
    return text.append('\n').toString();
  }
}
