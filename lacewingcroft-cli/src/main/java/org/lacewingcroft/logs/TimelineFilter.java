package org.lacewingcroft.logs;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Picks from a merged time line what tells one story: of a request, of an endpoint, or of a
 * configuration version.
 */
public final class TimelineFilter {
  /** How long before its request's first line news of a target is part of the story, in ms. */
  private static final long NEWS_MILLIS = 5_000;

  private final List<LogLine> lines;

  /**
   * Takes a time line.
   *
   * @param lines in causal order
   */
  public TimelineFilter(List<LogLine> lines) {
    this.lines = lines;
  }

  /**
   * Returns the story of a request: its own lines at every instance, and what those instances heard
   * of the endpoints and the routing it met, from {@value #NEWS_MILLIS} ms before its first line to
   * its last.
   */
  public List<LogLine> ofRequest(String id) {
    List<LogLine> own = lines.stream().filter(l -> l.text("request").equals(id)).toList();
    if (own.isEmpty()) {
      return own;
    }
    long from = own.get(0).millis() - NEWS_MILLIS;
    long until = own.get(own.size() - 1).millis();
    Set<String> nodes = new HashSet<>();
    Set<String> targets = new HashSet<>();
    for (LogLine line : own) {
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
                        && isNewsOf(l, targets))
        .toList();
  }

  private static boolean isNewsOf(LogLine line, Set<String> targets) {
    return switch (line.event()) {
      case "endpoint.changed" -> targets.contains(line.text("endpoint"));
      case "routing.in_force" -> true;
      default -> false;
    };
  }

  /** Returns what every instance said of an endpoint, all its incarnations. */
  public List<LogLine> ofEndpoint(String id) {
    return lines.stream().filter(l -> l.text("endpoint").equals(id) && !isRequest(l)).toList();
  }

  private static boolean isRequest(LogLine line) {
    return line.event().startsWith("request.");
  }

  /** Returns how a configuration version was committed and where it came into force. */
  public List<LogLine> ofVersion(String version) {
    return lines.stream().filter(l -> l.text("version").equals(version)).toList();
  }
}
