package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.placement.PrefillQueue.PendingPrompt;

/**
 * Tests the estimated number of tokens that an engine prefills before a request that is sent now,
 * at 100 tokens per millisecond.
 */
class PrefillQueueTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final double TOKENS_PER_MILLI = 100;

  /** A prompt: its priority, its length in tokens and when it was sent, in ms after the start. */
  record SentPrompt(int priority, long tokens, long atMillis) {
    PendingPrompt pending() {
      return new PendingPrompt(priority, tokens, at(atMillis));
    }
  }

  /**
   * A test case.
   *
   * @param own prompts of this entry
   * @param peers prompts of another entry, reported at {@code nowMillis}
   * @param prefilledMillis when this entry last received a first byte, in ms; 0 for never
   * @param priority the priority of the new request
   * @param nowMillis when the new request is sent, in ms
   * @param ahead the expected number of tokens ahead of it
   */
  record Row(
      String name,
      List<SentPrompt> own,
      List<SentPrompt> peers,
      long prefilledMillis,
      int priority,
      long nowMillis,
      double ahead) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    SentPrompt longPrompt = new SentPrompt(1, 30_000, 0);
    SentPrompt shortPrompt = new SentPrompt(0, 2_000, 5);
    return Stream.of(
        new Row("nothing", List.of(), List.of(), 0, 0, 10, 0),
        new Row(
            "remainder of a less urgent prompt in progress",
            List.of(longPrompt),
            List.of(),
            0,
            0,
            100,
            20_000),
        new Row(
            "prompt of another entry in progress",
            List.of(),
            List.of(longPrompt),
            0,
            0,
            100,
            20_000),
        new Row(
            "prompt that should be prefilled by now",
            List.of(longPrompt),
            List.of(),
            0,
            0,
            900,
            3_000),
        new Row(
            "less urgent waiting prompt does not count",
            List.of(shortPrompt, new SentPrompt(1, 30_000, 6)),
            List.of(),
            0,
            0,
            15,
            1_000),
        new Row(
            "waiting prompt of equal priority counts",
            List.of(shortPrompt, new SentPrompt(1, 30_000, 6)),
            List.of(),
            0,
            1,
            15,
            31_000),
        new Row(
            "most urgent prompt is next once the engine is free",
            List.of(new SentPrompt(1, 30_000, 2), shortPrompt),
            List.of(),
            20,
            0,
            30,
            1_000),
        new Row(
            "prompts of this and another entry add up",
            List.of(longPrompt),
            List.of(shortPrompt, shortPrompt),
            0,
            0,
            50,
            29_000));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void estimatesTokensAhead(Row row) {
    PrefillQueue queue = new PrefillQueue();
    if (row.prefilledMillis() > 0) {
      PendingPrompt first = new PendingPrompt(0, 10, START);
      queue.add(first);
      queue.prefilled(first, at(row.prefilledMillis()));
    }
    row.own().forEach(s -> queue.add(s.pending()));
    Instant now = at(row.nowMillis());
    queue.updatePeer("other", row.peers().stream().map(SentPrompt::pending).toList(), now);
    assertThat(queue.tokensAhead(row.priority(), TOKENS_PER_MILLI, now), closeTo(row.ahead(), 0.5));
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}
