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

  @Test
  void listsPromptPartThatNoServedRequestHas() {
    CrashSuspectReport report =
        report(
            failedParts("f-1", "shared bad", "i-1"),
            failedParts("f-2", "shared bad", "i-2"),
            failedParts("f-3", "shared other", "i-2"),
            finished("shared other", "served"),
            finished("shared bad", "the endpoint failed"));
    CrashSuspectReport.Suspect first = report.suspects().get(0);
    assertThat(first.fingerprint(), is("bad"));
    assertThat(first.kind(), is(CrashSuspectReport.Kind.PROMPT_PART));
    assertThat(first.endpoints(), is(Set.of("i-1", "i-2")));
    assertThat(
        report.suspects().stream().map(CrashSuspectReport.Suspect::fingerprint).toList(),
        is(List.of("bad", "f-1", "f-2", "f-3")));
  }

  private static String failedParts(String fingerprint, String promptParts, String target) {
    return SampleLog.line(
        2,
        "n",
        "request.try_failed",
        "fingerprint",
        fingerprint,
        "promptParts",
        promptParts,
        "what",
        "broken",
        "target",
        target);
  }

  private static String finished(String promptParts, String outcome) {
    return SampleLog.line(
        3, "n", "request.finished", "promptParts", promptParts, "outcome", outcome);
  }
}
