package org.lacewingcroft.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.SlopeBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures in-process how cost grows with size. docs/CAPACITY.md extrapolates from the results,
 * which are printed as JSON lines.
 */
@Command(
    name = "slopes",
    description = "Measure how routing, configuration and membership cost grows with size.")
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
      description = "duration of the membership run per size; 0 skips it")
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
