package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the control group under various faults; each case starts with three accepted changes. The
 * name of a case also seeds its simulation.
 */
class ConsensusMemberTest {

  static Stream<Arguments> faults() {
    return Stream.of(
        testCase("leader killed", 3, g -> g.kill(g.awaitLeader())),
        testCase("leader killed, five members", 5, g -> g.kill(g.awaitLeader())),
        testCase("two of five killed", 5, g -> killTwo(g)),
        testCase("leader cut off silently", 3, g -> g.partition(g.awaitLeader())),
        testCase("leader's disk lost", 3, g -> g.loseDisk(g.awaitLeader())),
        testCase("follower's disk lost", 3, g -> g.loseDisk(follower(g, 0))),
        testCase(
            "disk lost, repaired, then the leader killed", 3, g -> replaceDiskThenKillLeader(g)),
        testCase("everybody restarted at once", 3, g -> g.ids().forEach(g::restart)),
        testCase("messages dropped, repeated and late", 3, g -> g.setLossAndDelay(0.2, 60)),
        testCase("minority cut off for long, then back", 5, g -> partitionForLong(g)));
  }

  private static Arguments testCase(String name, int size, Consumer<ControlGroup> fault) {
    return Arguments.of(name, size, fault);
  }

  private static String follower(ControlGroup g, int n) {
    String leader = g.awaitLeader();
    return g.ids().stream().filter(id -> !id.equals(leader)).toList().get(n);
  }

  private static void killTwo(ControlGroup g) {
    g.kill(follower(g, 0));
    g.kill(g.awaitLeader());
  }

  private static void replaceDiskThenKillLeader(ControlGroup g) {
    String leader = g.awaitLeader();
    g.loseDisk(follower(g, 0));
    g.run(2_000);
    g.kill(leader);
  }

  private static void partitionForLong(ControlGroup g) {
    g.partition(follower(g, 0), follower(g, 1));
    g.run(60_000);
    g.heal();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void keepsAcceptedChangesAndAcceptsNewOnes(String name, int size, Consumer<ControlGroup> fault) {
    ControlGroup group = new ControlGroup(size, name.hashCode());
    for (long v = 0; v < 3; v++) {
      assertThat(group.change("before-" + v, v), is(new ChangeResult.Accepted(v + 1, false)));
    }
    fault.accept(group);
    assertThat(group.change("after", 3), is(new ChangeResult.Accepted(4, false)));
    group.heal();
    group.run(3_000);
    for (String id : group.ids()) {
      if (group.isRunning(id)) {
        assertThat(id, group.member(id).state().version(), is(4L));
        assertThat(id, group.member(id).state().versionOf("after"), is(Optional.of(4L)));
        assertThat(id, group.member(id).voter(), is(true));
      }
    }
  }

  @Test
  void rejectsChangesWhileNoQuorumIsReachable() {
    ControlGroup group = new ControlGroup(3, 7);
    group.change("first", 0);
    String leader = group.awaitLeader();
    group.partition(leader);
    final long proposalId = group.propose(leader, "lost", 1);
    group.run(2_000);
    assertThat(group.result(proposalId), is(Optional.of(new ChangeResult.Unknown())));
    long rejectedId = group.propose(leader, "refused", 1);
    assertThat(
        group.result(rejectedId), is(Optional.of(new ChangeResult.NotLeader(Optional.empty()))));
    assertThat(group.change("elsewhere", 1), is(new ChangeResult.Accepted(2, false)));
    group.heal();
    group.run(2_000);
    assertThat(group.member(leader).state().versionOf("elsewhere"), is(Optional.of(2L)));
  }

  @Test
  void acceptsAtMostOneOfTwoChangesRacingWithEqualVersions() {
    ControlGroup group = new ControlGroup(3, 11);
    String leader = group.awaitLeader();
    long first = group.propose(leader, "left", 0);
    long second = group.propose(leader, "right", 0);
    group.run(500);
    assertThat(group.result(first), is(Optional.of(new ChangeResult.Accepted(1, false))));
    assertThat(group.result(second), is(Optional.of(new ChangeResult.Conflict(1))));
  }

  @Test
  void appliesResentChangeOnceEvenAtNewLeader() {
    ControlGroup group = new ControlGroup(3, 13);
    group.change("change", 0);
    group.kill(group.awaitLeader());
    assertThat(group.change("change", 0), is(new ChangeResult.Accepted(1, true)));
    assertThat(group.change("next", 1), is(new ChangeResult.Accepted(2, false)));
  }

  /** A member that lost its disk must not vote for a leader that lacks the accepted change. */
  @Test
  void memberWithLostDiskDoesNotVoteBeforeItIsReadmitted() {
    ControlGroup group = new ControlGroup(3, 17);
    String leader = group.awaitLeader();
    String stale = follower(group, 0);
    final String memberWithNewDisk = follower(group, 1);
    group.partition(stale);
    assertThat(group.change("accepted", 0), is(new ChangeResult.Accepted(1, false)));
    group.kill(leader);
    group.loseDisk(memberWithNewDisk);
    group.heal();
    group.run(10_000);
    assertThat(group.member(stale).role(), is(not(ConsensusMember.Role.LEADER)));
    assertThat(group.member(memberWithNewDisk).voter(), is(false));
    group.restart(leader);
    assertThat(group.change("next", 1), is(new ChangeResult.Accepted(2, false)));
  }

  /** A leader whose followers cannot acknowledge must not keep proposals and members waiting. */
  @ParameterizedTest
  @CsvSource({"3, 1, true", "3, 2, false", "5, 2, true", "5, 3, false", "5, 4, false"})
  void leadsOnlyWithQuorumOfVoters(int size, int lostDisks, boolean expected) {
    ControlGroup group = new ControlGroup(size, 23);
    group.change("accepted", 0);
    String leader = group.awaitLeader();
    for (int n = lostDisks - 1; n >= 0; n--) {
      group.loseDisk(follower(group, n));
    }
    long proposalId = group.propose(leader, "next", 1);
    group.run(5_000);
    assertThat(group.member(leader).role() == ConsensusMember.Role.LEADER, is(expected));
    assertThat(
        group.result(proposalId),
        is(
            Optional.of(
                expected ? new ChangeResult.Accepted(2, false) : new ChangeResult.Unknown())));
    assertThat(group.ids().stream().anyMatch(group::isInMajority), is(expected));
  }

  @Test
  void catchesUpFromSnapshotAfterHundredsOfChanges() {
    ControlGroup group = new ControlGroup(3, 19);
    String absent = follower(group, 0);
    group.kill(absent);
    for (long v = 0; v < 500; v++) {
      assertThat(group.change("change-" + v, v), instanceOf(ChangeResult.Accepted.class));
    }
    group.restart(absent);
    group.run(2_000);
    assertThat(group.member(absent).state().version(), is(500L));
    assertThat(group.change("change-499", 0), is(new ChangeResult.Accepted(500, true)));
    List.copyOf(group.ids()).forEach(group::restart);
    assertThat(group.change("change-500", 500), is(new ChangeResult.Accepted(501, false)));
  }
}
