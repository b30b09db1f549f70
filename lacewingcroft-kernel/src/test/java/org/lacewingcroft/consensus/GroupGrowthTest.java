package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests a group whose members are defined by the log: it grows to its target size, replaces lost
 * members and loses no accepted document.
 */
class GroupGrowthTest {
  private static final GroupPolicy POLICY = new GroupPolicy(5, 600);

  private static ControlGroup grownGroup(long seed) {
    ControlGroup group = new ControlGroup(3, 2, POLICY, seed);
    for (int i = 0; i < 100 && group.member(group.awaitLeader()).group().size() < 5; i++) {
      group.run(50);
    }
    return group;
  }

  private static long accept(ControlGroup group, long version) {
    for (int i = 0; i < 100; i++) {
      long proposalId = group.submitRoutingDocument(group.awaitLeader(), version);
      for (int j = 0; j < 50 && group.result(proposalId).isEmpty(); j++) {
        group.run(20);
      }
      if (group.result(proposalId).filter(ChangeResult.Accepted.class::isInstance).isPresent()) {
        return version;
      }
    }
    throw new AssertionError("version " + version + " was not accepted");
  }

  @Test
  void growsToItsTargetSize() {
    ControlGroup group = grownGroup(1);
    assertThat(group.member(group.awaitLeader()).group(), equalTo(Set.copyOf(group.ids())));
  }

  /** Returns all pairs of members that may lose their disks at the same time. */
  static Stream<List<String>> pairs() {
    return IntStream.rangeClosed(1, 5)
        .boxed()
        .flatMap(
            a ->
                IntStream.rangeClosed(a + 1, 5)
                    .mapToObj(b -> List.of("control-" + a, "control-" + b)));
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void keepsAcknowledgedDocumentAfterLossOfAnyTwoDisks(List<String> lost) {
    ControlGroup group = grownGroup(2);
    final long version = accept(group, 7);
    group.ids().forEach(group::kill);
    group.ids().stream().filter(id -> !lost.contains(id)).forEach(group::restart);
    lost.forEach(group::loseDisk);
    assertThat(group.member(group.awaitLeader()).state().routing().version(), equalTo(version));
    assertThat(accept(group, 8), equalTo(8L));
  }

  @Test
  void replacesPermanentlyLostMemberByStandby() {
    ControlGroup group = new ControlGroup(3, 3, POLICY, 3);
    group.run(4_000);
    ConsensusMember leader = group.member(group.awaitLeader());
    String lost =
        leader.group().stream().filter(id -> !id.equals(group.awaitLeader())).findFirst().get();
    group.kill(lost);
    group.run(6_000);
    Set<String> members = group.member(group.awaitLeader()).group();
    assertThat(members.size(), equalTo(5));
    assertThat(members, not(hasItem(lost)));
  }

  @Test
  void healedPartitionChangesNothingWithoutStandby() {
    ControlGroup group = grownGroup(4);
    group.partition("control-1", "control-2");
    group.run(3_000);
    group.heal();
    group.run(2_000);
    assertThat(group.member(group.awaitLeader()).group().size(), equalTo(5));
  }

  static LongStream seeds() {
    return LongStream.range(0, 40);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void neverLosesAcceptedDocument(long seed) {
    ControlGroup group = new ControlGroup(3, 3, POLICY, seed);
    Random random = new Random(seed);
    group.run(3_000);
    long version = 0;
    for (int round = 0; round < 25; round++) {
      String victim = group.ids().get(random.nextInt(group.ids().size()));
      switch (random.nextInt(5)) {
        case 0 -> group.kill(victim);
        case 1 -> group.partition(victim);
        case 2 -> group.setLossAndDelay(0.2, 60);
        default -> group.heal();
      }
      for (String id : group.ids()) {
        group.submitRoutingDocument(id, ++version);
      }
      group.run(200 + random.nextInt(800));
      for (String id : group.ids()) {
        if (!group.isRunning(id) && random.nextBoolean()) {
          group.restart(id);
        }
      }
    }
    group.heal();
    group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
    group.run(3_000);
    long finalVersion = group.member(group.awaitLeader()).state().routing().version();
    assertThat(finalVersion, greaterThanOrEqualTo(group.highestAcceptedRoutingVersion()));
  }
}
