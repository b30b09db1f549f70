package org.lacewingcroft.lifecycle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.control.UnresponsiveFile;

/** Guards against a start that misreports the previous end or fails because of the marker file. */
class EndMarkerTest {
  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final Instant END = Instant.ofEpochSecond(1_500);

  @TempDir private Path directory;

  private interface Setup {
    void apply(Path dataDir) throws IOException;
  }

  private record Row(
      String name, boolean firstStart, Setup setup, String cause, boolean started, boolean ended) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Setup end(Optional<Throwable> failure, boolean stopped) {
    return dataDir -> {
      Instant[] now = {START};
      EndMarker marker = new EndMarker(Optional.of(dataDir), () -> now[0]);
      marker.begin(true);
      now[0] = END;
      failure.ifPresent(marker::markFailed);
      if (stopped) {
        marker.markStopped();
      }
    };
  }

  private static Setup content(String text) {
    return dataDir ->
        Files.writeString(Files.createDirectories(dataDir).resolve(EndMarker.FILE_NAME), text);
  }

  private static final Setup FILE_IS_DIRECTORY =
      dataDir -> Files.createDirectories(dataDir.resolve(EndMarker.FILE_NAME));

  static Stream<Row> rows() {
    Optional<Throwable> none = Optional.empty();
    Optional<Throwable> error = Optional.of(new IOException("two\nlines " + "x".repeat(5_000)));
    String failed = "failed: java.io.IOException: two lines " + "x".repeat(269);
    return Stream.of(
        new Row("missing at first start", true, d -> {}, "first_start", false, false),
        new Row("missing later", false, d -> {}, "not_recorded", false, false),
        new Row("killed", false, end(none, false), "not_recorded", true, false),
        new Row("stopped", false, end(none, true), "stopped", true, true),
        new Row("failed", false, end(error, false), failed, true, true),
        new Row("stopped after an error", false, end(error, true), "stopped", true, true),
        new Row("empty", false, content(""), "unknown", false, false),
        new Row("torn", false, content("stopped 1000000 15000"), "unknown", false, false),
        new Row("torn at its end", false, content("stopped 1 2 "), "unknown", false, false),
        new Row("other text", false, content("a b c d\n"), "unknown", false, false),
        new Row("too long", false, content("x".repeat(9_999)), "unknown", false, false),
        new Row("directory in its place", false, FILE_IS_DIRECTORY, "unknown", false, false),
        new Row(
            "data folder is a file",
            false,
            d -> Files.writeString(d, ""),
            "unknown",
            false,
            false));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void tellsHowThePreviousProcessEnded(Row row) throws IOException {
    Path dataDir = directory.resolve("data");
    row.setup().apply(dataDir);
    EndMarker marker = new EndMarker(Optional.of(dataDir), InstantSource.system());
    assertThat(
        marker.begin(row.firstStart()),
        equalTo(
            new PreviousEnd(
                row.cause(),
                Optional.of(START).filter(s -> row.started()),
                Optional.of(END).filter(e -> row.ended()))));
    marker.markStopped();
  }

  /** Neither a start nor a stop may wait for a disk that does not respond. */
  @Test
  @Timeout(10)
  void returnsWhileDiskDoesNotRespond() throws Exception {
    Path file = directory.resolve("data").resolve(EndMarker.FILE_NAME);
    EndMarker marker = new EndMarker(Optional.of(file.getParent()), () -> START);
    try (UnresponsiveFile unresponsive = UnresponsiveFile.create(file)) {
      assertThat(marker.begin(false), equalTo(PreviousEnd.UNKNOWN));
      marker.markStopped();
    }
  }
}
