package org.lacewingcroft.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends non-idempotent orders, with resends, to one region of the demo deployment while its entries
 * are killed, frozen and stopped in turn. Reports whether any order ran twice, or ran although
 * every response reported it as not run.
 */
public final class OrderBench {
  private static final String REGION = "uusimaa";
  private static final long FAULT_INTERVAL_MILLIS = 6_000;
  private static final long FREEZE_MILLIS = 1_500;

  private final int seconds;
  private final Consumer<String> out;

  /** Creates a benchmark that runs for the given time and writes its report to the consumer. */
  public OrderBench(int seconds, Consumer<String> out) {
    this.seconds = seconds;
    this.out = out;
  }

  /**
   * Runs the benchmark.
   *
   * @param workDir the directory for logs and data
   * @return whether no order ran twice and no response reported a wrong outcome
   * @throws Exception if the deployment does not start
   */
  public boolean run(Path workDir) throws Exception {
    try (LocalDeployment deployment = LocalDeployment.start(DemoDeployment.topology(), workDir)) {
      List<String> entries = List.of(REGION + "-entry-1", REGION + "-entry-2");
      List<String> deskRunners =
          deployment.standinUrlsByGroup().entrySet().stream()
              .filter(group -> group.getKey().startsWith("desk-"))
              .flatMap(group -> group.getValue().stream())
              .toList();
      OrderLoad load = new OrderLoad(deployment, entries, deskRunners, "bench");
      final CompletableFuture<Void> sending = load.start();
      int faults = injectFaults(deployment, entries);
      load.finish(sending);
      out.accept("faults " + faults + ", " + load.summary());
      out.accept(
          "keys with different orders "
              + load.keysWithDifferentOrders().size()
              + ", served and not run "
              + load.servedKeysNotRun().size()
              + ", refused and run "
              + load.refusedKeysThatRan().size());
      return load.runsByKey().values().stream().allMatch(runs -> runs <= 1)
          && load.keysWithDifferentOrders().isEmpty()
          && load.servedKeysNotRun().isEmpty()
          && load.refusedKeysThatRan().isEmpty();
    }
  }

  private int injectFaults(LocalDeployment deployment, List<String> entries) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    int faults = 0;
    while (System.nanoTime() < until) {
      OrderLoad.sleep(FAULT_INTERVAL_MILLIS);
      String entry = entries.get(faults % entries.size());
      switch (faults % 3) {
        case 0 -> {
          deployment.kill(entry);
          deployment.restart(entry);
        }
        case 1 -> {
          deployment.freeze(entry);
          OrderLoad.sleep(FREEZE_MILLIS);
          deployment.resume(entry);
        }
        default -> {
          deployment.terminate(entry);
          deployment.restart(entry);
        }
      }
      deployment.awaitEndpoints(entry);
      faults++;
    }
    return faults;
  }
}
