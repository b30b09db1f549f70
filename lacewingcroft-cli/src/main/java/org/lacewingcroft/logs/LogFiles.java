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
 * Reads the JSON-line logs of many processes. Text before a line's object, such as a collector's
 * time and host, is passed over; so are lines without an object that bears a clock stamp (a JVM's
 * own messages, the torn last line of a killed process).
 */
public final class LogFiles {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern STAMP = Pattern.compile("\\d+\\.\\d+");

  private LogFiles() {}

  /**
   * Returns the log lines of all files in causal order.
   *
   * @param paths files, or folders of which each file directly inside is read
   * @throws IOException if one cannot be read
   */
  public static List<LogLine> merge(List<Path> paths) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    for (Path path : paths) {
      if (Files.isDirectory(path)) {
        try (Stream<Path> inside = Files.list(path)) {
          for (Path file : inside.filter(Files::isRegularFile).sorted().toList()) {
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

  /** Returns the log line in a line of text, if there is one. */
  static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = JSON.readTree(text.substring(start));
      String stamp = fields.path("hlc").asText("");
      if (!STAMP.matcher(stamp).matches()) {
        return Optional.empty();
      }
      String node = fields.path("node").asText("");
      return Optional.of(new LogLine(stamp, node, fields.path("event").asText(""), fields));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
