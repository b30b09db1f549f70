package org.lacewingcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.lacewingcroft.logs.CrashSuspectReport;
import org.lacewingcroft.logs.LogFiles;
import org.lacewingcroft.logs.LogLine;
import org.lacewingcroft.logs.ReportPlot;
import org.lacewingcroft.logs.RequestOutcomes;
import org.lacewingcroft.logs.ServiceReport;
import org.lacewingcroft.logs.TrafficReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reports from the logs of the entries which requests were served, which were not, and why. */
@Command(
    name = "report",
    description =
        "Tables of requests served and lost by route, entry, cause, target and second,"
            + " of request contents in progress at endpoints with lost connections,"
            + " and of messages between instances by kind.")
final class ReportCommand implements Callable<Integer> {
  @Spec CommandSpec spec;

  @Parameters(arity = "1..*", description = "log files of the entries, or directories of them")
  List<Path> files;

  @Option(
      names = "--weight",
      description = "weight of a request by route, as ROUTE=NUMBER; default: 1")
  Map<String, Double> weightByRoute = Map.of();

  @Option(names = "--plot", description = "also plot the results by second into this PNG file")
  Path plot;

  @Override
  public Integer call() throws IOException {
    List<LogLine> lines = LogFiles.merge(files);
    ServiceReport report = new ServiceReport(RequestOutcomes.of(lines), weightByRoute);
    spec.commandLine().getOut().print(report.text());
    spec.commandLine().getOut().print(new CrashSuspectReport(lines).text());
    spec.commandLine().getOut().print(new TrafficReport(lines).text());
    spec.commandLine().getOut().flush();
    if (plot != null) {
      ReportPlot.write(report, plot);
    }
    return 0;
  }
}
