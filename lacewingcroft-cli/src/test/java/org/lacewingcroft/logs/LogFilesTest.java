package org.lacewingcroft.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the logs of several processes merge into one timeline and other text is skipped. */
class LogFilesTest {
  @TempDir private Path directory;

  @Test
  void mergesFilesInCausalOrder() throws IOException {
    Files.writeString(
        directory.resolve("a.log"),
        SampleLog.line(30, "a", "third") + "\n" + SampleLog.line(10, "a", "first") + "\n");
    Files.writeString(
        directory.resolve("b.log"),
        "  12.5 host-b " + SampleLog.line(20, "b", "second") + "\nOpenJDK warning\n{\"hlc\":\"1");
    assertThat(events(LogFiles.merge(List.of(directory))), contains("first", "second", "third"));
    assertThat(events(LogFiles.merge(List.of(directory.resolve("b.log")))), contains("second"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "{", "{}", "{\"hlc\":\"\"}", "{\"hlc\":7}", "{\"hlc\":\"7\"}", "[1]", "text"})
  void skipsOtherText(String text) {
    assertThat(LogFiles.parse(text).isPresent(), is(false));
  }

  private static List<String> events(List<LogLine> lines) {
    return lines.stream().map(LogLine::event).toList();
  }
}
