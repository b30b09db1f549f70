package org.lacewingcroft.logs;

import java.util.ArrayList;
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
  private static final String TRY_FAILED = "request.try_failed";
  private static final String FINISHED = "request.finished";
  private static final String SERVED = "served";
  private static final int SERVER_ERROR = 500;

  /** Statuses of rejected requests, provided that the request cannot have run. */
  private static final Set<Long> TURNED_AWAY = Set.of(429L, 503L);

  private final List<RequestOutcome> outcomes = new ArrayList<>();
  private final Map<Handling, List<LogLine>> tries = new HashMap<>();
  private final Set<Handling> relayed = new HashSet<>();

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
    lines.forEach(reader::read);
    return reader.outcomes;
  }

  private void read(LogLine line) {
    Handling handling = new Handling(line.text("request"), line.node());
    switch (line.event()) {
      case PLACED, TRY_FAILED -> {
        tries.computeIfAbsent(handling, h -> new ArrayList<>()).add(line);
        if (line.fields().has("region")) {
          relayed.add(new Handling(line.text("request"), line.text("target")));
        }
      }
      case FINISHED -> {
        List<LogLine> before = Optional.ofNullable(tries.remove(handling)).orElse(List.of());
        if (!relayed.remove(handling)) {
          outcomes.add(outcome(line, before));
        }
      }
      default -> {}
    }
  }

  private static RequestOutcome outcome(LogLine end, List<LogLine> tries) {
    Result result = result(end);
    return new RequestOutcome(
        end.text("request"),
        end.text("route"),
        end.node(),
        result,
        result == Result.SERVED ? "" : cause(end, tries),
        last(tries, PLACED).map(t -> t.text("target")).orElse(""),
        end.millis() - end.number("millis", 0),
        end.number("firstByteMillis", -1),
        end.number("millis", 0));
  }

  private static Result result(LogLine end) {
    long status = end.number("status", 0);
    if (status == 0) {
      return Result.LEFT;
    } else if (end.text("outcome").equals(SERVED) && status < SERVER_ERROR) {
      return Result.SERVED;
    }
    boolean turnedAway =
        TURNED_AWAY.contains(status) && !end.fields().path("mayHaveRun").asBoolean();
    return turnedAway ? Result.REFUSED : Result.FAILED;
  }

  /** Returns the outcome that the entry logged, with the failure of the last failed attempt. */
  private static String cause(LogLine end, List<LogLine> tries) {
    String words =
        end.text("outcome").equals(SERVED) ? "answered " + end.text("status") : end.text("outcome");
    boolean streamed = end.number("lastEvent", -1) >= 0;
    String phase = streamed ? ", in the middle of its response" : "";
    return last(tries, TRY_FAILED)
        .map(t -> words + phase + ", after a failed attempt: " + t.text("what"))
        .orElse(words + phase);
  }

  private static Optional<LogLine> last(List<LogLine> tries, String event) {
    return tries.stream().filter(t -> t.event().equals(event)).reduce((earlier, later) -> later);
  }
}
