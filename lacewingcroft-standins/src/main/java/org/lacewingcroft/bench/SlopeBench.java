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
 * In-process measurements of the slopes {@code docs/CAPACITY.md} scales from: processor time of a
 * routing decision per known endpoint, processor time and heap of a configuration version per
 * organisation, and heartbeat bytes and processor time per daemon per member. Each measurement
 * prints one JSON line.
 */
public final class SlopeBench {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int PATCH_ROUNDS = 50;
  private static final int MEMBERS_PER_REGION = 27;
  private static final int CONTROL_MEMBERS = 5;
  private static final GatewayView IDLE =
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

  /** Creates the bench writing JSON lines to the given sink. */
  public SlopeBench(Consumer<String> out) {
    this.out = out;
  }

  /** Measures a routing decision's processor time against the endpoints in the directory. */
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
        long sink = 0;
        for (int warm = 0; warm < decisions / 4; warm++) {
          sink += router.route(request(warm), config, directory, IDLE, now).hashCode();
        }
        long cpu0 = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < decisions; i++) {
          sink += router.route(request(i), config, directory, IDLE, now).hashCode();
        }
        long cpuNanos = THREADS.getCurrentThreadCpuTime() - cpu0;
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

  /** Measures parsing and holding a configuration version against its organisations. */
  public void configuration(List<Integer> organisationCounts) {
    for (int n : organisationCounts) {
      StringBuilder doc = new StringBuilder("selectors:\n");
      doc.append("  - {name: w, work: {models: [writer]},")
          .append(" endpoints: {matchLabels: {service: writers}}}\norganisations:\n");
      for (int i = 0; i < n; i++) {
        doc.append("  - {name: org-")
            .append(i)
            .append(", residency: [uusimaa, pirkanmaa], requestsPerSecond: 20}\n");
      }
      String document = doc.toString();
      for (int warm = 0; warm < 3; warm++) {
        ConfigParser.parse(document);
      }
      int rounds = 5;
      long cpu0 = THREADS.getCurrentThreadCpuTime();
      for (int r = 0; r < rounds; r++) {
        ConfigParser.parse(document);
      }
      final long cpuNanos = (THREADS.getCurrentThreadCpuTime() - cpu0) / rounds;
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
      long patchCpu0 = THREADS.getCurrentThreadCpuTime();
      for (int v = 2; v < 2 + PATCH_ROUNDS; v++) {
        store.offerPatches(v, List.of(ConfigPatch.parse(patch)));
      }
      long patchNanos = (THREADS.getCurrentThreadCpuTime() - patchCpu0) / PATCH_ROUNDS;
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
   * Runs {@code members} in-process daemons' membership on loopback, {@link #MEMBERS_PER_REGION} in
   * a region, and measures in the second half of the given time the gossip bytes each sends per
   * second, the process's processor time, and how many members are suspected though all live.
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
        PeerTransport t = new PeerTransport(vertx, new FrameCodec(secret));
        Membership[] holder = new Membership[1];
        int port =
            t.listen(
                    "127.0.0.1",
                    0,
                    (stamp, m) -> {
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
        Membership m = new Membership(self, List.of(seed), t, InstantSource.system(), interval);
        holder[0] = m;
        transports.add(t);
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
      long settle = run.toMillis() / 2;
      TimeUnit.MILLISECONDS.sleep(settle);
      long bytes0 = transports.stream().mapToLong(PeerTransport::bytesSent).sum();
      long cpu0 = processCpuNanos();
      long wall0 = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(run.toMillis() - settle);
      long seconds = System.nanoTime() - wall0;
      long bytes = transports.stream().mapToLong(PeerTransport::bytesSent).sum() - bytes0;
      long cpu = processCpuNanos() - cpu0;
      double wallSeconds = seconds / 1e9;
      double knownAverage =
          members.stream().mapToInt(m -> m.table().all().size()).average().orElse(0);
      ObjectNode line = JSON.createObjectNode();
      line.put("bench", "membership");
      line.put("members", n);
      line.put("intervalMillis", interval.toMillis());
      line.put("knownPerMemberAverage", knownAverage);
      line.put("bytesPerSecondPerMember", bytes / wallSeconds / n);
      long[] most = transports.stream().mapToLong(PeerTransport::bytesSent).sorted().toArray();
      line.put("bytesShareOfBusiestMember", most[n - 1] * (double) n / Arrays.stream(most).sum());
      line.put("suspected", members.stream().mapToLong(SlopeBench::suspected).sum());
      line.put("cpuShareOfCorePerMember", cpu / 1e9 / wallSeconds / n);
      out.accept(line.toString());
      for (long timer : timers) {
        vertx.cancelTimer(timer);
      }
      transports.forEach(PeerTransport::close);
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /**
   * Measures the control log's durable append (write plus fsync) on this machine's disk, for a
   * change of the given size in bytes.
   */
  public void controlLog(int appends, int changeBytes) throws Exception {
    java.nio.file.Path dir = java.nio.file.Files.createTempDirectory("lwc-log-bench");
    String document = "selectors: []\n#" + "x".repeat(Math.max(0, changeBytes - 16)) + "\n";
    org.HdrHistogram.Histogram micros = new org.HdrHistogram.Histogram(10_000_000L, 3);
    try (DurableLog log = DurableLog.open(dir, true)) {
      long cpu0 = THREADS.getCurrentThreadCpuTime();
      for (int i = 0; i < appends; i++) {
        long t0 = System.nanoTime();
        log.append(
            List.of(
                new LogEntry(i + 1, 1, i + 1, new Command.ConfigChange("change-" + i, document))));
        micros.recordValue((System.nanoTime() - t0) / 1000);
      }
      long cpuNanos = THREADS.getCurrentThreadCpuTime() - cpu0;
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

  private static long suspected(Membership m) {
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
