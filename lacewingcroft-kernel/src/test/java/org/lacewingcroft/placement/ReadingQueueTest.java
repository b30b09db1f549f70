package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.placement.ReadingQueue.Unread;

/** How many tokens an engine reads before a request that is sent now, 100 tokens a millisecond. */
class ReadingQueueTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final double SPEED = 100;

  /** One prompt: its priority, its tokens and when it was sent, in ms. */
  record Sent(int priority, long tokens, long atMillis) {
    Unread unread() {
      return new Unread(priority, tokens, at(atMillis));
    }
  }

  /**
   * A row.
   *
   * @param own prompts of this entry
   * @param peers prompts of another entry, told at the time of the question
   * @param readMillis when this entry last saw a first byte; 0 for never
   * @param priority of the request asked for
   * @param nowMillis the time of the question
   * @param ahead the tokens expected before it
   */
  record Row(
      String name,
      List<Sent> own,
      List<Sent> peers,
      long readMillis,
      int priority,
      long nowMillis,
      double ahead) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    Sent longOne = new Sent(1, 30_000, 0);
    Sent shortOne = new Sent(0, 2_000, 5);
    return Stream.of(
        new Row("nothing", List.of(), List.of(), 0, 0, 10, 0),
        new Row("the rest of a less urgent prompt", List.of(longOne), List.of(), 0, 0, 100, 20_000),
        new Row("another entry's counts alike", List.of(), List.of(longOne), 0, 0, 100, 20_000),
        new Row("one that should be read by now", List.of(longOne), List.of(), 0, 0, 900, 3_000),
        new Row(
            "a less urgent one that waits does not count",
            List.of(shortOne, new Sent(1, 30_000, 6)),
            List.of(),
            0,
            0,
            15,
            1_000),
        new Row(
            "but counts for its equals",
            List.of(shortOne, new Sent(1, 30_000, 6)),
            List.of(),
            0,
            1,
            15,
            31_000),
        new Row(
            "the most urgent goes next once the engine is free",
            List.of(new Sent(1, 30_000, 2), shortOne),
            List.of(),
            20,
            0,
            30,
            1_000),
        new Row(
            "own and others' add up",
            List.of(longOne),
            List.of(shortOne, shortOne),
            0,
            0,
            50,
            29_000));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void countsWhatIsReadBefore(Row row) {
    ReadingQueue queue = new ReadingQueue();
    if (row.readMillis() > 0) {
      Unread first = new Unread(0, 10, START);
      queue.add(first);
      queue.read(first, at(row.readMillis()));
    }
    row.own().forEach(s -> queue.add(s.unread()));
    Instant now = at(row.nowMillis());
    queue.heard("other", row.peers().stream().map(Sent::unread).toList(), now);
    assertThat(queue.tokensAhead(row.priority(), SPEED, now), closeTo(row.ahead(), 0.5));
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}
