package org.lacewingcroft.logs;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the lines of a merged timeline that concern one request, one endpoint or one
 * configuration version.
 */
public final class TimelineFilter {
  /** The time before the first line of a request from which updates are included. */
  private static final long UPDATE_LOOKBACK_MILLIS = 5_000;

  private final List<LogLine> lines;

  /**
   * Creates a filter over a timeline.
   *
   * @param lines the log lines in causal order
   */
  public TimelineFilter(List<LogLine> lines) {
    this.lines = lines;
  }

  /**
   * Returns the lines of a request at every instance. Includes the routing updates that those
   * instances applied, and their updates of the endpoints that the request was sent to or that it
   * fetched KV cache from, from {@value #UPDATE_LOOKBACK_MILLIS} ms before the first line of the
   * request to its last.
   */
  public List<LogLine> ofRequest(String id) {
    List<LogLine> requestLines = lines.stream().filter(l -> l.text("request").equals(id)).toList();
    if (requestLines.isEmpty()) {
      return requestLines;
    }
    long from = requestLines.get(0).millis() - UPDATE_LOOKBACK_MILLIS;
    long until = requestLines.get(requestLines.size() - 1).millis();
    Set<String> nodes = new HashSet<>();
    Set<String> targets = new HashSet<>();
    for (LogLine line : requestLines) {
      nodes.add(line.node());
      targets.add(line.text("target"));
      targets.add(line.text("fetchFrom"));
    }
    return lines.stream()
        .filter(
            l ->
                l.text("request").equals(id)
                    || nodes.contains(l.node())
                        && l.millis() >= from
                        && l.millis() <= until
                        && isUpdateOf(l, targets))
        .toList();
  }

  private static boolean isUpdateOf(LogLine line, Set<String> targets) {
    return switch (line.event()) {
      case "endpoint.changed" -> targets.contains(line.text("endpoint"));
      case "routing.in_force" -> true;
      default -> false;
    };
  }

  /** Returns the lines of all instances about all incarnations of an endpoint. */
  public List<LogLine> ofEndpoint(String id) {
    return lines.stream().filter(l -> l.text("endpoint").equals(id) && !isRequestLine(l)).toList();
  }

  private static boolean isRequestLine(LogLine line) {
    return line.event().startsWith("request.");
  }

  /** Returns the lines about the commit and the activation of a configuration version. */
  public List<LogLine> ofVersion(String version) {
    return lines.stream().filter(l -> l.text("version").equals(version)).toList();
  }
}
