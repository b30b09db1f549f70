package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a group taken for one with a quorum because of a leader that has just lost it. */
class QuorumObservationTest {
  private static final ConsensusTiming TIMING = new ConsensusTiming(100, 1_000);

  private record Received(long atMillis, String from, ConsensusMessage message) {}

  private static Received append(long atMillis, String from, long term) {
    return new Received(
        atMillis, from, new ConsensusMessage.AppendRequest(term, 0, 0, List.of(), 0, 0));
  }

  private static Received snapshot(long atMillis, String from, long term) {
    return new Received(atMillis, from, new ConsensusMessage.SnapshotRequest(term, Snapshot.EMPTY));
  }

  private static Received vote(long atMillis, String from, long term) {
    return new Received(atMillis, from, new ConsensusMessage.VoteRequest(term, 0, 0, true));
  }

  static Stream<Arguments> cases() {
    return Stream.of(
        Arguments.of("one message", List.of(append(0, "a", 1)), false),
        Arguments.of(
            "as long as a leader stays without a quorum",
            List.of(append(0, "a", 1), append(2_000, "a", 1)),
            false),
        Arguments.of("longer", List.of(append(0, "a", 1), append(3_001, "a", 1)), true),
        Arguments.of("snapshots", List.of(snapshot(0, "a", 1), snapshot(3_001, "a", 1)), true),
        Arguments.of("votes only", List.of(vote(0, "a", 1), vote(3_001, "a", 1)), false),
        Arguments.of(
            "another leader",
            List.of(append(0, "a", 1), append(2_900, "b", 2), append(3_001, "b", 2)),
            false),
        Arguments.of(
            "a leader of an earlier term in between",
            List.of(append(0, "b", 2), append(1_000, "a", 1), append(3_001, "b", 2)),
            true),
        Arguments.of(
            "a leader of an earlier term only later",
            List.of(append(0, "b", 2), append(3_001, "a", 1)),
            false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void showsQuorumAfterLastingLeadership(String name, List<Received> received, boolean expected) {
    QuorumObservation observation = new QuorumObservation(TIMING);
    boolean shown = false;
    for (Received r : received) {
      shown = observation.onMessage(r.from(), r.message(), r.atMillis());
    }
    assertThat(shown, equalTo(expected));
  }
}
