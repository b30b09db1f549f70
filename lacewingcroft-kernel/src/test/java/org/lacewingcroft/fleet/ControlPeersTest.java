package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests with simulated instances that every control instance learns of each other one, although the
 * settings name only the seeds, and forgets those that are removed.
 */
class ControlPeersTest {
  private static final Duration RETENTION = Duration.ofSeconds(10);
  private static final Duration HELLO_INTERVAL = Duration.ofMillis(800);
  private static final List<String> SEEDS = List.of("c00", "c01", "c02");

  /** Instances that exchange hello messages; messages between two that are partitioned are lost. */
  private static final class Instances {
    private record Hello(String from, String to, Set<String> named) {}

    private final Map<String, ControlPeers> peers = new TreeMap<>();
    private final Queue<Hello> network = new ArrayDeque<>();
    private final Set<String> partitioned = new HashSet<>();
    private Instant now = Instant.EPOCH;

    void start(String id) {
      peers.put(id, new ControlPeers(id, RETENTION));
      sendHello(id, SEEDS);
      deliver();
    }

    void run(Duration duration) {
      for (Instant end = now.plus(duration); now.isBefore(end); now = now.plus(HELLO_INTERVAL)) {
        for (Map.Entry<String, ControlPeers> peer : peers.entrySet()) {
          peer.getValue().expire(now);
          Set<String> targets = peer.getValue().contacted();
          targets.addAll(SEEDS);
          sendHello(peer.getKey(), targets);
        }
        deliver();
      }
    }

    private void sendHello(String from, Collection<String> targets) {
      Set<String> named = new TreeSet<>(peers.get(from).known());
      named.add(from);
      targets.forEach(to -> network.add(new Hello(from, to, named)));
    }

    private void deliver() {
      for (Hello hello = network.poll(); hello != null; hello = network.poll()) {
        boolean lost = partitioned.contains(hello.from) != partitioned.contains(hello.to);
        if (!lost && !hello.from.equals(hello.to) && peers.containsKey(hello.to)) {
          sendHello(hello.to, peers.get(hello.to).onHello(hello.from, hello.named, now));
        }
      }
    }

    /** Returns the instances that some running instance does not know, or knows although gone. */
    Map<String, Set<String>> deviations() {
      Map<String, Set<String>> deviations = new TreeMap<>();
      peers.forEach(
          (id, p) -> {
            Set<String> difference = p.known();
            difference.add(id);
            Set<String> missing = new TreeSet<>(peers.keySet());
            missing.removeAll(difference);
            difference.removeAll(peers.keySet());
            difference.addAll(missing);
            if (!difference.isEmpty()) {
              deviations.put(id, difference);
            }
          });
      return deviations;
    }
  }

  private static Instances started(int count) {
    Instances instances = new Instances();
    IntStream.range(0, count).forEach(i -> instances.start("c%02d".formatted(i)));
    instances.run(HELLO_INTERVAL);
    return instances;
  }

  /** Guards against a new instance that only the seeds of its settings hear of. */
  @ParameterizedTest
  @CsvSource({"3, 1", "5, 1", "5, 2", "17, 4"})
  void newInstancesLearnOfAllAndRemovedOnesAreForgotten(int count, int replaced) {
    Instances instances = started(count);
    for (int i = 0; i < replaced; i++) {
      instances.peers.remove("c%02d".formatted(count - 1 - i));
      instances.start("n%02d".formatted(i));
      instances.run(HELLO_INTERVAL.multipliedBy(2));
      Set<String> successors =
          instances.peers.keySet().stream().filter(id -> id.startsWith("n")).collect(asSet());
      instances.peers.forEach(
          (id, p) -> {
            Set<String> learned = p.known();
            learned.add(id);
            learned.retainAll(successors);
            assertThat(id, learned, equalTo(successors));
          });
    }
    instances.run(RETENTION.multipliedBy(3));
    assertThat(instances.deviations(), equalTo(Map.of()));
  }

  private static java.util.stream.Collector<String, ?, Set<String>> asSet() {
    return Collectors.toCollection(TreeSet::new);
  }

  /** An instance that starts while the seeds are down or partitioned joins once they are back. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void instanceStartedWithoutSeedsJoinsOnceTheyAreBack(boolean partitioned) {
    Instances instances = started(5);
    if (partitioned) {
      instances.partitioned.addAll(SEEDS);
    } else {
      SEEDS.forEach(instances.peers::remove);
    }
    instances.start("new");
    instances.run(RETENTION.multipliedBy(2));
    instances.partitioned.clear();
    if (!partitioned) {
      SEEDS.forEach(instances::start);
    }
    instances.run(HELLO_INTERVAL.multipliedBy(2));
    assertThat(instances.deviations(), equalTo(Map.of()));
  }
}
