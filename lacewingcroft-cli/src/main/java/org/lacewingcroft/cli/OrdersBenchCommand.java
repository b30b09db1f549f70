package org.lacewingcroft.cli;

import java.nio.file.Files;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.OrderBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Sends non-idempotent orders while faults are injected. Exits with status 1 if an order ran twice
 * or a response reported a wrong outcome.
 */
@Command(
    name = "orders",
    description = "At-most-once execution with killed, frozen and stopped entries.")
final class OrdersBenchCommand implements Callable<Integer> {
  @Option(names = "--seconds", defaultValue = "60", description = "duration of the load")
  int seconds;

  @Override
  public Integer call() throws Exception {
    boolean ok =
        new OrderBench(seconds, System.out::println)
            .run(Files.createTempDirectory("lacewingcroft-orders"));
    return ok ? 0 : 1;
  }
}
