package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusTiming;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.LogLimits;
import org.lacewingcroft.consensus.Output;

/**
 * Tests that a process with the heap of a control instance starts and runs with large documents.
 */
class LargeLogTest {
  private static final String MEMBER = "control-1";

  @TempDir private Path dataDir;

  /** Opens the log, makes changes as the only member of its group, and prints the last version. */
  static final class Member {
    public static void main(String[] args) throws IOException {
      try (DurableLog log = DurableLog.open(Path.of(args[0]), true)) {
        ConsensusMember member =
            new ConsensusMember(
                MEMBER,
                List.of(MEMBER),
                ConsensusTiming.DEFAULT,
                LogLimits.DEFAULT,
                log,
                new Random(1),
                0);
        member.tick(0);
        int changes = Integer.parseInt(args[1]);
        for (int i = 0; i < changes; i++) {
          long version = member.state().routing().version() + 1;
          Output out = member.submit(i, document(version, Integer.parseInt(args[2])), 0);
          if (!(out.decisions().get(0).result() instanceof ChangeResult.Accepted)) {
            throw new IOException("version " + version + " is not accepted");
          }
        }
        System.out.println("version " + member.state().routing().version());
      }
    }
  }

  private static Command.RoutingChange document(long version, int bytes) {
    return new Command.RoutingChange(version, (version + " ").repeat(bytes).substring(0, bytes));
  }

  private String run(int changes, int documentBytes) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                Member.class.getName(),
                dataDir.toString(),
                Integer.toString(changes),
                Integer.toString(documentBytes))
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(output, process.waitFor(), equalTo(0));
    return output;
  }

  /**
   * Guards against a start that needs several times the memory of its log, which a build without a
   * limit of its size may have left.
   */
  @ParameterizedTest
  @CsvSource({"115, 365000", "40, 1048576", "250, 4000"})
  void startsOnLogThatWasNotCompacted(int entries, int documentBytes) throws Exception {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      for (int i = 1; i <= entries; i++) {
        log.append(List.of(new LogEntry(i, 1, 0, document(i, documentBytes))));
      }
    }
    assertThat(run(1, documentBytes), containsString("version " + (entries + 1)));
  }

  /** Guards against a log that is limited by the number of its entries only. */
  @ParameterizedTest
  @CsvSource({"300, 365000", "300, 1048576", "2000, 4000"})
  void sizeStaysBoundedForAnyNumberOfChanges(int changes, int documentBytes) throws Exception {
    assertThat(run(changes, documentBytes), containsString("version " + changes));
    assertThat(run(0, documentBytes), containsString("version "));
    assertThat(run(1, documentBytes), containsString("version " + (changes + 1)));
    List<Path> files = new ArrayList<>();
    try (var paths = Files.list(dataDir)) {
      paths.forEach(files::add);
    }
    long sizeBytes = 0;
    for (Path file : files) {
      sizeBytes += Files.size(file);
    }
    assertThat(
        sizeBytes, lessThan(LogLimits.DEFAULT.compactAfterBytes() + 3L * documentBytes + 100_000));
  }
}
