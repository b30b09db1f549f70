package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Applies configuration changes to a local deployment while daemons are killed, frozen and
 * partitioned and lose their disks. Some changes are sent concurrently with a conflicting one, and
 * some are resent. Measures the time until a change is active on all daemons, and whether any
 * change was lost or reverted.
 */
public final class ConfigBench {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CHANGES_PER_RACE = 5;
  private static final int CHANGES_PER_RESEND = 7;
  private static final int MAX_SENDS = 60;
  private static final long RETRY_MILLIS = 200;
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

  private final Options options;
  private final Consumer<String> out;
  private final Random random;
  private final List<Accepted> accepted = new ArrayList<>();
  private final Map<String, List<Disturbance>> disturbances = new LinkedHashMap<>();
  private LocalDeployment deployment;
  private int conflicts;
  private int resends;
  private int wrongResends;

  /**
   * The parameters of a run.
   *
   * @param changes the number of changes to apply
   * @param controls the number of control daemons, 3 or 5
   * @param delayMillis the injected one-way delay between regions, in milliseconds
   * @param intervalMillis the time to wait after each change, in milliseconds
   * @param faults whether faults are injected
   * @param seed the seed of the random choices of faults and control daemons
   */
  public record Options(
      int changes,
      int controls,
      long delayMillis,
      long intervalMillis,
      boolean faults,
      long seed) {}

  /** An accepted change, with the times of its first send and of the response that accepted it. */
  private record Accepted(String changeId, long version, long sentNanos, long ackedNanos) {}

  /** A period in which a daemon was affected by a fault or recovered from it. */
  private record Disturbance(long fromNanos, long untilNanos) {}

  private enum Fault {
    KILL_CONTROL,
    KILL_ENTRY,
    FREEZE_CONTROL,
    CUT_REGION,
    LOSE_DISK
  }

  /** Creates a benchmark that writes its report to the given consumer. */
  public ConfigBench(Options options, Consumer<String> out) {
    this.options = options;
    this.out = out;
    this.random = new Random(options.seed());
  }

  /**
   * Runs the benchmark.
   *
   * @param workDir the directory for logs and data
   * @return whether no accepted change was lost or reverted, every resend returned the version of
   *     its change, and all daemons have the same document
   * @throws Exception if the deployment does not start
   */
  public boolean run(Path workDir) throws Exception {
    LocalDeployment.Topology topology =
        new LocalDeployment.Topology(
            DemoDeployment.REGIONS,
            2,
            options.controls(),
            List.of(),
            document("start"),
            List.of("--fault-injection"));
    try (LocalDeployment started = LocalDeployment.start(topology, workDir)) {
      deployment = started;
      List<String> nodes = new ArrayList<>(started.controlNodes());
      nodes.addAll(started.entryUrls().keySet());
      nodes.forEach(n -> disturbances.put(n, new ArrayList<>()));
      for (String node : nodes) {
        started.injectFaults(node, Set.of(), options.delayMillis());
      }
      try (VersionWatcher watcher = new VersionWatcher(started, nodes)) {
        return runWatched(watcher, nodes);
      }
    }
  }

  private boolean runWatched(VersionWatcher watcher, List<String> nodes) throws Exception {
    Thread faults = new Thread(this::injectFaults, "faults");
    if (options.faults()) {
      faults.start();
    }
    long version = deployment.client().configVersion(anyControl());
    for (int i = 0; i < options.changes(); i++) {
      version =
          i % CHANGES_PER_RACE == 0
              ? sendConflictingChanges(i, version)
              : applyUntilAccepted("change-" + i, version);
      if (i % CHANGES_PER_RESEND == 0) {
        resendLast();
      }
      TimeUnit.MILLISECONDS.sleep(options.intervalMillis());
    }
    faults.interrupt();
    faults.join();
    long lastVersion = accepted.get(accepted.size() - 1).version();
    for (String node : nodes) {
      LocalDeployment.awaitCondition(
          node + " has version " + lastVersion,
          () -> deployment.client().configVersion(deployment.urlOf(node)) >= lastVersion);
    }
    long distinctDocuments =
        nodes.stream()
            .map(node -> deployment.client().configDocument(deployment.urlOf(node)))
            .distinct()
            .count();
    return report(watcher, nodes, lostChanges()) && distinctDocuments == 1;
  }

  private static String document(String changeId) {
    return DemoDeployment.resource("demo/selectors.yaml") + "# " + changeId + "\n";
  }

  private String anyControl() {
    List<String> urls = deployment.controlUrls();
    return urls.get(random.nextInt(urls.size()));
  }

  /** Sends a change to a random control daemon: about two of three as patches, the rest as PUT. */
  private Optional<HttpResponse<String>> sendChange(String changeId, long expected) {
    boolean patch = Math.floorMod(changeId.hashCode(), 3) != 0;
    return patch
        ? deployment
            .client()
            .sendChange(
                DaemonClient.ChangeKind.PATCH,
                anyControl(),
                changeId,
                expected,
                "organisations: [{name: " + changeId + "}]")
        : deployment
            .client()
            .sendChange(
                DaemonClient.ChangeKind.PUT, anyControl(), changeId, expected, document(changeId));
  }

  /** Sends a change until it is accepted, rebases it on conflicts and returns its version. */
  private long applyUntilAccepted(String changeId, long expectedVersion) throws Exception {
    long expected = expectedVersion;
    for (int rebase = 0; rebase < MAX_SENDS; rebase++) {
      String id = rebase == 0 ? changeId : changeId + "-rebased-" + rebase;
      Optional<Long> version = sendUntilFinal(id, expected);
      if (version.isPresent()) {
        return version.get();
      }
      expected = Math.max(expected, highestVersion());
    }
    throw new IllegalStateException(changeId + " was never accepted");
  }

  private long highestVersion() {
    return deployment.controlUrls().stream()
        .mapToLong(deployment.client()::configVersion)
        .max()
        .orElse(0);
  }

  /**
   * Sends a change and resends it with the same id to random control daemons while the response is
   * lost or retryable. Returns the version of the change, or empty on a conflict.
   */
  private Optional<Long> sendUntilFinal(String changeId, long expected) throws Exception {
    final long sentNanos = System.nanoTime();
    for (int send = 0; send < MAX_SENDS; send++) {
      Optional<HttpResponse<String>> response = sendChange(changeId, expected);
      int status = response.map(HttpResponse::statusCode).orElse(0);
      if (status == 200) {
        long version = DaemonClient.acceptedVersion(response);
        recordAccepted(new Accepted(changeId, version, sentNanos, System.nanoTime()));
        return Optional.of(version);
      }
      if (status == 409) {
        countConflict();
        return Optional.empty();
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    throw new IllegalStateException(changeId + " received no final response");
  }

  private synchronized void recordAccepted(Accepted change) {
    accepted.add(change);
  }

  private synchronized void countConflict() {
    conflicts++;
  }

  /**
   * Sends two changes with the same expected version concurrently and returns the version of the
   * accepted one. At most one of them may be accepted. If neither is, sends another change until it
   * is accepted.
   */
  private long sendConflictingChanges(int i, long expected) throws Exception {
    CompletableFuture<Optional<Long>> concurrentChange =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return sendUntilFinal("rival-" + i, expected);
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    Optional<Long> ownVersion = sendUntilFinal("change-" + i, expected);
    Optional<Long> concurrentVersion = concurrentChange.get(120, TimeUnit.SECONDS);
    if (ownVersion.isPresent() && concurrentVersion.isPresent()) {
      throw new IllegalStateException(
          "both concurrent changes of version " + expected + " were accepted");
    }
    return ownVersion.or(() -> concurrentVersion).isPresent()
        ? ownVersion.or(() -> concurrentVersion).get()
        : applyUntilAccepted("after-race-" + i, highestVersion());
  }

  private void resendLast() throws Exception {
    Accepted last = accepted.get(accepted.size() - 1);
    if (resend(last) != last.version()) {
      wrongResends++;
    }
  }

  /** Resends an accepted change and returns the accepted version, or -1 if there is none. */
  private long resend(Accepted change) throws Exception {
    resends++;
    for (int send = 0; send < MAX_SENDS; send++) {
      Optional<HttpResponse<String>> response = sendChange(change.changeId(), change.version() - 1);
      int status = response.map(HttpResponse::statusCode).orElse(0);
      if (status == 200 || status == 409) {
        return DaemonClient.acceptedVersion(response);
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    return -1;
  }

  private long lostChanges() throws Exception {
    long lost = 0;
    for (Accepted change : accepted) {
      if (resend(change) != change.version()) {
        out.accept("lost: " + change);
        lost++;
      }
    }
    return lost;
  }

  /** Injects one fault after another until the thread is interrupted. */
  private void injectFaults() {
    Fault[] faults = Fault.values();
    int next = 0;
    try {
      while (!Thread.interrupted()) {
        TimeUnit.MILLISECONDS.sleep(800);
        inject(faults[next++ % faults.length]);
        TimeUnit.MILLISECONDS.sleep(1_500);
      }
    } catch (InterruptedException e) {
      // The run is complete.
    } catch (Exception e) {
      out.accept("fault injection failed: " + e);
    }
  }

  private void inject(Fault fault) throws Exception {
    List<String> controls = deployment.controlNodes();
    List<String> entries = new ArrayList<>(deployment.entryUrls().keySet());
    String control = controls.get(random.nextInt(controls.size()));
    final String entry = entries.get(random.nextInt(entries.size()));
    final long fromNanos = System.nanoTime();
    switch (fault) {
      case KILL_CONTROL -> killFor(control, 700);
      case KILL_ENTRY -> killFor(entry, 300);
      case FREEZE_CONTROL -> {
        deployment.freeze(control);
        sleepUninterrupted(2_500);
        deployment.resume(control);
        recordDisturbance(control, fromNanos);
      }
      case CUT_REGION -> partitionRegion(DemoDeployment.REGIONS.get(random.nextInt(3)), fromNanos);
      default -> {
        deployment.kill(control);
        deployment.loseDisk(control);
        restart(control, fromNanos);
      }
    }
  }

  private void killFor(String node, long downMillis) throws Exception {
    long fromNanos = System.nanoTime();
    deployment.kill(node);
    sleepUninterrupted(downMillis);
    restart(node, fromNanos);
  }

  private void restart(String node, long fromNanos) throws Exception {
    deployment.restart(node);
    deployment.injectFaults(node, Set.of(), options.delayMillis());
    recordDisturbance(node, fromNanos);
  }

  private void partitionRegion(String region, long fromNanos) throws Exception {
    Map<String, String> regions = deployment.regionsByNode();
    for (Map.Entry<String, String> node : regions.entrySet()) {
      Set<String> cutRegions =
          node.getValue().equals(region)
              ? Set.copyOf(DemoDeployment.REGIONS.stream().filter(r -> !r.equals(region)).toList())
              : Set.of(region);
      deployment.injectFaults(node.getKey(), cutRegions, options.delayMillis());
    }
    sleepUninterrupted(2_500);
    for (Map.Entry<String, String> node : regions.entrySet()) {
      deployment.injectFaults(node.getKey(), Set.of(), options.delayMillis());
      if (node.getValue().equals(region)) {
        recordDisturbance(node.getKey(), fromNanos);
      }
    }
  }

  /** Sleeps without interruption, so that an interrupt takes effect after the fault is undone. */
  private static void sleepUninterrupted(long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    boolean interrupted = false;
    while (System.nanoTime() < until) {
      try {
        TimeUnit.MILLISECONDS.sleep(10);
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordDisturbance(String node, long fromNanos) {
    long until = System.nanoTime() + RECOVERY_TIME.toNanos();
    synchronized (disturbances) {
      disturbances.get(node).add(new Disturbance(fromNanos, until));
    }
  }

  private boolean isUndisturbed(String node, long fromNanos, long untilNanos) {
    return disturbances.get(node).stream()
        .noneMatch(d -> d.fromNanos() <= untilNanos && fromNanos <= d.untilNanos());
  }

  private boolean report(VersionWatcher watcher, List<String> nodes, long lostChanges) {
    Histogram fromSend = new Histogram(3_600_000L, 3);
    Histogram fromAck = new Histogram(3_600_000L, 3);
    long excludedPairs = 0;
    for (Accepted change : accepted) {
      long everywhereNanos = change.ackedNanos();
      for (String node : nodes) {
        long activeAtNanos =
            watcher.activeSinceNanos(node, change.version()).orElse(Long.MAX_VALUE);
        if (isUndisturbed(node, change.sentNanos(), activeAtNanos)) {
          everywhereNanos = Math.max(everywhereNanos, activeAtNanos);
        } else {
          excludedPairs++;
        }
      }
      fromSend.recordValue((everywhereNanos - change.sentNanos()) / 1_000_000);
      fromAck.recordValue((everywhereNanos - change.ackedNanos()) / 1_000_000);
    }
    ObjectNode line = JSON.createObjectNode();
    line.put("bench", "config");
    line.put("controls", options.controls());
    line.put("daemons", nodes.size());
    line.put("delayMillis", options.delayMillis());
    line.put("faults", disturbances.values().stream().mapToInt(List::size).sum());
    line.put("accepted", accepted.size());
    line.put("conflicts", conflicts);
    line.put("resends", resends);
    line.put("wrongResends", wrongResends);
    line.put("lost", lostChanges);
    line.put("reverts", watcher.reverts());
    line.put("inForceFromAckP50Millis", fromAck.getValueAtPercentile(50));
    line.put("inForceFromAckP99Millis", fromAck.getValueAtPercentile(99));
    line.put("inForceFromSendP50Millis", fromSend.getValueAtPercentile(50));
    line.put("inForceFromSendP99Millis", fromSend.getValueAtPercentile(99));
    line.put("disturbedPairsLeftOut", excludedPairs);
    out.accept(line.toString());
    return lostChanges == 0 && wrongResends == 0 && watcher.reverts() == 0;
  }
}
