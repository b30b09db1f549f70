package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests up to which index a leader of term 3 commits its log after various responses of followers.
 * Its log contains one entry each of terms 1 and 2; the first entry of its own term is at index 3.
 */
class CommitRuleTest {
  private static final String LEADER = "control-1";
  private static final String VOTER = "control-2";
  private static final String OTHER = "control-3";

  private record Response(String from, ConsensusMessage.AppendResponse message) {}

  static Stream<Arguments> responses() {
    return Stream.of(
        Arguments.of("nothing acknowledged", List.of(), 0L),
        Arguments.of("only an entry of an earlier term", List.of(ack(VOTER, 2, "disk", true)), 0L),
        Arguments.of("an entry of the current term", List.of(ack(VOTER, 3, "disk", true)), 3L),
        Arguments.of(
            "a member that is not readmitted", List.of(ack(VOTER, 3, "new-disk", false)), 0L),
        Arguments.of(
            "a delayed acknowledgement from a lost disk",
            List.of(ack(VOTER, 0, "new-disk", false), ack(VOTER, 3, "disk", true)),
            0L),
        Arguments.of(
            "a readmission stored by the other follower",
            List.of(ack(VOTER, 0, "new-disk", false), ack(OTHER, 4, "disk", true)),
            4L),
        Arguments.of("a rejection", List.of(rejection(VOTER, 3)), 0L),
        Arguments.of("a response of an older term", List.of(staleAck(VOTER, 3)), 0L));
  }

  private static Response ack(String from, long matchIndex, String disk, boolean voter) {
    return new Response(from, response(3, matchIndex > 0, matchIndex, disk, voter));
  }

  private static Response rejection(String from, long matchIndex) {
    return new Response(from, response(3, false, matchIndex, "disk", true));
  }

  private static Response staleAck(String from, long matchIndex) {
    return new Response(from, response(2, true, matchIndex, "disk", true));
  }

  private static ConsensusMessage.AppendResponse response(
      long term, boolean accepted, long matchIndex, String disk, boolean voter) {
    return new ConsensusMessage.AppendResponse(
        term, accepted, matchIndex, disk, voter, 1, OptionalLong.empty(), OptionalLong.empty());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("responses")
  void commitsOnlyEntriesStoredByQuorumOfVoters(
      String name, List<Response> responses, long committed) {
    ConsensusMember leader = leaderOfTermThree();
    for (Response r : responses) {
      leader.receive(r.from(), r.message(), 5_000);
    }
    assertThat(leader.commitIndex(), is(committed));
  }

  private static ConsensusMember leaderOfTermThree() {
    MemoryStorage storage = new MemoryStorage("leader-disk", true);
    storage.save(new HardState(2, Optional.empty(), "leader-disk", true));
    storage.append(
        List.of(
            new LogEntry(1, 1, 1, new Command.ConfigChange("first", "first")),
            new LogEntry(2, 2, 2, new Command.ConfigChange("second", "second"))));
    ConsensusMember member =
        new ConsensusMember(
            LEADER,
            List.of(LEADER, VOTER, OTHER),
            ConsensusTiming.DEFAULT,
            LogLimits.DEFAULT,
            storage,
            new Random(1),
            0);
    member.tick(5_000);
    member.receive(OTHER, new ConsensusMessage.VoteResponse(3, true, true), 5_000);
    member.receive(OTHER, new ConsensusMessage.VoteResponse(3, true, false), 5_000);
    assertThat(member.role(), is(ConsensusMember.Role.LEADER));
    return member;
  }
}
