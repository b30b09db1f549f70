package org.lacewingcroft.cli;

import java.nio.file.Files;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.OrderBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends non-idempotent orders under faults; exits with 1 if any ran twice or an answer lied. */
@Command(name = "orders", description = "At-most-once under killed, frozen and stopped entries.")
final class OrdersBenchCommand implements Callable<Integer> {
  @Option(names = "--seconds", defaultValue = "60", description = "how long orders are sent")
  int seconds;

  @Override
  public Integer call() throws Exception {
    boolean ok =
        new OrderBench(seconds, System.out::println)
            .run(Files.createTempDirectory("lacewingcroft-orders"));
    return ok ? 0 : 1;
  }
}
