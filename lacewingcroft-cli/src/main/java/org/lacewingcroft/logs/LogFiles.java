package org.lacewingcroft.logs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Reads the JSON Lines logs of several processes. Text before the JSON object of a line, such as
 * the time and host added by a log collector, is skipped. Lines without a JSON object that has a
 * clock timestamp are skipped too, such as JVM messages and the truncated last line of a killed
 * process.
 */
public final class LogFiles {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern TIMESTAMP = Pattern.compile("\\d+\\.\\d+");

  private LogFiles() {}

  /**
   * Returns the log lines of all files in causal order.
   *
   * @param paths log files, and directories whose regular files are read, without subdirectories
   * @throws IOException if a file cannot be read
   */
  public static List<LogLine> merge(List<Path> paths) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    for (Path path : paths) {
      if (Files.isDirectory(path)) {
        try (Stream<Path> files = Files.list(path)) {
          for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
            read(file, lines);
          }
        }
      } else {
        read(path, lines);
      }
    }
    lines.sort(LogLine.CAUSAL_ORDER);
    return lines;
  }

  private static void read(Path file, List<LogLine> lines) throws IOException {
    try (Stream<String> raw = Files.lines(file)) {
      raw.forEach(line -> parse(line).ifPresent(lines::add));
    }
  }

  /** Parses a line of text, or returns empty if it has no log line. */
  static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = JSON.readTree(text.substring(start));
      String timestamp = fields.path("hlc").asText("");
      if (!TIMESTAMP.matcher(timestamp).matches()) {
        return Optional.empty();
      }
      String node = fields.path("node").asText("");
      return Optional.of(new LogLine(timestamp, node, fields.path("event").asText(""), fields));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
