package org.lacewingcroft.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.SlopeBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the in-process slopes that docs/CAPACITY.md scales from; prints JSON lines. */
@Command(name = "slopes", description = "Measure routing, configuration and membership slopes.")
final class SlopesBenchCommand implements Callable<Integer> {
  @Option(names = "--members", split = ",", defaultValue = "27,108,351")
  List<Integer> members;

  @Option(names = "--endpoints", split = ",", defaultValue = "25,100,400,1600")
  List<Integer> endpoints;

  @Option(names = "--organisations", split = ",", defaultValue = "1000,16000,48000")
  List<Integer> organisations;

  @Option(
      names = "--seconds",
      defaultValue = "40",
      description = "membership run per size; 0 leaves it out")
  int seconds;

  @Option(names = "--interval-millis", defaultValue = "1000", description = "gossip interval")
  long intervalMillis;

  @Override
  public Integer call() throws Exception {
    SlopeBench bench = new SlopeBench(System.out::println);
    bench.routing(endpoints, 20_000);
    bench.configuration(organisations);
    bench.controlLog(200, 200);
    bench.controlLog(50, 200_000);
    if (seconds == 0) {
      return 0;
    }
    bench.membership(members, Duration.ofSeconds(seconds), Duration.ofMillis(intervalMillis));
    return 0;
  }
}
