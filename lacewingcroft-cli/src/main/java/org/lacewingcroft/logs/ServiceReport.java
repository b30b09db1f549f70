package org.lacewingcroft.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.lacewingcroft.logs.RequestOutcome.Result;

/**
 * Counts the requests that were served and those that were not, by route, region, entry, last
 * target, cause and second of arrival, and those served late by the stage that took longest.
 */
public final class ServiceReport {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final String HEADER =
      "%-58s %8s %8s %8s %8s %8s %8s %9s %9s %9s %9s%n"
          .formatted(
              "",
              "all",
              "served",
              "late",
              "refused",
              "failed",
              "left",
              "lost",
              "head p50",
              "head p99",
              "end p99");

  private final List<RequestOutcome> outcomes;
  private final Map<String, Double> weightByRoute;
  private final long startMillis;

  /**
   * Creates a report of the given outcomes.
   *
   * @param outcomes the outcomes of all requests
   * @param weightByRoute the weight of one request by route, in any unit; routes without an entry
   *     have weight 1
   */
  public ServiceReport(List<RequestOutcome> outcomes, Map<String, Double> weightByRoute) {
    this.outcomes = List.copyOf(outcomes);
    this.weightByRoute = Map.copyOf(weightByRoute);
    this.startMillis = outcomes.stream().mapToLong(RequestOutcome::arrivedMillis).min().orElse(0);
  }

  /**
   * Returns the counts by second of arrival, relative to the first request. Seconds in which no
   * request arrived are omitted.
   */
  public Map<Long, OutcomeCounts> countsBySecond() {
    return countsBy(o -> (o.arrivedMillis() - startMillis) / MILLIS_PER_SECOND);
  }

  /** Returns the counts by the key that the function returns for a request. */
  public <K extends Comparable<K>> Map<K, OutcomeCounts> countsBy(Function<RequestOutcome, K> key) {
    Map<K, OutcomeCounts> counts = new TreeMap<>();
    for (RequestOutcome outcome : outcomes) {
      counts
          .computeIfAbsent(key.apply(outcome), k -> new OutcomeCounts())
          .add(outcome, weightByRoute.getOrDefault(outcome.route(), 1.0));
    }
    return counts;
  }

  /**
   * Returns the report as text, one table per grouping. Except by second, rows are sorted by
   * descending weight of the requests that were not served.
   */
  public String text() {
    List<RequestOutcome> notServed =
        outcomes.stream().filter(o -> o.result() != Result.SERVED).toList();
    ServiceReport reportOfNotServed = new ServiceReport(notServed, weightByRoute);
    List<RequestOutcome> late = outcomes.stream().filter(RequestOutcome::isLate).toList();
    ServiceReport reportOfLate = new ServiceReport(late, weightByRoute);
    List<Row> seconds = new ArrayList<>();
    countsBySecond().forEach((second, counts) -> seconds.add(new Row(second.toString(), counts)));
    return table("route", rowsByNotServedWeight(RequestOutcome::route))
        + table("region", rowsByNotServedWeight(o -> o.region().isEmpty() ? "unknown" : o.region()))
        + table("entry", rowsByNotServedWeight(RequestOutcome::node))
        + table(
            "route and cause",
            reportOfNotServed.rowsByNotServedWeight(o -> o.route() + ": " + o.cause()))
        + table(
            "route and longest stage of late responses",
            reportOfLate.rowsByNotServedWeight(o -> o.route() + ": " + o.longestStage()))
        + table(
            "last target", rowsByNotServedWeight(o -> o.target().isEmpty() ? "none" : o.target()))
        + table("second of arrival", seconds);
  }

  /** A row of a table. */
  private record Row(String name, OutcomeCounts counts) {}

  private List<Row> rowsByNotServedWeight(Function<RequestOutcome, String> key) {
    return countsBy(key).entrySet().stream()
        .map(e -> new Row(e.getKey(), e.getValue()))
        .sorted(Comparator.comparingDouble(row -> -row.counts().notServedWeight()))
        .toList();
  }

  private static String table(String name, List<Row> rows) {
    StringBuilder text = new StringBuilder("by " + name + "\n").append(HEADER);
    for (Row row : rows) {
      OutcomeCounts c = row.counts();
      text.append(
          String.format(
              Locale.ROOT,
              "%-58s %8d %8d %8d %8d %8d %8d %9.1f %9d %9d %9d%n",
              row.name(),
              c.total(),
              c.count(Result.SERVED),
              c.late(),
              c.count(Result.REFUSED),
              c.count(Result.FAILED),
              c.count(Result.LEFT),
              c.notServedWeight(),
              c.firstByteMillis(50),
              c.firstByteMillis(99),
              c.durationMillis(99)));
    }
    return text.append('\n').toString();
  }
}
