package org.lacewingcroft.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests which request contents are reported as suspected of crashing endpoints. */
class CrashSuspectReportTest {
  private static String placed(String request, String fingerprint, String sender, String target) {
    return SampleLog.line(
        1,
        "n",
        "request.placed",
        "request",
        request,
        "fingerprint",
        fingerprint,
        "sender",
        sender,
        "target",
        target);
  }

  private static String failed(String fingerprint, String what, String target) {
    return SampleLog.line(
        2, "n", "request.try_failed", "fingerprint", fingerprint, "what", what, "target", target);
  }

  private static CrashSuspectReport report(String... lines) {
    return new CrashSuspectReport(
        Stream.of(lines).map(line -> LogFiles.parse(line).orElseThrow()).toList());
  }

  @Test
  void listsRecurringContentFirst() {
    CrashSuspectReport report =
        report(
            placed("r-1", "f-once", "10.0.0.1", "i-1"),
            placed("r-2", "f-again", "10.0.0.2", "i-1"),
            failed("f-once", "broken", "i-1"),
            failed("f-again", "broken", "i-1"),
            placed("r-3", "f-again", "10.0.0.2", "i-2"),
            placed("r-3", "f-again", "10.0.0.9", "i-2"),
            failed("f-again", "broken", "i-2"),
            failed("f-again", "broken", "i-2"));
    assertThat(report.suspects().get(0).endpoints(), is(Set.of("i-1", "i-2")));
    assertThat(report.suspects().get(0).senders(), is(Set.of("10.0.0.2")));
    assertThat(report.suspects().get(1).fingerprint(), is("f-once"));
    assertThat(report.text(), containsString("i-1 i-2"));
  }

  @Test
  void ignoresEntriesAndOtherFailures() {
    String relay =
        SampleLog.line(
            1,
            "n",
            "request.placed",
            "fingerprint",
            "f",
            "sender",
            "s",
            "target",
            "entry",
            "region",
            "south");
    CrashSuspectReport report =
        report(relay, failed("f", "broken", "entry"), failed("f", "unreachable", "i-1"));
    assertThat(report.suspects(), is(List.of()));
    assertThat(report.text(), is(""));
  }
}
