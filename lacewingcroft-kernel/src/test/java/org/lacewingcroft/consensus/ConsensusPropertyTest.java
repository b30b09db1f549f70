package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Runs random schedules of crashes, restarts, lost disks, partitions and lossy links, with
 * operators that propose concurrently and resend their changes. {@link ControlGroup} checks
 * agreement at every step; at the end, every member must have every accepted change at the version
 * with which it was accepted.
 */
class ConsensusPropertyTest {
  private static final int STEPS = 60;

  @Property(tries = 300, seed = "20261202", shrinking = ShrinkingMode.OFF)
  void neverLosesOrReplacesAnAcceptedChange(@ForAll long seed) {
    Random random = new Random(seed);
    ControlGroup group = new ControlGroup(random.nextBoolean() ? 3 : 5, seed);
    int toleratedFailures = group.ids().size() / 2;
    group.awaitLeader();
    for (int step = 0; step < STEPS; step++) {
      injectFault(group, random, toleratedFailures);
      String proposer = group.ids().get(random.nextInt(group.ids().size()));
      String changeId = "change-" + random.nextInt(40);
      long expected = group.isRunning(proposer) ? group.member(proposer).state().version() : 0;
      group.propose(proposer, changeId, expected);
      group.propose(proposer, "rival-" + step, expected);
      group.run(random.nextInt(400));
    }
    group.heal();
    group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
    String leader = group.awaitLeader();
    group.run(5_000);
    for (String id : group.ids()) {
      assertThat(group.member(id).state(), is(group.member(leader).state()));
      for (Map.Entry<Long, String> accepted : group.acceptedChanges().entrySet()) {
        assertThat(
            accepted.getValue(),
            group.member(id).state().versionOf(accepted.getValue()).orElse(-1L),
            is(accepted.getKey()));
      }
    }
  }

  /** Injects one random fault; a disk is lost only while all members are running and are voters. */
  private static void injectFault(ControlGroup group, Random random, int toleratedFailures) {
    String victim = group.ids().get(random.nextInt(group.ids().size()));
    long down = group.ids().stream().filter(id -> !group.isRunning(id)).count();
    switch (random.nextInt(8)) {
      case 0 -> {
        if (down < toleratedFailures) {
          group.kill(victim);
        }
      }
      case 1 -> group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
      case 2 -> group.partition(victim);
      case 3 -> group.heal();
      case 4 -> group.setLossAndDelay(random.nextDouble() * 0.4, 1 + random.nextInt(150));
      case 5 -> group.ids().forEach(group::restart);
      case 6 -> {
        boolean allVoters =
            group.ids().stream().allMatch(id -> group.isRunning(id) && group.member(id).voter());
        if (allVoters) {
          group.loseDisk(victim);
        }
      }
      default -> {
        // No fault in this step.
      }
    }
  }
}
