package org.lacewingcroft.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Merges the JSON-line logs of many processes into one time line ordered by hybrid logical clock
 * stamp, then node id. Lines that are not JSON log lines (such as a JVM's own messages) are
 * skipped.
 */
@Command(name = "timeline", description = "Merge JSON-line logs into one ordered time line.")
final class TimelineCommand implements Callable<Integer> {
  private static final ObjectMapper JSON = new ObjectMapper();

  @Parameters(arity = "1..*", description = "log files")
  List<Path> files;

  @Option(names = "--grep", description = "only lines containing this text")
  String grep;

  @Override
  public Integer call() throws IOException {
    for (JsonNode line : merge(files)) {
      String text = line.toString();
      if (grep == null || text.contains(grep)) {
        System.out.println(text);
      }
    }
    return 0;
  }

  /** Returns the log lines of all files in time-line order. */
  static List<JsonNode> merge(List<Path> files) throws IOException {
    List<JsonNode> lines = new ArrayList<>();
    for (Path file : files) {
      for (String raw : Files.readAllLines(file)) {
        if (!raw.startsWith("{")) {
          continue;
        }
        try {
          JsonNode n = JSON.readTree(raw);
          if (n.hasNonNull("hlc")) {
            lines.add(n);
          }
        } catch (IOException e) {
          // A torn last line of a killed process is not part of the time line.
        }
      }
    }
    lines.sort(
        Comparator.comparing((JsonNode n) -> n.get("hlc").asText())
            .thenComparing(n -> n.path("node").asText()));
    return lines;
  }
}
