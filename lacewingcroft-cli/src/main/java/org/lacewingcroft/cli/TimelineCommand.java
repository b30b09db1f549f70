package org.lacewingcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.lacewingcroft.logs.LogFiles;
import org.lacewingcroft.logs.LogLine;
import org.lacewingcroft.logs.TimelineFilter;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Merges the JSON Lines logs of several processes into one timeline, ordered by hybrid logical
 * clock timestamp, then by node id.
 */
@Command(name = "timeline", description = "Merge JSON Lines logs into one ordered timeline.")
final class TimelineCommand implements Callable<Integer> {
  private static final int NOTHING_FOUND_STATUS = 1;

  @Spec CommandSpec spec;

  @Parameters(arity = "1..*", description = "log files, or directories of them")
  List<Path> files;

  @ArgGroup Subject subject;

  @Option(names = "--grep", description = "only lines containing this text")
  String grep;

  /** The subject whose lines are printed, at most one. */
  static final class Subject {
    @Option(names = "--request", description = "only lines that concern the request with this id")
    String request;

    @Option(names = "--endpoint", description = "only lines about the endpoint with this id")
    String endpoint;

    @Option(names = "--config-version", description = "only lines about this configuration version")
    String version;
  }

  @Override
  public Integer call() throws IOException {
    List<LogLine> lines = select(LogFiles.merge(files));
    for (LogLine line : lines) {
      String text = line.toString();
      if (grep == null || text.contains(grep)) {
        spec.commandLine().getOut().println(text);
      }
    }
    return subject != null && lines.isEmpty() ? NOTHING_FOUND_STATUS : 0;
  }

  private List<LogLine> select(List<LogLine> lines) {
    TimelineFilter filter = new TimelineFilter(lines);
    if (subject == null) {
      return lines;
    } else if (subject.request != null) {
      return filter.ofRequest(subject.request);
    } else if (subject.endpoint != null) {
      return filter.ofEndpoint(subject.endpoint);
    }
    return filter.ofVersion(subject.version);
  }
}
