package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a group taken for one with a quorum because of a leader that has just lost it. */
class QuorumObservationTest {
  private static final ConsensusTiming TIMING = new ConsensusTiming(100, 1_000);

  private record Received(long atMillis, ConsensusMessage message) {}

  private static Received append(long atMillis, long term) {
    return new Received(
        atMillis,
        new ConsensusMessage.AppendRequest(
            term, 0, 0, List.of(), 0, 0, OptionalLong.empty(), OptionalLong.empty()));
  }

  private static Received snapshot(long atMillis, long term) {
    return new Received(atMillis, new ConsensusMessage.SnapshotRequest(term, Snapshot.EMPTY));
  }

  private static Received vote(long atMillis, long term) {
    return new Received(atMillis, new ConsensusMessage.VoteRequest(term, 0, 0, true));
  }

  /** Returns messages of a leader at intervals of 500 ms, from one time up to and with another. */
  private static List<Received> appends(long fromMillis, long toMillis, long term) {
    List<Received> received = new ArrayList<>();
    for (long at = fromMillis; at < toMillis; at += 500) {
      received.add(append(at, term));
    }
    received.add(append(toMillis, term));
    return received;
  }

  private static List<Received> concat(List<Received> first, List<Received> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  static Stream<Arguments> cases() {
    return Stream.of(
        Arguments.of("one message", List.of(append(0, 1)), false),
        Arguments.of("as long as a leader stays without a quorum", appends(0, 2_000, 1), false),
        Arguments.of("longer", appends(0, 3_001, 1), true),
        Arguments.of(
            "a snapshot at the end",
            concat(appends(0, 2_900, 1), List.of(snapshot(3_001, 1))),
            true),
        Arguments.of("votes only", List.of(vote(0, 1), vote(3_001, 1)), false),
        Arguments.of(
            "a message that was delayed",
            concat(appends(0, 1_000, 1), List.of(append(10_000, 1))),
            false),
        Arguments.of(
            "the time before an interruption",
            concat(appends(0, 2_500, 1), appends(4_000, 6_500, 1)),
            false),
        Arguments.of(
            "another leader", concat(appends(0, 2_500, 1), appends(2_900, 3_001, 2)), false),
        Arguments.of(
            "a leader of an earlier term in between",
            concat(
                concat(appends(0, 1_500, 2), List.of(append(1_600, 1))), appends(2_000, 3_001, 2)),
            true),
        Arguments.of(
            "a leader of an earlier term only later",
            concat(appends(0, 2_900, 2), List.of(append(3_001, 1))),
            false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void showsQuorumAfterLastingLeadership(String name, List<Received> received, boolean expected) {
    QuorumObservation observation = new QuorumObservation(TIMING);
    boolean shown = false;
    for (Received r : received) {
      shown = observation.onMessage(r.message(), r.atMillis());
    }
    assertThat(shown, equalTo(expected));
  }
}
