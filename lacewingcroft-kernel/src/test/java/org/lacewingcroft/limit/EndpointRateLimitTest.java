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

/** Tests how ranked entries share an endpoint's rate limit, and the reports that they exchange. */
class EndpointRateLimitTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration RUN_DURATION = Duration.ofSeconds(60);

  /** Time for the limit to reach all entries; windows that begin later are checked. */
  private static final Duration PROPAGATION_TIME = Duration.ofSeconds(1);

  private static final Duration REPORT_DELAY = Duration.ofMillis(200);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final double MAX_OVERSHOOT_FACTOR = 1.5;
  private static final double SLACK_REQUESTS = 5;

  /** Minimum share of the rate that is used while the callers of every entry exceed the rate. */
  private static final double MIN_UTILISATION = 0.8;

  /**
   * A test case.
   *
   * @param entries the number of entries in the region
   * @param perSecond the advertised rate in requests per second
   * @param churn the interval at which an entry is lost or recovers, empty for none
   */
  record Row(int entries, double perSecond, Optional<Duration> churn) {
    private double maxRequestsInWindow() {
      return MAX_OVERSHOOT_FACTOR * perSecond * WINDOW.toSeconds() + SLACK_REQUESTS;
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

  /** The entries of a region whose callers send more requests than the endpoint accepts. */
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
      Instant nextChange = now;
      for (; now.isBefore(START.plus(RUN_DURATION)); now = now.plus(STEP)) {
        for (int entry = 0; entry < row.entries(); entry++) {
          sendRequest(entry);
        }
        if (row.churn().isPresent() && !nextChange.isAfter(now)) {
          nextChange = now.plus(row.churn().get());
          changeEntries();
        }
      }
    }

    private void sendRequest(int entry) {
      EndpointRateLimit limit = limits.get(entry);
      if (limit.admits(senders(entry), now)) {
        limit.recordSend(now);
        arrivals.add(now);
        limit.updateFromResponse(OptionalDouble.of(row.perSecond()), now, now);
        limit.report(now).ifPresent(report -> limits.forEach(l -> l.updateFromPeer(report, now)));
      }
    }

    /** Loses or recovers one entry, which the others detect at different times. */
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

    private long maxRequestsInWindow() {
      List<Instant> counted =
          arrivals.stream().filter(at -> at.isAfter(START.plus(PROPAGATION_TIME))).toList();
      long max = 0;
      for (Instant start : counted) {
        max =
            Math.max(
                max,
                counted.stream()
                    .filter(at -> !at.isBefore(start) && at.isBefore(start.plus(WINDOW)))
                    .count());
      }
      return max;
    }
  }

  @ParameterizedTest
  @MethodSource("rows")
  void entriesTogetherStayWithinTheRateAndUseIt(Row row) {
    Region region = new Region(row, 7);
    region.run();
    double maxRequests = region.maxRequestsInWindow();
    assertThat(
        row + ", maximum number of requests in a window",
        maxRequests,
        lessThanOrEqualTo(row.maxRequestsInWindow()));
    if (row.churn().isEmpty()) {
      double used = region.arrivals.size() / (double) RUN_DURATION.toSeconds();
      assertThat(
          row + ", requests per second used",
          used,
          greaterThanOrEqualTo(MIN_UTILISATION * row.perSecond()));
    }
  }

  @Test
  void responseToEarlierRequestDoesNotRemoveTheLimit() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromResponse(OptionalDouble.of(2), START, START.plusMillis(50));
    assertThat(
        limit.updateFromResponse(NO_LIMIT, START.plusMillis(40), START.plusMillis(60)), is(false));
    assertThat(limit.perSecond(), is(OptionalDouble.of(2)));
    assertThat(
        limit.updateFromResponse(NO_LIMIT, START.plusMillis(70), START.plusMillis(90)), is(true));
    assertThat(limit.perSecond(), is(NO_LIMIT));
  }

  @Test
  void reportOlderThanTheRecordedLimitIsIgnored() {
    EndpointRateLimit one = new EndpointRateLimit();
    EndpointRateLimit other = new EndpointRateLimit();
    one.updateFromResponse(OptionalDouble.of(2), START, START.plusMillis(10));
    EndpointRateLimit.Report limited = one.report(START.plusMillis(20)).orElseThrow();
    other.updateFromPeer(limited, START.plusMillis(20));
    other.updateFromResponse(NO_LIMIT, START.plusMillis(30), START.plusMillis(40));
    assertThat(
        other.updateFromPeer(one.report(START.plusMillis(50)).orElseThrow(), START), is(false));
    assertThat(
        one.updateFromPeer(
            other.report(START.plusMillis(60)).orElseThrow(), START.plus(REPORT_DELAY)),
        is(true));
    assertThat(one.perSecond(), is(NO_LIMIT));
  }

  @Test
  void limitReceivedFromPeerIsNotReported() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromPeer(new EndpointRateLimit.Report(OptionalDouble.of(2), Duration.ZERO), START);
    assertThat(limit.perSecond(), is(OptionalDouble.of(2)));
    assertThat(limit.report(START), is(Optional.empty()));
  }

  /**
   * Guards against a limit that is never confirmed, because all senders have crashed or have no
   * requests for the endpoint.
   */
  @Test
  void unconfirmedLimitAdmitsOneTrialRequest() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromPeer(new EndpointRateLimit.Report(OptionalDouble.of(2), Duration.ZERO), START);
    assertThat(limit.admits(0, START.plusSeconds(14)), is(false));
    Instant later = START.plusSeconds(16);
    assertThat(limit.admits(0, later), is(true));
    limit.recordSend(later);
    assertThat(limit.admits(0, later.plusSeconds(1)), is(false));
    limit.updateFromResponse(NO_LIMIT, later, later.plusSeconds(2));
    assertThat(limit.admits(0, later.plusSeconds(2)), is(true));
  }

  @Test
  void returnsTimeUntilShareHasAccumulated() {
    EndpointRateLimit limit = new EndpointRateLimit();
    limit.updateFromResponse(OptionalDouble.of(2), START, START);
    assertThat(limit.untilAdmitted(2, START), is(Duration.ofSeconds(1)));
    assertThat(limit.untilAdmitted(2, START.plusMillis(400)), is(Duration.ofMillis(600)));
    assertThat(limit.untilAdmitted(2, START.plusSeconds(1)), is(Duration.ZERO));
  }
}
