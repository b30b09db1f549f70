package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusCodec;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Guards against members that end, or stay out of their group for good, because of damaged files,
 * and against accepted changes that are forgotten when several are damaged at once.
 */
class DamagedMembersTest {
  private static final List<String> MEMBERS = List.of("a:1", "b:1", "c:1", "d:1", "e:1");
  private static final int TOLERATED = 2;
  private static final long VERSION = 5;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Longer than an instance observes a leader before it sets its files aside. */
  private static final long OBSERVED_MILLIS = 5_000;

  @TempDir private Path folder;
  private final Map<String, RoutingControl> controls = new ConcurrentHashMap<>();

  private Path dataDir(String member) {
    return folder.resolve(member.substring(0, 1));
  }

  private void start(boolean firstStart) {
    start(MEMBERS, firstStart);
  }

  private void start(List<String> members, boolean firstStart) {
    for (String member : members) {
      RoutingControl control =
          new RoutingControl(
              member,
              dataDir(member),
              firstStart ? new TreeSet<>(MEMBERS) : new TreeSet<>(),
              TOLERATED,
              (to, message) -> {
                RoutingControl receiver = controls.get(to);
                if (receiver != null) {
                  receiver.receive(member, message);
                }
              },
              state -> {});
      controls.put(member, control);
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (RoutingControl control : controls.values()) {
      control.close();
    }
    controls.clear();
  }

  private static boolean await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return condition.getAsBoolean();
  }

  private boolean accepts(long version) {
    for (RoutingControl control : controls.values()) {
      Future<ChangeResult> result =
          control.submit(new Command.RoutingChange(version, "v" + version), Duration.ofMillis(500));
      try {
        if (result.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS)
            instanceof ChangeResult.Accepted) {
          return true;
        }
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    }
    return false;
  }

  private boolean allHave(long version) {
    return controls.values().stream().allMatch(c -> c.view().routing().version() == version);
  }

  private boolean isVoter(String member) {
    try (MessageUnpacker unpacker =
        MessagePack.newDefaultUnpacker(
            DurableFile.read(dataDir(member).resolve("hard-state")).get(0))) {
      return ConsensusCodec.unpackHardState(unpacker).voter();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean isSetAside(String member) {
    return Files.exists(dataDir(member).resolve("unreadable-1").resolve("hard-state"));
  }

  @BeforeEach
  void acceptChangeAndStop() throws Exception {
    start(/* firstStart= */ true);
    assertThat(await(() -> accepts(VERSION)), is(true));
    assertThat(await(() -> allHave(VERSION)), is(true));
    stop();
  }

  @ParameterizedTest
  @CsvSource({"snapshot, 1", "snapshot, 2", "hard-state, 1", "hard-state, 2"})
  void rejoinsGroupThatHasQuorum(String file, int damaged) throws Exception {
    for (String member : MEMBERS.subList(0, damaged)) {
      Files.write(dataDir(member).resolve(file), new byte[64]);
    }
    start(/* firstStart= */ false);
    assertThat(controls.get("a:1").storage(), is(StorageState.DAMAGED));
    assertThat(await(() -> allHave(VERSION)), is(true));
    assertThat(controls.get("a:1").storage(), is(StorageState.OPEN));
    for (String member : MEMBERS) {
      assertThat(isSetAside(member), equalTo(MEMBERS.indexOf(member) < damaged));
    }
    for (String member : MEMBERS) {
      assertThat(await(() -> isVoter(member)), is(true));
    }
    // Only with the rejoined members does the group have a quorum now.
    for (String member : MEMBERS.subList(MEMBERS.size() - TOLERATED, MEMBERS.size())) {
      controls.remove(member).close();
    }
    assertThat(await(() -> accepts(VERSION + 1)), is(true));
    assertThat(await(() -> allHave(VERSION + 1)), is(true));
  }

  @Test
  void keepsDamagedFilesWithoutQuorum() throws Exception {
    List<String> damaged = MEMBERS.subList(0, TOLERATED + 1);
    final byte[] intact = Files.readAllBytes(dataDir("a:1").resolve("snapshot"));
    for (String member : damaged) {
      Files.write(dataDir(member).resolve("snapshot"), new byte[64]);
    }
    start(/* firstStart= */ false);
    TimeUnit.MILLISECONDS.sleep(OBSERVED_MILLIS);
    assertThat(accepts(VERSION + 1), is(false));
    assertThat(damaged.stream().anyMatch(this::isSetAside), is(false));
    stop();
    for (String member : damaged) {
      Files.write(dataDir(member).resolve("snapshot"), intact);
    }
    start(/* firstStart= */ false);
    assertThat(await(() -> allHave(VERSION)), is(true));
    assertThat(await(() -> accepts(VERSION + 1)), is(true));
  }

  /** The members that lost their disks respond to the leader, but cannot commit with it. */
  @Test
  void keepsDamagedFilesWithoutQuorumOfVoters() throws Exception {
    start(/* firstStart= */ false);
    assertThat(await(() -> accepts(VERSION + 1)), is(true));
    assertThat(await(() -> allHave(VERSION + 1)), is(true));
    String leader = controls.get("a:1").view().leader().orElseThrow();
    List<String> others = MEMBERS.stream().filter(m -> !m.equals(leader)).toList();
    for (String member : others) {
      controls.remove(member).close();
    }
    List<String> damaged = others.subList(0, TOLERATED);
    for (String member : damaged) {
      Files.write(dataDir(member).resolve("snapshot"), new byte[64]);
    }
    for (String member : others.subList(TOLERATED, others.size())) {
      DurableLog.setAside(dataDir(member));
    }
    start(others, /* firstStart= */ false);
    TimeUnit.MILLISECONDS.sleep(OBSERVED_MILLIS);
    assertThat(damaged.stream().anyMatch(this::isSetAside), is(false));
    assertThat(controls.get(leader).view().inMajority(), is(false));
  }

  @Test
  void keepsRecordsOfNewerBuild() throws Exception {
    byte[] record = DurableFile.record(new byte[] {100, 1, 1, 99}).array();
    Files.write(dataDir("a:1").resolve(DurableLog.LOG_FILE), record);
    start(/* firstStart= */ false);
    assertThat(await(() -> accepts(VERSION + 1)), is(true));
    TimeUnit.MILLISECONDS.sleep(OBSERVED_MILLIS);
    assertThat(controls.get("a:1").storage(), is(StorageState.UNKNOWN_FORMAT));
    assertThat(isSetAside("a:1"), is(false));
    assertThat(Files.readAllBytes(dataDir("a:1").resolve(DurableLog.LOG_FILE)), is(record));
  }
}
