package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests a control group whose routing document is large and changes often: members that lost their
 * disks catch up, members are replaced, and the log stays bounded.
 */
class LargeDocumentTest {
  private static final GroupPolicy POLICY = new GroupPolicy(5, 600);
  private static final int DOCUMENT_BYTES = 365_000;
  private static final String DOCUMENT = "x".repeat(DOCUMENT_BYTES);

  /** Time within which a member that returns has caught up. */
  private static final long CATCH_UP_MILLIS = 4_000;

  private static ControlGroup group(long seed, LogLimits limits) {
    ControlGroup group = new ControlGroup(3, 2, POLICY, seed);
    group.setLimits(limits);
    group.setDocument(DOCUMENT);
    for (String id : group.ids()) {
      group.restart(id);
    }
    for (int i = 0; i < 200 && group.member(group.awaitLeader()).group().size() < 5; i++) {
      group.run(50);
    }
    return group;
  }

  private static Optional<ChangeResult> submit(ControlGroup group, long version) {
    long proposalId = group.submitRoutingDocument(group.awaitLeader(), version);
    for (int i = 0; i < 100 && group.result(proposalId).isEmpty(); i++) {
      group.run(10);
    }
    return group.result(proposalId);
  }

  private static void change(ControlGroup group, int count) {
    for (long version = 1; version <= count; version++) {
      assertThat(submit(group, version).orElseThrow(), instanceOf(ChangeResult.Accepted.class));
    }
  }

  private static void assertCaughtUp(ControlGroup group) {
    ConsensusMember leader = group.member(group.awaitLeader());
    assertThat(leader.group(), equalTo(Set.copyOf(group.ids())));
    for (String id : group.ids()) {
      assertThat(id, group.member(id).commitIndex(), equalTo(leader.commitIndex()));
      assertThat(id + " is a voter", group.member(id).voter(), equalTo(true));
    }
  }

  private static LogLimits compactedAfter(int entries, long bytes) {
    return new LogLimits(
        entries,
        bytes,
        LogLimits.DEFAULT.maxUncommittedBytes(),
        LogLimits.DEFAULT.maxBatchEntries(),
        LogLimits.DEFAULT.maxBatchBytes());
  }

  /** Guards against a batch of entries that exceeds the maximum frame, so that it never arrives. */
  @ParameterizedTest
  @CsvSource({"60, 256, 1000000000", "60, 256, 4194304", "60, 20, 1000000000"})
  void membersThatLostTheirDisksCatchUp(int changes, int compactEntries, long compactBytes) {
    ControlGroup group = group(1, compactedAfter(compactEntries, compactBytes));
    change(group, changes);
    String leader = group.awaitLeader();
    List<String> lost = group.ids().stream().filter(id -> !id.equals(leader)).limit(2).toList();
    lost.forEach(group::loseDisk);
    group.run(CATCH_UP_MILLIS);
    assertCaughtUp(group);
    assertThat(submit(group, changes + 1).orElseThrow(), instanceOf(ChangeResult.Accepted.class));
  }

  /**
   * Guards against a slow link that carries the same entries again and again: with a throughput of
   * 1 MB/s, a log of 60 documents takes 22 s if each is sent once.
   */
  @ParameterizedTest
  @CsvSource({"1000, 45000", "300, 150000"})
  void memberBehindSlowLinkCatchesUp(long bytesPerMilli, long withinMillis) {
    ControlGroup group = group(2, compactedAfter(256, 1_000_000_000));
    change(group, 60);
    String leader = group.awaitLeader();
    String slow = group.ids().stream().filter(id -> !id.equals(leader)).findFirst().orElseThrow();
    final long sentBefore = group.dataBytesSentTo(slow);
    group.loseDisk(slow);
    group.setThroughput(slow, bytesPerMilli);
    group.run(withinMillis);
    assertThat(group.member(slow).commitIndex(), equalTo(group.member(leader).commitIndex()));
    assertThat(group.dataBytesSentTo(slow) - sentBefore, lessThan(2L * 60 * DOCUMENT_BYTES));
    assertThat("its leader still leads", group.awaitLeader(), equalTo(leader));
  }

  /** A member that does not respond is sent data once, then heartbeats only. */
  @Test
  void silentMemberIsSentNoDataTwice() {
    ControlGroup group = group(3, LogLimits.DEFAULT);
    String leader = group.awaitLeader();
    String silent = group.ids().stream().filter(id -> !id.equals(leader)).findFirst().orElseThrow();
    group.kill(silent);
    final long sentBefore = group.dataBytesSentTo(silent);
    change(group, 20);
    group.run(5_000);
    assertThat(
        group.dataBytesSentTo(silent) - sentBefore,
        lessThan(2 * LogLimits.DEFAULT.maxBatchBytes() + DOCUMENT_BYTES));
    group.restart(silent);
    group.run(CATCH_UP_MILLIS);
    assertCaughtUp(group);
  }

  /** A leader without a quorum accepts changes up to the limit, and rejects more at once. */
  @Test
  void leaderWithoutQuorumRejectsChangesBeyondTheLimit() {
    ControlGroup group = group(4, LogLimits.DEFAULT);
    String leader = group.awaitLeader();
    group.ids().stream().filter(id -> !id.equals(leader)).forEach(group::kill);
    long rejected = 0;
    for (long version = 1; version <= 40; version++) {
      long proposalId = group.submitRoutingDocument(leader, version);
      rejected +=
          group.result(proposalId).filter(ChangeResult.Overloaded.class::isInstance).stream()
              .count();
    }
    assertThat(
        40 - rejected, equalTo(LogLimits.DEFAULT.maxUncommittedBytes() / DOCUMENT_BYTES + 1));
    group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
    group.run(CATCH_UP_MILLIS);
    assertThat(submit(group, 41).orElseThrow(), instanceOf(ChangeResult.Accepted.class));
  }

  /**
   * Guards against a successor that never joins while changes follow one another, because it stores
   * the newest one only after the next has been committed.
   */
  @ParameterizedTest
  @ValueSource(ints = {1_000, 2_000})
  void successorJoinsWhileChangesContinue(int bytesPerMilli) {
    ControlGroup group = group(5, LogLimits.DEFAULT);
    String leader = group.awaitLeader();
    String lost = group.ids().stream().filter(id -> !id.equals(leader)).findFirst().orElseThrow();
    group.remove(lost);
    group.setThroughput("successor", bytesPerMilli);
    group.add("successor");
    long version = 0;
    long millis = 0;
    while (!group.member(leader).group().contains("successor") && millis < CATCH_UP_MILLIS) {
      group.submitRoutingDocument(leader, ++version);
      group.run(DOCUMENT_BYTES / bytesPerMilli);
      millis += DOCUMENT_BYTES / bytesPerMilli;
    }
    assertThat(group.member(leader).group().contains("successor"), equalTo(true));
  }

  static LongStream seeds() {
    return LongStream.range(0, 30);
  }

  /**
   * Changes of a large document while members are killed, restarted together, wiped within what the
   * group tolerates, partitioned or replaced for good, in series and overlapping.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void survivesFaultsWithLargeDocuments(long seed) {
    ControlGroup group = group(seed, LogLimits.DEFAULT);
    Random random = new Random(seed);
    long version = 0;
    int added = 0;
    for (int round = 0; round < 30; round++) {
      String victim = group.ids().get(random.nextInt(group.ids().size()));
      switch (random.nextInt(6)) {
        case 0 -> group.kill(victim);
        case 1 -> group.partition(victim);
        case 2 -> group.setLossAndDelay(0.2, 60);
        case 3 -> group.ids().forEach(group::restart);
        case 4 -> {
          recover(group);
          String other = group.ids().get(random.nextInt(group.ids().size()));
          group.loseDisk(victim);
          group.loseDisk(other);
        }
        default -> {
          recover(group);
          group.remove(victim);
          group.add("successor-" + ++added);
        }
      }
      for (int i = 0; i < 4; i++) {
        version++;
        for (String id : group.ids()) {
          group.submitRoutingDocument(id, version);
        }
        group.run(50 + random.nextInt(300));
      }
      for (String id : group.ids()) {
        assertThat(
            id + " has a bounded log",
            !group.isRunning(id) || group.logBytes(id) < 2 * maxLogBytes(),
            equalTo(true));
      }
    }
    recover(group);
    long accepted = group.highestAcceptedRoutingVersion();
    assertThat(
        group.member(group.awaitLeader()).state().routing().version() >= accepted, equalTo(true));
    assertThat(submit(group, version + 1).orElseThrow(), instanceOf(ChangeResult.Accepted.class));
  }

  private static long maxLogBytes() {
    return LogLimits.DEFAULT.compactAfterBytes()
        + LogLimits.DEFAULT.maxUncommittedBytes()
        + 2 * DOCUMENT_BYTES;
  }

  /** Ends all faults and waits until everything that runs is a member and has caught up. */
  private static void recover(ControlGroup group) {
    group.heal();
    group.ids().stream().filter(id -> !group.isRunning(id)).forEach(group::restart);
    group.run(2 * CATCH_UP_MILLIS);
    assertCaughtUp(group);
  }
}
