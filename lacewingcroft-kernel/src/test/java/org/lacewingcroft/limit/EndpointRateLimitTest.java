package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.misc.Rendezvous;

/** Entries that share an endpoint's rate by their order, and what they tell each other of it. */
class EndpointRateLimitTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final OptionalDouble NONE = OptionalDouble.empty();
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration RUN = Duration.ofSeconds(60);

  /** From the first statement to the first window that counts. */
  private static final Duration TOLD = Duration.ofSeconds(1);

  private static final Duration NEWS_AGE = Duration.ofMillis(200);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final double OVERSHOOT = 1.5;
  private static final double SLACK = 5;

  /** Share of the rate that is used while callers ask for more at every entry. */
  private static final double USED = 0.8;

  /** A row: a region's entries, the rate stated, how often an entry is lost or comes back. */
  record Row(int entries, double perSecond, Optional<Duration> churn) {
    private double allowed() {
      return OVERSHOOT * perSecond * WINDOW.toSeconds() + SLACK;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(1, 2, 3, 8, 32)
        .flatMap(
            n ->
                Stream.of(0, 0.05, 0.2, 1.1, 1.8, 8, 50)
                    .map(Number::doubleValue)
                    .flatMap(
                        rate ->
                            Stream.of(
                                new Row(n, rate, Optional.empty()),
                                new Row(n, rate, Optional.of(Duration.ofMillis(700))))));
  }

  /** A region's entries, whose callers ask for more than the endpoint takes. */
  private static final class Region {
    private final Row row;
    private final Random random;
    private final List<EndpointRateLimit> limits = new ArrayList<>();
    private final List<List<String>> ranked = new ArrayList<>();
    private final List<Instant> arrivals = new ArrayList<>();
    private Instant now = START;

    private Region(Row row, long seed) {
      this.row = row;
      this.random = new Random(seed);
      for (int i = 0; i < row.entries(); i++) {
        limits.add(new EndpointRateLimit());
        ranked.add(ranked(names()));
      }
    }

    private List<String> names() {
      return IntStream.range(0, row.entries()).mapToObj(i -> "entry-" + i).toList();
    }

    private static List<String> ranked(List<String> names) {
      return Rendezvous.rank(names, n -> n, "endpoint");
    }

    private int senders(int entry) {
      List<String> names = ranked.get(entry);
      int senders = Math.min(limits.get(entry).maxSenders(), names.size());
      return names.subList(0, senders).contains("entry-" + entry) ? senders : 0;
    }

    private void run() {
      Instant next = now;
      for (; now.isBefore(START.plus(RUN)); now = now.plus(STEP)) {
        for (int entry = 0; entry < row.entries(); entry++) {
          ask(entry);
        }
        if (row.churn().isPresent() && !next.isAfter(now)) {
          next = now.plus(row.churn().get());
          changeEntries();
        }
      }
    }

    private void ask(int entry) {
      EndpointRateLimit limit = limits.get(entry);
      if (limit.admits(senders(entry), now)) {
        limit.recordSend(now);
        arrivals.add(now);
        limit.updateFromResponse(OptionalDouble.of(row.perSecond()), now, now);
        limit.report(now).ifPresent(told -> limits.forEach(l -> l.updateFromPeer(told, now)));
      }
    }

    /** One entry is lost or comes back, and the others hear of it at different times. */
    private void changeEntries() {
      int lost = random.nextInt(row.entries());
      for (int entry = 0; entry < row.entries(); entry++) {
        List<String> names = new ArrayList<>(names());
        if (entry != lost && random.nextBoolean()) {
          names.remove("entry-" + lost);
        }
        ranked.set(entry, ranked(names));
      }
    }

    private long mostInWindow() {
      List<Instant> counted = arrivals.stream().filter(at -> at.isAfter(START.plus(TOLD))).toList();
      long most = 0;
      for (Instant begin : counted) {
        most =
            Math.max(
                most,
                counted.stream()
                    .filter(at -> !at.isBefore(begin) && at.isBefore(begin.plus(WINDOW)))
                    .count());
      }
      return most;
    }
  }

  @ParameterizedTest
  @MethodSource("rows")
  void allEntriesTogetherKeepTheRateAndUseIt(Row row) {
    Region region = new Region(row, 7);
    region.run();
    double most = region.mostInWindow();
    assertThat(row + ", most in a window", most, lessThanOrEqualTo(row.allowed()));
    if (row.churn().isEmpty()) {
      double used = region.arrivals.size() / (double) RUN.toSeconds();
      assertThat(row + ", used", used, greaterThanOrEqualTo(USED * row.perSecond()));
    }
  }

  @Test
  void answerToAnEarlierRequestDoesNotEndTheLimit() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromResponse(OptionalDouble.of(2), START, START.plusMillis(50));
    assertThat(
        limit.updateFromResponse(NONE, START.plusMillis(40), START.plusMillis(60)), is(false));
    assertThat(limit.perSecond(), is(OptionalDouble.of(2)));
    assertThat(
        limit.updateFromResponse(NONE, START.plusMillis(70), START.plusMillis(90)), is(true));
    assertThat(limit.perSecond(), is(NONE));
  }

  @Test
  void newsOlderThanWhatIsKnownChangesNothing() {
    EndpointRateLimit one = new EndpointRateLimit();
    EndpointRateLimit other = new EndpointRateLimit();
    one.updateFromResponse(OptionalDouble.of(2), START, START.plusMillis(10));
    EndpointRateLimit.Report limited = one.report(START.plusMillis(20)).orElseThrow();
    other.updateFromPeer(limited, START.plusMillis(20));
    other.updateFromResponse(NONE, START.plusMillis(30), START.plusMillis(40));
    assertThat(
        other.updateFromPeer(one.report(START.plusMillis(50)).orElseThrow(), START), is(false));
    assertThat(
        one.updateFromPeer(other.report(START.plusMillis(60)).orElseThrow(), START.plus(NEWS_AGE)),
        is(true));
    assertThat(one.perSecond(), is(NONE));
  }

  @Test
  void entryThatOnlyHeardOfLimitTellsNobody() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromPeer(new EndpointRateLimit.Report(OptionalDouble.of(2), Duration.ZERO), START);
    assertThat(limit.perSecond(), is(OptionalDouble.of(2)));
    assertThat(limit.report(START), is(Optional.empty()));
  }

  /** The entries that send may all be gone, or may have no work for the endpoint. */
  @Test
  void limitThatNobodyConfirmsIsTriedByOneRequest() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromPeer(new EndpointRateLimit.Report(OptionalDouble.of(2), Duration.ZERO), START);
    assertThat(limit.admits(0, START.plusSeconds(14)), is(false));
    Instant later = START.plusSeconds(16);
    assertThat(limit.admits(0, later), is(true));
    limit.recordSend(later);
    assertThat(limit.admits(0, later.plusSeconds(1)), is(false));
    limit.updateFromResponse(NONE, later, later.plusSeconds(2));
    assertThat(limit.admits(0, later.plusSeconds(2)), is(true));
  }

  @Test
  void refusedCallersAreToldWhenTheShareIsThere() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromResponse(OptionalDouble.of(2), START, START);
    assertThat(limit.untilAdmitted(2, START), is(Duration.ofSeconds(1)));
    assertThat(limit.untilAdmitted(2, START.plusMillis(400)), is(Duration.ofMillis(600)));
    assertThat(limit.untilAdmitted(2, START.plusSeconds(1)), is(Duration.ZERO));
  }
}
