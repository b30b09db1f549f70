package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests elections in which every remaining vote is needed: two of five members are lost, or have
 * lost their disks and cannot vote, so any two candidates in one term split the vote.
 */
class SplitVoteTest {
  private static final int MEMBERS = 5;
  private static final int LOST_DISKS = 2;
  private static final int SEEDS = 200;
  private static final long STEP_MILLIS = 10;

  /** The maximum one-way delay of a message between distant regions. */
  private static final int MAX_ONE_WAY_DELAY_MILLIS = 55;

  /** The maximum difference between the start times of processes that are started together. */
  private static final int MAX_START_SPREAD_MILLIS = 250;

  /**
   * The sum of the start spread, half an election timeout for the election slots, and two rounds of
   * votes.
   */
  private static final long MAX_START_MILLIS = 1_100;

  /** The sum of the maximum election timeout and two rounds of votes. */
  private static final long MAX_SUCCESSION_MILLIS = 1_850;

  static Stream<Integer> seeds() {
    return IntStream.range(0, SEEDS).boxed();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void electsLeaderAfterStartWithLostDisks(int seed) {
    assertThat(startMillis(seed), lessThanOrEqualTo(MAX_START_MILLIS));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void electsNewLeaderAfterLossOfLeader(int seed) {
    assertThat(successionMillis(seed), lessThanOrEqualTo(MAX_SUCCESSION_MILLIS));
  }

  /** Prints the distribution of election times; a benchmark to run manually. */
  public static void main(String[] args) {
    print("start", SplitVoteTest::startMillis);
    print("succession", SplitVoteTest::successionMillis);
  }

  private static void print(String name, IntFunction<Long> election) {
    List<Long> electionMillis = IntStream.range(0, 1_000).mapToObj(election).sorted().toList();
    System.out.printf(
        "%s: median %d ms, p90 %d ms, p99 %d ms, max %d ms%n",
        name,
        electionMillis.get(500),
        electionMillis.get(900),
        electionMillis.get(990),
        electionMillis.get(999));
  }

  /**
   * Kills all members, replaces two disks with empty ones, restarts all members within the start
   * spread and returns the time until there is a leader, in milliseconds.
   */
  private static long startMillis(int seed) {
    Random random = new Random(seed);
    ControlGroup group = startedGroup(seed);
    List<String> ids = new ArrayList<>(group.ids());
    ids.forEach(group::kill);
    group.run(1_000);
    Collections.shuffle(ids, random);
    List<String> lost = ids.subList(0, LOST_DISKS);
    long[] startMillis = random.longs(MEMBERS, 0, MAX_START_SPREAD_MILLIS).toArray();
    long elapsedMillis = 0;
    while (elapsedMillis < MAX_START_SPREAD_MILLIS) {
      for (int i = 0; i < MEMBERS; i++) {
        if (startMillis[i] / STEP_MILLIS * STEP_MILLIS == elapsedMillis) {
          start(group, ids.get(i), lost.contains(ids.get(i)));
        }
      }
      group.run(STEP_MILLIS);
      elapsedMillis += STEP_MILLIS;
    }
    return elapsedMillis + awaitLeaderMillis(group);
  }

  private static void start(ControlGroup group, String id, boolean diskLost) {
    if (diskLost) {
      group.loseDisk(id);
    } else {
      group.restart(id);
    }
  }

  /**
   * Kills the leader and one more member permanently, so that three of five remain, and returns the
   * time until there is a new leader, in milliseconds.
   */
  private static long successionMillis(int seed) {
    ControlGroup group = startedGroup(seed);
    String leader = group.awaitLeader();
    List<String> others = new ArrayList<>(group.ids());
    others.remove(leader);
    Collections.shuffle(others, new Random(seed));
    group.kill(leader);
    group.kill(others.get(0));
    return awaitLeaderMillis(group);
  }

  private static ControlGroup startedGroup(int seed) {
    ControlGroup group = new ControlGroup(MEMBERS, seed, ConsensusTiming.DEFAULT);
    group.setLossAndDelay(0, MAX_ONE_WAY_DELAY_MILLIS);
    group.awaitLeader();
    return group;
  }

  private static long awaitLeaderMillis(ControlGroup group) {
    long elapsedMillis = 0;
    while (elapsedMillis < 10_000 && !group.hasLeader()) {
      group.run(STEP_MILLIS);
      elapsedMillis += STEP_MILLIS;
    }
    return elapsedMillis;
  }
}
