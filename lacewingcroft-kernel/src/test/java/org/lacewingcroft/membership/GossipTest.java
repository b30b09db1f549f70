package org.lacewingcroft.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.PeerMessage;

/**
 * Tests the gossip of many daemons, simulated in lockstep without a network, with an interval of
 * one second.
 */
class GossipTest {
  private static final long FIRST_INCARNATION = 1_790_000_000_000L;
  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_PROPAGATION_ROUNDS = 16;
  private static final int SETTLE_ROUNDS = 30;

  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Random random = new Random(5);
  private final Set<String> frozen = new HashSet<>();
  private Instant now = Instant.ofEpochSecond(1_000);

  private static final class Node {
    final MemberInfo info;
    final Gossiper gossiper;
    MemberTable table;
    boolean draining;

    Node(MemberInfo info, List<String> seeds, long seed) {
      this.info = info;
      this.gossiper = new Gossiper(info, seeds, new Random(seed));
      this.table = new MemberTable(info, INTERVAL);
    }
  }

  /**
   * Starts a daemon; as in production, its incarnation is in the range of a timestamp in
   * milliseconds.
   */
  private void start(String id, String role, String region, long incarnationOffset) {
    MemberInfo info =
        new MemberInfo(
            id, role, region, region + "-a", id, id, FIRST_INCARNATION + incarnationOffset);
    nodes.put(id, new Node(info, List.of("control-1"), random.nextLong()));
  }

  private void startRegions(int regions, int entriesPerRegion) {
    start("control-1", MemberInfo.CONTROL, "region-0", 1);
    start("control-2", MemberInfo.CONTROL, "region-" + (regions - 1), 1);
    for (int r = 0; r < regions; r++) {
      for (int e = 0; e < entriesPerRegion; e++) {
        start("entry-" + r + "-" + e, MemberInfo.ENTRY, "region-" + r, 1);
      }
    }
    rounds(SETTLE_ROUNDS);
  }

  private void rounds(int count) {
    for (int i = 0; i < count; i++) {
      now = now.plusSeconds(1);
      for (Node node : List.copyOf(nodes.values())) {
        if (!frozen.contains(node.info.nodeId())) {
          node.table = node.table.withoutDead(now);
          Gossiper.SelfReport report =
              new Gossiper.SelfReport(node.draining, 1, Map.of("writer", 4));
          node.gossiper.nextMessages(report, node.table, now).forEach(this::deliver);
        }
      }
    }
  }

  private void deliver(Gossiper.Outgoing message) {
    Node receiver = nodes.get(message.address());
    if (receiver != null && !frozen.contains(message.address())) {
      receiver.table = receiver.table.withGossip(message.gossip(), now);
      receiver.gossiper.respond(message.gossip(), 1, receiver.table).ifPresent(this::deliver);
    }
  }

  private Set<String> aliveAt(String node, String region) {
    return nodes.get(node).table.alive(MemberInfo.ENTRY, region, now).stream()
        .map(m -> m.info().nodeId())
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @CsvSource({"1, 3", "3, 2", "3, 9", "13, 26"})
  void everyDaemonRecordsItsRegionAndContactsInOthers(int regions, int entriesPerRegion) {
    startRegions(regions, entriesPerRegion);
    for (int round = 0; round < 20; round++) {
      rounds(1);
      for (Node node : nodes.values()) {
        String id = node.info.nodeId();
        int self = node.info.role().equals(MemberInfo.ENTRY) ? 1 : 0;
        assertThat(
            id
                + " has members "
                + node.table.membersOf(MemberInfo.ENTRY, node.info.region()).size(),
            aliveAt(id, node.info.region()).size(),
            is(entriesPerRegion - self));
        assertThat(id, node.table.get("control-1").isPresent() || id.equals("control-1"));
      }
    }
    Set<String> knownRegions =
        nodes.get("entry-0-0").table.all().stream()
            .map(m -> m.info().region())
            .collect(Collectors.toSet());
    assertThat(knownRegions.size(), is(regions));
  }

  @ParameterizedTest
  @CsvSource({"2", "9", "26"})
  void unresponsiveMemberIsSuspectedThenRemovedUntilItReturns(int entries) {
    startRegions(2, entries);
    String unresponsive = "entry-0-1";
    frozen.add(unresponsive);
    int suspicionRounds =
        MemberTable.suspicionTimeoutIntervals(entries + 2) + MAX_PROPAGATION_ROUNDS;
    rounds(suspicionRounds);
    assertThat(aliveAt("entry-0-0", "region-0").contains(unresponsive), is(false));
    rounds(suspicionRounds);
    for (Node node : nodes.values()) {
      if (node.info.region().equals("region-0")) {
        assertThat(node.info.nodeId(), node.table.get(unresponsive), is(Optional.empty()));
      }
    }
    frozen.remove(unresponsive);
    rounds(SETTLE_ROUNDS);
    assertThat(aliveAt("entry-0-0", "region-0").contains(unresponsive), is(true));
  }

  @Test
  void restartedMemberReplacesItsPreviousIncarnation() {
    startRegions(2, 3);
    start("entry-0-1", MemberInfo.ENTRY, "region-0", 2);
    rounds(SETTLE_ROUNDS);
    for (String id : List.of("entry-0-0", "entry-0-2", "control-1")) {
      assertThat(
          nodes.get(id).table.get("entry-0-1").orElseThrow().info().incarnation(),
          is(FIRST_INCARNATION + 2));
    }
  }

  @Test
  void drainingMemberIsSoonExcludedFromAliveMembers() {
    startRegions(2, 3);
    nodes.get("entry-0-1").draining = true;
    rounds(4);
    assertThat(aliveAt("entry-0-0", "region-0"), contains("entry-0-2"));
  }

  @Test
  void entriesOfLostRegionAreRemoved() {
    startRegions(3, 3);
    assertThat(aliveAt("entry-0-0", "region-2").isEmpty(), is(false));
    nodes.keySet().stream().filter(id -> id.startsWith("entry-2")).forEach(frozen::add);
    int removalRounds =
        2 * MemberTable.suspicionTimeoutIntervals(6) * MemberTable.OTHER_REGION_TIMEOUT_FACTOR;
    rounds(removalRounds + MAX_PROPAGATION_ROUNDS);
    assertThat(aliveAt("entry-0-0", "region-2"), is(empty()));
  }

  @Test
  void messageCountAndSizeAreBoundedForAnyFleetSize() {
    startRegions(13, 26);
    for (Node node : nodes.values()) {
      List<Gossiper.Outgoing> sent =
          node.gossiper.nextMessages(new Gossiper.SelfReport(false, 1, Map.of()), node.table, now);
      int maxMessages = Gossiper.FANOUT + Gossiper.REGION_FANOUT + 1;
      assertThat(node.info.nodeId(), sent.size(), is(lessThanOrEqualTo(maxMessages)));
      for (Gossiper.Outgoing message : sent) {
        PeerMessage.Gossip gossip = message.gossip();
        assertThat(gossip.heartbeats().size(), is(lessThanOrEqualTo(32)));
      }
    }
  }
}
