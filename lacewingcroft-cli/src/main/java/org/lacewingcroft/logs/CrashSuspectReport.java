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
 * Lists the request contents and the prompt parts that were in progress at endpoints whose
 * connections were lost, except the parts of prompts that were served. Content that recurs across
 * several of these endpoints, from the same senders, crashes the endpoints that run it, and so does
 * a prompt part that recurs in different contents. If nothing recurs, the endpoints crashed for
 * another reason.
 */
public final class CrashSuspectReport {
  private static final int MAX_ROWS = 20;
  private static final String PLACED = "request.placed";
  private static final String ATTEMPT_FAILED = "request.try_failed";
  private static final String FINISHED = "request.finished";
  private static final String SERVED = "served";
  private static final String CONNECTION_LOST = "broken";

  private final Map<String, Suspect> byFingerprint = new HashMap<>();
  private final Set<String> entries = new HashSet<>();
  private final Set<String> placedRequests = new HashSet<>();

  /** What a fingerprint identifies. */
  public enum Kind {
    /** The whole content of a request. */
    CONTENT,
    /** A part of a prompt that requests have in common. */
    PROMPT_PART
  }

  /**
   * A request content or prompt part that was in progress when the connection to an endpoint was
   * lost.
   *
   * @param fingerprint the fingerprint that identifies it
   * @param kind what the fingerprint identifies
   * @param route the route of the first request with it
   * @param endpoints the endpoints whose connections were lost while they ran it
   * @param senders the addresses of the callers that sent the content; empty for prompt parts
   */
  public record Suspect(
      String fingerprint, Kind kind, String route, Set<String> endpoints, Set<String> senders) {}

  /**
   * Reads the log lines.
   *
   * @param lines the log lines of all entries, in causal order
   */
  public CrashSuspectReport(List<LogLine> lines) {
    lines.forEach(this::readPlacement);
    lines.forEach(this::readFailure);
    lines.forEach(this::readCompletion);
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
      suspect(line.text("fingerprint"), Kind.CONTENT, line).senders().add(line.text("sender"));
    }
  }

  private void readFailure(LogLine line) {
    boolean connectionLost =
        line.event().equals(ATTEMPT_FAILED) && line.text("what").equals(CONNECTION_LOST);
    boolean failedAtEndpoint =
        !line.text("fingerprint").isEmpty() && !entries.contains(line.text("target"));
    if (connectionLost && failedAtEndpoint) {
      String target = line.text("target");
      suspect(line.text("fingerprint"), Kind.CONTENT, line).endpoints().add(target);
      promptParts(line)
          .forEach(part -> suspect(part, Kind.PROMPT_PART, line).endpoints().add(target));
    }
  }

  private void readCompletion(LogLine line) {
    if (line.event().equals(FINISHED) && line.text("outcome").equals(SERVED)) {
      promptParts(line).forEach(byFingerprint::remove);
    }
  }

  private static List<String> promptParts(LogLine line) {
    String parts = line.text("promptParts");
    return parts.isEmpty() ? List.of() : List.of(parts.split(" "));
  }

  private Suspect suspect(String fingerprint, Kind kind, LogLine line) {
    return byFingerprint.computeIfAbsent(
        fingerprint,
        f -> new Suspect(f, kind, line.text("route"), new TreeSet<>(), new TreeSet<>()));
  }

  /** Returns the contents and prompt parts, sorted by descending number of endpoints. */
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
    StringBuilder text =
        new StringBuilder("endpoints with lost connections, by request content and prompt part\n");
    text.append(
        String.format(
            "%-18s %-11s %9s %8s  %-16s %s%n", "", "", "endpoints", "senders", "route", "which"));
    for (Suspect suspect : suspects().subList(0, Math.min(MAX_ROWS, byFingerprint.size()))) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-18s %-11s %9d %8d  %-16s %s%n",
              suspect.fingerprint(),
              suspect.kind() == Kind.CONTENT ? "content" : "prompt part",
              suspect.endpoints().size(),
              suspect.senders().size(),
              suspect.route(),
              String.join(" ", suspect.endpoints())));
    }
    return text.append('\n').toString();
  }
}
