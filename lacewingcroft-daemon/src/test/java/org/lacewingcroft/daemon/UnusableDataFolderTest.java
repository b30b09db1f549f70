package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingcroft.control.DurableFile;
import org.lacewingcroft.control.StorageState;
import org.lacewingcroft.peer.LoopbackPorts;

/** Guards against control daemons that end, or give no reason, if their folder is unusable. */
class UnusableDataFolderTest {
  private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final List<String> GROUP = List.of("control-1", "control-2", "control-3");
  private static final int UNKNOWN_COMMAND = 99;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Daemon> daemons = new HashMap<>();
  private final Map<String, Integer> peerPorts = new HashMap<>();
  @TempDir private Path folder;

  /** What is wrong with a data folder, and how it is repaired. */
  private enum Fault {
    HARD_STATE_NOT_WRITABLE(StorageState.FAILED, /* firstStart= */ false) {
      @Override
      void apply(Path dataDir) throws Exception {
        Files.createDirectories(dataDir.resolve("hard-state.tmp"));
      }

      @Override
      void repair(Path dataDir) throws Exception {
        Files.delete(dataDir.resolve("hard-state.tmp"));
      }
    },
    NOT_WRITABLE_ON_FIRST_START(StorageState.FAILED, /* firstStart= */ true) {
      @Override
      void apply(Path dataDir) throws Exception {
        HARD_STATE_NOT_WRITABLE.apply(dataDir);
      }

      @Override
      void repair(Path dataDir) throws Exception {
        HARD_STATE_NOT_WRITABLE.repair(dataDir);
      }
    },
    LOG_NOT_READABLE(StorageState.FAILED, /* firstStart= */ false) {
      @Override
      void apply(Path dataDir) throws Exception {
        Files.move(dataDir.resolve("config.log"), dataDir.resolve("config.log.kept"));
        Files.createDirectory(dataDir.resolve("config.log"));
      }

      @Override
      void repair(Path dataDir) throws Exception {
        Files.delete(dataDir.resolve("config.log"));
        Files.move(dataDir.resolve("config.log.kept"), dataDir.resolve("config.log"));
      }
    },
    SNAPSHOT_DAMAGED(StorageState.DAMAGED, /* firstStart= */ false) {
      @Override
      void apply(Path dataDir) throws Exception {
        Files.write(dataDir.resolve("snapshot"), new byte[64]);
      }

      @Override
      void repair(Path dataDir) throws Exception {
        Files.delete(dataDir.resolve("snapshot"));
      }
    },
    RECORD_OF_NEWER_BUILD(StorageState.UNKNOWN_FORMAT, /* firstStart= */ false) {
      @Override
      void apply(Path dataDir) throws Exception {
        Files.move(dataDir.resolve("config.log"), dataDir.resolve("config.log.kept"));
        DurableFile.replace(
            dataDir.resolve("config.log"), List.of(new byte[] {1, 1, 1, UNKNOWN_COMMAND}));
      }

      @Override
      void repair(Path dataDir) throws Exception {
        LOG_NOT_READABLE.repair(dataDir);
      }
    };

    private final StorageState state;
    private final boolean firstStart;

    Fault(StorageState state, boolean firstStart) {
      this.state = state;
      this.firstStart = firstStart;
    }

    abstract void apply(Path dataDir) throws Exception;

    abstract void repair(Path dataDir) throws Exception;

    private String stateName() {
      return state.name().toLowerCase(Locale.ROOT);
    }
  }

  private void start(String nodeId, List<String> group, boolean bootstrap) throws Exception {
    List<String> peers = new ArrayList<>();
    for (String member : group) {
      if (!peerPorts.containsKey(member)) {
        peerPorts.put(member, LoopbackPorts.allocatePort());
      }
      if (!member.equals(nodeId)) {
        peers.add("127.0.0.1:" + peerPorts.get(member));
      }
    }
    Settings settings =
        new Settings(
            Role.CONTROL,
            nodeId,
            "uusimaa",
            "uusimaa-a",
            "127.0.0.1",
            0,
            peerPorts.get(nodeId),
            peers,
            Optional.of(dataDir(nodeId)),
            group,
            bootstrap,
            false,
            SECRET,
            "least-in-flight",
            4_096,
            8,
            Duration.ZERO,
            Duration.ofSeconds(60),
            Duration.ofMillis(200),
            Duration.ofSeconds(5),
            Optional.empty());
    daemons.put(nodeId, Daemon.start(settings.check()));
  }

  private void stop(String nodeId) throws Exception {
    daemons.remove(nodeId).close();
  }

  private Path dataDir(String nodeId) {
    return folder.resolve(nodeId);
  }

  @AfterEach
  void stopAll() throws Exception {
    for (Daemon daemon : daemons.values()) {
      daemon.close();
    }
  }

  private HttpResponse<String> change(String nodeId, long expectedVersion) throws Exception {
    int port = daemons.get(nodeId).httpPort();
    return http.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/config"))
            .timeout(Duration.ofSeconds(20))
            .header("X-Change-Id", "change-" + expectedVersion)
            .header("X-Expected-Version", Long.toString(expectedVersion))
            .PUT(HttpRequest.BodyPublishers.ofString("{}"))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> get(String nodeId, String path) throws Exception {
    int port = daemons.get(nodeId).httpPort();
    return http.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofSeconds(20))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode json(HttpResponse<String> response) throws Exception {
    return new ObjectMapper().readTree(response.body());
  }

  private boolean isReady(String nodeId) throws Exception {
    return get(nodeId, "/readyz").statusCode() == 200;
  }

  private void assertReports(String nodeId, Fault fault) throws Exception {
    String metric = "lwc_control_storage{state=\"" + fault.stateName() + "\"} 1.0";
    TestCluster.await(() -> get(nodeId, "/metrics").body().contains(metric));
    assertThat(get(nodeId, "/healthz").statusCode(), is(200));
    assertThat(get(nodeId, "/readyz").statusCode(), is(503));
    assertThat(get(nodeId, "/v1/config").statusCode(), is(503));
    JsonNode status = json(get(nodeId, "/v1/control"));
    assertThat(status.path("storage").asText(), is(fault.stateName()));
    assertThat(status.path("voter").asBoolean(), is(false));
    HttpResponse<String> refused = change(nodeId, 1);
    assertThat(refused.statusCode(), is(503));
    assertThat(json(refused).path("error").path("code").asText(), is("no_quorum"));
    assertThat(refused.body(), containsString("data folder"));
    assertThat(refused.body(), containsString(fault.stateName()));
  }

  @ParameterizedTest
  @EnumSource
  void daemonReportsUnusableFolder(Fault fault) throws Exception {
    String nodeId = GROUP.get(0);
    List<String> group = List.of(nodeId);
    if (!fault.firstStart) {
      start(nodeId, group, /* bootstrap= */ true);
      TestCluster.await(() -> isReady(nodeId));
      TestCluster.await(() -> change(nodeId, 0).statusCode() == 200);
      stop(nodeId);
    }
    fault.apply(dataDir(nodeId));
    start(nodeId, group, fault.firstStart);
    assertReports(nodeId, fault);
    fault.repair(dataDir(nodeId));
    if (fault.state != StorageState.FAILED) {
      stop(nodeId);
      start(nodeId, group, /* bootstrap= */ false);
    }
    TestCluster.await(() -> isReady(nodeId));
    assertThat(json(get(nodeId, "/v1/control")).path("storage").asText(), is("open"));
    long version = fault.firstStart ? 0 : 1;
    assertThat(change(nodeId, version).statusCode(), is(200));
  }

  /** A follower writes its hard state only in a new term, so that fault does not show here. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "HARD_STATE_NOT_WRITABLE")
  void groupServesChangesBesideUnusableFolder(Fault fault) throws Exception {
    String damaged = GROUP.get(2);
    if (fault.firstStart) {
      fault.apply(dataDir(damaged));
    }
    for (String nodeId : GROUP) {
      start(nodeId, GROUP, /* bootstrap= */ true);
    }
    TestCluster.await(() -> isReady(GROUP.get(0)));
    TestCluster.await(() -> change(GROUP.get(0), 0).statusCode() == 200);
    if (!fault.firstStart) {
      TestCluster.await(() -> isReady(damaged));
      stop(damaged);
      fault.apply(dataDir(damaged));
      start(damaged, GROUP, /* bootstrap= */ false);
    }
    TestCluster.await(() -> change(GROUP.get(0), 1).statusCode() == 200);
    TestCluster.await(() -> change(GROUP.get(1), 2).statusCode() == 200);
    if (fault.state == StorageState.FAILED) {
      assertReports(damaged, fault);
      fault.repair(dataDir(damaged));
    }
    if (fault.state == StorageState.UNKNOWN_FORMAT) {
      assertReports(damaged, fault);
    } else {
      TestCluster.await(() -> isReady(damaged));
      assertThat(json(get(damaged, "/v1/control")).path("version").asLong(), is(3L));
      TestCluster.await(() -> json(get(damaged, "/v1/control")).path("voter").asBoolean());
    }
  }
}
