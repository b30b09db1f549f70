package org.lacewingcroft.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.logs.RequestOutcome.Result;

/** Derives the outcome of each request, and its cause, from the log lines of the entries. */
public final class RequestOutcomes {
  private static final String PLACED = "request.placed";
  private static final String ATTEMPT_FAILED = "request.try_failed";
  private static final String FINISHED = "request.finished";
  private static final String STARTED = "instance.started";
  private static final String SERVED = "served";
  private static final List<String> STAGES =
      List.of("queue", "placement", "connect", "endpoint", "relay");
  private static final int SERVER_ERROR = 500;

  /** Statuses of refused requests, provided that the request cannot have run. */
  private static final Set<Long> REFUSED_STATUSES = Set.of(429L, 503L);

  private final List<RequestOutcome> outcomes = new ArrayList<>();
  private final Map<Handling, List<LogLine>> attemptLines = new HashMap<>();
  private final Set<Handling> relayed = new HashSet<>();
  private final Map<String, String> regionByNode = new HashMap<>();

  /** Identifies the handling of one request by one entry. */
  private record Handling(String request, String node) {}

  private RequestOutcomes() {}

  /**
   * Returns one outcome for each request that callers sent. The handling of a relayed request by
   * the receiving entry is part of the outcome at the relaying entry.
   *
   * @param lines the log lines of all entries, in causal order
   */
  public static List<RequestOutcome> of(List<LogLine> lines) {
    RequestOutcomes reader = new RequestOutcomes();
    lines.forEach(reader::addLine);
    return reader.outcomes;
  }

  private void addLine(LogLine line) {
    Handling handling = new Handling(line.text("request"), line.node());
    switch (line.event()) {
      case PLACED, ATTEMPT_FAILED -> {
        attemptLines.computeIfAbsent(handling, h -> new ArrayList<>()).add(line);
        // Only relays to another region log a region.
        if (line.fields().has("region")) {
          relayed.add(new Handling(line.text("request"), line.text("target")));
        }
      }
      case FINISHED -> {
        List<LogLine> attempts =
            Optional.ofNullable(attemptLines.remove(handling)).orElse(List.of());
        if (!relayed.remove(handling)) {
          outcomes.add(toOutcome(line, attempts));
        }
      }
      case STARTED -> regionByNode.put(line.node(), line.text("region"));
      default -> {}
    }
  }

  private RequestOutcome toOutcome(LogLine finished, List<LogLine> attempts) {
    Result result = result(finished);
    return new RequestOutcome(
        finished.text("request"),
        finished.text("route"),
        finished.node(),
        regionByNode.getOrDefault(finished.node(), ""),
        result,
        result == Result.SERVED ? "" : cause(finished, attempts),
        lastWithEvent(attempts, PLACED).map(line -> line.text("target")).orElse(""),
        finished.millis() - finished.number("millis", 0),
        finished.number("firstByteMillis", -1),
        finished.number("millis", 0),
        finished.number("objectiveMillis", 0),
        longestStage(finished));
  }

  private static String longestStage(LogLine finished) {
    return STAGES.stream()
        .filter(stage -> finished.number(stage + "Millis", 0) > 0)
        .max(Comparator.comparingLong(stage -> finished.number(stage + "Millis", 0)))
        .orElse("");
  }

  private static Result result(LogLine finished) {
    long status = finished.number("status", 0);
    if (status == 0) {
      return Result.LEFT;
    } else if (finished.text("outcome").equals(SERVED) && status < SERVER_ERROR) {
      return Result.SERVED;
    }
    boolean refused =
        REFUSED_STATUSES.contains(status) && !finished.fields().path("mayHaveRun").asBoolean();
    return refused ? Result.REFUSED : Result.FAILED;
  }

  /** Returns the outcome that the entry logged, with the failure of the last failed attempt. */
  private static String cause(LogLine finished, List<LogLine> attempts) {
    String outcome =
        finished.text("outcome").equals(SERVED)
            ? "answered " + finished.text("status")
            : finished.text("outcome");
    boolean streamed = finished.number("lastEvent", -1) >= 0;
    String phase = streamed ? ", in the middle of its response" : "";
    return lastWithEvent(attempts, ATTEMPT_FAILED)
        .map(line -> outcome + phase + ", after a failed attempt: " + line.text("what"))
        .orElse(outcome + phase);
  }

  private static Optional<LogLine> lastWithEvent(List<LogLine> attempts, String event) {
    return attempts.stream()
        .filter(line -> line.event().equals(event))
        .reduce((earlier, later) -> later);
  }
}
