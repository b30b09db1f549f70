package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Endpoints that start again under the id that they had, or at an address of an earlier one. */
class EndpointRestartTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final EndpointState READY = EndpointState.READY;
  private static final EndpointState DRAINING = EndpointState.DRAINING;
  private static final EndpointState GONE = EndpointState.GONE;

  /** One announcement: of which endpoint, which of its starts, and what it says. */
  record Word(String id, long startedAtMillis, EndpointState state, long sequence) {
    EndpointRecord record() {
      return new EndpointRecord(
          id, startedAtMillis, "s", "10.0.0.1:80", "a", 4, state, sequence, 0);
    }
  }

  /** A row: the words in order of arrival and what is believed of endpoint "a" afterwards. */
  record Row(String name, List<Word> words, long startedAtMillis, EndpointState state) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Word first(EndpointState state, long sequence) {
    return new Word("a", 1_000, state, sequence);
  }

  private static Word second(EndpointState state, long sequence) {
    return new Word("a", 2_000, state, sequence);
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("counts start anew", List.of(first(READY, 900), second(READY, 1)), 2_000, READY),
        new Row(
            "late words of the earlier start change nothing",
            List.of(first(READY, 900), second(READY, 1), first(DRAINING, 901)),
            2_000,
            READY),
        new Row(
            "it left and started again",
            List.of(first(READY, 3), first(GONE, 3), second(READY, 1)),
            2_000,
            READY),
        new Row(
            "a late word that the earlier start left",
            List.of(first(READY, 3), second(READY, 1), first(GONE, 3)),
            2_000,
            READY),
        new Row(
            "an earlier start is first heard of afterwards",
            List.of(second(READY, 1), first(READY, 900), first(READY, 901)),
            2_000,
            READY),
        new Row(
            "another id that started earlier does not take the address over",
            List.of(second(READY, 1), new Word("b", 1_000, READY, 7)),
            2_000,
            READY),
        new Row(
            "another id that started later does",
            List.of(first(READY, 7), new Word("b", 2_000, READY, 1)),
            1_000,
            EndpointState.LOST));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void theLaterStartWins(Row row) {
    EndpointRoster roster = new EndpointRoster();
    row.words().forEach(w -> roster.applyAnnouncement(w.record(), START));
    EndpointRecord known = roster.find("a").orElseThrow();
    assertThat(known.startedAtMillis(), equalTo(row.startedAtMillis()));
    assertThat(known.state(), equalTo(row.state()));
  }

  static Stream<Integer> seeds() {
    return IntStream.range(0, 200).boxed();
  }

  /** Whatever the order in which two starts' words arrive, replicas believe the same. */
  @ParameterizedTest
  @MethodSource("seeds")
  void replicasAgreeWhateverTheOrder(int seed) {
    Random random = new Random(seed);
    List<Word> words = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      words.add(first(READY, 100 + i));
      words.add(second(READY, i));
    }
    words.add(first(random.nextBoolean() ? GONE : DRAINING, 106));
    Optional<EndpointState> last =
        random.nextBoolean()
            ? Optional.of(random.nextBoolean() ? GONE : DRAINING)
            : Optional.empty();
    last.ifPresent(state -> words.add(second(state, 6)));
    EndpointRoster one = shuffled(words, random);
    EndpointRoster other = shuffled(words, random);
    assertThat(one.find("a").orElseThrow().startedAtMillis(), equalTo(2_000L));
    assertThat(one.find("a").orElseThrow().state(), equalTo(last.orElse(READY)));
    assertThat(one.digest(), equalTo(other.digest()));
  }

  private static EndpointRoster shuffled(List<Word> words, Random random) {
    List<Word> order = new ArrayList<>(words);
    Collections.shuffle(order, random);
    EndpointRoster roster = new EndpointRoster();
    order.forEach(w -> roster.applyAnnouncement(w.record(), START));
    return roster;
  }
}
