package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Guards against members that present a state as current although a change had been accepted
 * before: after a restart of the whole group, behind a link that works in one direction only, while
 * entries or a snapshot are still on their way, or under a leader that has been replaced. {@link
 * ControlGroup} compares the state of every member with the accepted changes at every step.
 */
class StateCurrencyTest {
  private static final int STEPS = 30;

  @Property(tries = 1_500, seed = "20261207", shrinking = ShrinkingMode.OFF)
  void currentStateContainsWhatWasAccepted(@ForAll long seed) {
    Random random = new Random(seed);
    ControlGroup group = new ControlGroup(random.nextBoolean() ? 3 : 5, seed);
    group.awaitLeader();
    for (int step = 0; step < STEPS; step++) {
      injectFault(group, random);
      for (int proposal = random.nextInt(4); proposal > 0; proposal--) {
        String proposer = group.ids().get(random.nextInt(group.ids().size()));
        long expected = group.isRunning(proposer) ? group.member(proposer).state().version() : 0;
        group.propose(proposer, "change-" + step + "-" + proposal, expected);
        group.run(random.nextInt(100));
      }
      group.run(random.nextInt(400));
    }
  }

  private static void injectFault(ControlGroup group, Random random) {
    String victim = group.ids().get(random.nextInt(group.ids().size()));
    switch (random.nextInt(8)) {
      case 0 -> group.kill(victim);
      case 1 -> group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
      case 2 -> group.partition(victim);
      case 3 -> group.mute(victim);
      case 4 -> group.heal();
      case 5 -> group.setLossAndDelay(random.nextDouble() * 0.4, 1 + random.nextInt(150));
      case 6 -> group.ids().forEach(group::restart);
      default -> {
        // No fault in this step.
      }
    }
  }

  /** Guards against members that never confirm the state of an entry. */
  @Property(tries = 20, seed = "20261207", shrinking = ShrinkingMode.OFF)
  void everyMemberKnowsThatItsStateIsCurrent(@ForAll long seed) {
    ControlGroup group = new ControlGroup(5, seed);
    group.awaitLeader();
    group.ids().forEach(group::restart);
    group.awaitLeader();
    for (int i = 0; i < 100; i++) {
      group.run(ControlGroup.TIMING.electionTimeoutMillis());
      for (String id : group.ids()) {
        assertThat(group.member(id).caughtUp(), is(true));
        assertThat(
            group.stateAgeMillis(id).orElseThrow(),
            lessThan(ControlGroup.TIMING.electionTimeoutMillis()));
      }
    }
  }
}
