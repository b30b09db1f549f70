package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lacewingcroft.config.ConfigParser;
import org.lacewingcroft.config.ConfigPatch;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.config.GatewayConfig;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.control.DurableLog;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.membership.Gossiper;
import org.lacewingcroft.membership.MemberStatus;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;
import org.lacewingcroft.routing.GatewayView;
import org.lacewingcroft.routing.RegionSummary;
import org.lacewingcroft.routing.RouteRequest;
import org.lacewingcroft.routing.Router;
import org.lacewingcroft.routing.RoutingPolicies;
import org.lacewingcroft.routing.RoutingPolicy;

/**
 * Measures in-process how cost grows with size, for the extrapolation in {@code docs/CAPACITY.md}:
 * the CPU time of a routing decision by number of endpoints, the CPU time and heap of a
 * configuration version by number of organisations, and the gossip bytes and CPU time of a daemon
 * by number of members. It also measures the append time of the control log. Each measurement
 * prints one JSON line.
 */
public final class SlopeBench {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int PATCH_ROUNDS = 50;
  private static final int MEMBERS_PER_REGION = 27;
  private static final int CONTROL_MEMBERS = 5;
  private static final GatewayView IDLE_VIEW =
      new GatewayView() {
        @Override
        public int inFlightTo(String endpointId) {
          return 0;
        }

        @Override
        public boolean recentlySentPrefix(String endpointId, String prefixHash) {
          return false;
        }

        @Override
        public List<RegionSummary> otherRegions() {
          return List.of();
        }
      };

  private final Consumer<String> out;

  /** Creates a benchmark that writes JSON lines to the given consumer. */
  public SlopeBench(Consumer<String> out) {
    this.out = out;
  }

  /** Measures the CPU time of a routing decision by number of endpoints in the directory. */
  public void routing(List<Integer> endpointCounts, int decisions) {
    GatewayConfig config =
        ConfigParser.parse(
                "selectors: [{name: w, work: {models: [writer]},"
                    + " endpoints: {matchLabels: {service: writers}}}]")
            .withVersion(1);
    for (RoutingPolicy policy : RoutingPolicies.all()) {
      for (int n : endpointCounts) {
        EndpointDirectory directory = EndpointDirectory.EMPTY;
        Instant now = Instant.ofEpochSecond(1_000);
        for (int i = 0; i < n; i++) {
          directory =
              directory.with(
                  new Endpoint(
                      "e" + i,
                      "http://127.0.0.1:1",
                      "uusimaa",
                      "uusimaa-" + (i % 3),
                      EndpointKind.ENGINE,
                      Map.of("service", "writers"),
                      Set.of("writer"),
                      8,
                      false,
                      false,
                      i % 8,
                      Set.of(),
                      0,
                      now.plusSeconds(60)));
        }
        Router router = new Router("uusimaa", policy);
        // Sums the hash codes of the results so that the JIT compiler cannot eliminate the calls.
        long sink = 0;
        for (int warmUpDecision = 0; warmUpDecision < decisions / 4; warmUpDecision++) {
          sink +=
              router.route(request(warmUpDecision), config, directory, IDLE_VIEW, now).hashCode();
        }
        long startCpuNanos = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < decisions; i++) {
          sink += router.route(request(i), config, directory, IDLE_VIEW, now).hashCode();
        }
        long cpuNanos = THREADS.getCurrentThreadCpuTime() - startCpuNanos;
        ObjectNode line = JSON.createObjectNode();
        line.put("bench", "routing");
        line.put("policy", policy.name());
        line.put("endpoints", n);
        line.put("decisions", decisions);
        line.put("cpuMicrosPerDecision", cpuNanos / 1000.0 / decisions);
        line.put("sink", sink % 2);
        out.accept(line.toString());
      }
    }
  }

  private static RouteRequest request(int i) {
    return new RouteRequest(
        "puhdas-seina", "writer", "normal", Set.of(), false, Set.of(), 4_000, "prefix-" + (i % 97));
  }

  /** Measures the CPU time and heap of a configuration version by number of organisations. */
  public void configuration(List<Integer> organisationCounts) {
    for (int n : organisationCounts) {
      StringBuilder yaml = new StringBuilder("selectors:\n");
      yaml.append("  - {name: w, work: {models: [writer]},")
          .append(" endpoints: {matchLabels: {service: writers}}}\norganisations:\n");
      for (int i = 0; i < n; i++) {
        yaml.append("  - {name: org-")
            .append(i)
            .append(", residency: [uusimaa, pirkanmaa], requestsPerSecond: 20}\n");
      }
      String document = yaml.toString();
      for (int warmUpRound = 0; warmUpRound < 3; warmUpRound++) {
        ConfigParser.parse(document);
      }
      int rounds = 5;
      long startCpuNanos = THREADS.getCurrentThreadCpuTime();
      for (int r = 0; r < rounds; r++) {
        ConfigParser.parse(document);
      }
      final long cpuNanos = (THREADS.getCurrentThreadCpuTime() - startCpuNanos) / rounds;
      final long heapBefore = usedHeapAfterGc();
      ConfigStore store = new ConfigStore();
      store.offer(1, document);
      long heapAfter = usedHeapAfterGc();
      ObjectNode line = JSON.createObjectNode();
      line.put("bench", "configuration");
      line.put("organisations", n);
      line.put("documentBytes", document.getBytes(StandardCharsets.UTF_8).length);
      line.put("parseCpuMillis", cpuNanos / 1e6);
      line.put("heapBytesHeld", heapAfter - heapBefore);
      String patch = "organisations: [{name: org-7, residency: [uusimaa], requestsPerSecond: 9}]";
      store.offerPatches(1, List.of(ConfigPatch.parse(patch)));
      long patchStartCpuNanos = THREADS.getCurrentThreadCpuTime();
      for (int v = 2; v < 2 + PATCH_ROUNDS; v++) {
        store.offerPatches(v, List.of(ConfigPatch.parse(patch)));
      }
      long patchNanos = (THREADS.getCurrentThreadCpuTime() - patchStartCpuNanos) / PATCH_ROUNDS;
      line.put("patchBytes", patch.length());
      line.put("patchCpuMicros", patchNanos / 1000.0);
      line.put("heapBytesHeldPatched", usedHeapAfterGc() - heapBefore);
      line.put("version", store.current().version());
      out.accept(line.toString());
    }
  }

  private static long usedHeapAfterGc() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime rt = Runtime.getRuntime();
    return rt.totalMemory() - rt.freeMemory();
  }

  /**
   * Runs the membership protocol of the given numbers of daemons in this process over the loopback
   * interface, with {@link #MEMBERS_PER_REGION} members per region. Measures the gossip bytes sent
   * per second and member and the CPU time of the process over the second half of each run, and the
   * busiest member's share of the bytes over the whole run. At the end of a run, it reads the
   * average size of the member tables and the number of suspected members. These are suspected
   * falsely, because no member stops during a run.
   */
  public void membership(List<Integer> memberCounts, Duration run, Duration interval)
      throws Exception {
    byte[] secret = "slope-bench-secret-0123456789".getBytes(StandardCharsets.UTF_8);
    for (int n : memberCounts) {
      Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
      List<PeerTransport> transports = new ArrayList<>();
      List<Membership> members = new ArrayList<>();
      String seed = null;
      for (int i = 0; i < n; i++) {
        PeerTransport transport = new PeerTransport(vertx, new FrameCodec(secret));
        Membership[] holder = new Membership[1];
        int port =
            transport
                .listen(
                    "127.0.0.1",
                    0,
                    (timestamp, m) -> {
                      if (m instanceof PeerMessage.Gossip g && holder[0] != null) {
                        holder[0].onGossip(g, 1);
                      }
                    })
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        String address = "127.0.0.1:" + port;
        if (seed == null) {
          seed = address;
        }
        String region = "region-" + (i / MEMBERS_PER_REGION);
        String role = i < CONTROL_MEMBERS ? MemberInfo.CONTROL : MemberInfo.ENTRY;
        MemberInfo self =
            new MemberInfo("node-" + i, role, region, region + "-a", address, address, 1);
        Membership m =
            new Membership(self, List.of(seed), transport, InstantSource.system(), interval);
        holder[0] = m;
        transports.add(transport);
        members.add(m);
      }
      long[] timers = new long[n];
      for (int i = 0; i < n; i++) {
        Membership m = members.get(i);
        timers[i] =
            vertx.setPeriodic(
                interval.toMillis(),
                id -> m.sendRound(new Gossiper.SelfReport(false, 1, Map.of("writer", 4))));
      }
      long settleMillis = run.toMillis() / 2;
      TimeUnit.MILLISECONDS.sleep(settleMillis);
      long startBytes = transports.stream().mapToLong(PeerTransport::bytesSent).sum();
      long startCpuNanos = processCpuNanos();
      long startNanos = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(run.toMillis() - settleMillis);
      long wallNanos = System.nanoTime() - startNanos;
      long bytes = transports.stream().mapToLong(PeerTransport::bytesSent).sum() - startBytes;
      long cpuNanos = processCpuNanos() - startCpuNanos;
      double wallSeconds = wallNanos / 1e9;
      double averageTableSize =
          members.stream().mapToInt(m -> m.table().all().size()).average().orElse(0);
      ObjectNode line = JSON.createObjectNode();
      line.put("bench", "membership");
      line.put("members", n);
      line.put("intervalMillis", interval.toMillis());
      line.put("knownPerMemberAverage", averageTableSize);
      line.put("bytesPerSecondPerMember", bytes / wallSeconds / n);
      long[] sortedBytes =
          transports.stream().mapToLong(PeerTransport::bytesSent).sorted().toArray();
      line.put(
          "bytesShareOfBusiestMember",
          sortedBytes[n - 1] * (double) n / Arrays.stream(sortedBytes).sum());
      line.put("suspected", members.stream().mapToLong(SlopeBench::suspectedCount).sum());
      line.put("cpuShareOfCorePerMember", cpuNanos / 1e9 / wallSeconds / n);
      out.accept(line.toString());
      for (long timer : timers) {
        vertx.cancelTimer(timer);
      }
      transports.forEach(PeerTransport::close);
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /**
   * Measures the duration of a durable append (write and fsync) to the control log on the local
   * disk, for changes of the given size in bytes.
   */
  public void controlLog(int appends, int changeBytes) throws Exception {
    java.nio.file.Path dir = java.nio.file.Files.createTempDirectory("lwc-log-bench");
    String document = "selectors: []\n#" + "x".repeat(Math.max(0, changeBytes - 16)) + "\n";
    org.HdrHistogram.Histogram micros = new org.HdrHistogram.Histogram(10_000_000L, 3);
    try (DurableLog log = DurableLog.open(dir, true)) {
      long startCpuNanos = THREADS.getCurrentThreadCpuTime();
      for (int i = 0; i < appends; i++) {
        long startNanos = System.nanoTime();
        log.append(
            List.of(
                new LogEntry(i + 1, 1, i + 1, new Command.ConfigChange("change-" + i, document))));
        micros.recordValue((System.nanoTime() - startNanos) / 1000);
      }
      long cpuNanos = THREADS.getCurrentThreadCpuTime() - startCpuNanos;
      ObjectNode line = JSON.createObjectNode();
      line.put("bench", "control-log");
      line.put("appends", appends);
      line.put("changeBytes", document.length());
      line.put("appendP50Micros", micros.getValueAtPercentile(50));
      line.put("appendP99Micros", micros.getValueAtPercentile(99));
      line.put("cpuMicrosPerAppend", cpuNanos / 1000.0 / appends);
      out.accept(line.toString());
    }
  }

  private static long suspectedCount(Membership m) {
    Instant now = Instant.now();
    return m.table().trackedMembers().stream()
        .filter(member -> m.table().status(member, now) != MemberStatus.ALIVE)
        .count();
  }

  private static long processCpuNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
