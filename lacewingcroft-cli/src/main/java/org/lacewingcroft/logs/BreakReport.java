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
 * Which contents were under way at endpoints that broke off. A content that one endpoint after the
 * other broke off under, from the same senders, ends the endpoints that run it; if none recurs, the
 * endpoints ended for another reason.
 */
public final class BreakReport {
  private static final int MOST_ROWS = 20;
  private static final String PLACED = "request.placed";
  private static final String TRY_FAILED = "request.try_failed";
  private static final String BROKEN = "broken";

  private final Map<String, Suspect> byFingerprint = new HashMap<>();
  private final Set<String> entries = new HashSet<>();
  private final Set<String> placedRequests = new HashSet<>();

  /**
   * A content that was under way where an endpoint broke off.
   *
   * @param fingerprint names it
   * @param route its route
   * @param endpoints the endpoints that broke off under it
   * @param senders the callers that sent it, as addresses
   */
  public record Suspect(
      String fingerprint, String route, Set<String> endpoints, Set<String> senders) {}

  /**
   * Reads the lines.
   *
   * @param lines of all entries, in causal order
   */
  public BreakReport(List<LogLine> lines) {
    lines.forEach(this::readPlacement);
    lines.forEach(this::readFailure);
    byFingerprint.values().removeIf(s -> s.endpoints().isEmpty());
  }

  private void readPlacement(LogLine line) {
    if (!line.event().equals(PLACED) || line.text("fingerprint").isEmpty()) {
      return;
    }
    if (line.fields().has("region")) {
      entries.add(line.text("target"));
    }
    // The first entry got it from its caller, the next one from the first.
    if (placedRequests.add(line.text("request"))) {
      suspect(line).senders().add(line.text("sender"));
    }
  }

  private void readFailure(LogLine line) {
    boolean broke = line.event().equals(TRY_FAILED) && line.text("what").equals(BROKEN);
    boolean known = !line.text("fingerprint").isEmpty() && !entries.contains(line.text("target"));
    if (broke && known) {
      suspect(line).endpoints().add(line.text("target"));
    }
  }

  private Suspect suspect(LogLine line) {
    return byFingerprint.computeIfAbsent(
        line.text("fingerprint"),
        f -> new Suspect(f, line.text("route"), new TreeSet<>(), new TreeSet<>()));
  }

  /** Returns the contents, those with most endpoints first. */
  public List<Suspect> suspects() {
    return byFingerprint.values().stream()
        .sorted(
            Comparator.comparingInt((Suspect s) -> -s.endpoints().size())
                .thenComparing(Suspect::fingerprint))
        .toList();
  }

  /** Returns the report as text, empty if no endpoint broke off. */
  public String text() {
    if (byFingerprint.isEmpty()) {
      return "";
    }
    StringBuilder text = new StringBuilder("endpoints that broke off, by what they were sent\n");
    text.append(
        String.format("%-18s %9s %8s  %-16s %s%n", "", "endpoints", "senders", "route", "which"));
    for (Suspect suspect : suspects().subList(0, Math.min(MOST_ROWS, byFingerprint.size()))) {
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
