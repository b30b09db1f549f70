package org.lacewingcroft.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.logs.RequestOutcome.Result;

/** Tests that each request is counted once, with its result taken from the entries' log lines. */
class ServiceReportTest {
  static Stream<Arguments> finishedRequests() {
    return Stream.of(
        Arguments.of("served", 200, true, Result.SERVED, ""),
        Arguments.of("served", 404, true, Result.SERVED, ""),
        Arguments.of("served", 500, true, Result.FAILED, "answered 500"),
        Arguments.of(
            "every endpoint is full", 503, false, Result.REFUSED, "every endpoint is full"),
        Arguments.of("every endpoint is full", 503, true, Result.FAILED, "every endpoint is full"),
        Arguments.of("no answer in time", 504, false, Result.FAILED, "no answer in time"),
        Arguments.of("caller left", 0, true, Result.LEFT, "caller left"));
  }

  @ParameterizedTest
  @MethodSource("finishedRequests")
  void classifiesResultAndCause(
      String outcome, int status, boolean mayHaveRun, Result result, String cause) {
    List<RequestOutcome> outcomes =
        outcomes(SampleLog.finished(100, "north-1", "r-1", outcome, status, mayHaveRun));
    assertThat(outcomes, hasSize(1));
    assertThat(outcomes.get(0).result(), is(result));
    assertThat(outcomes.get(0).cause(), is(cause));
  }

  @Test
  void countsRelayedRequestOnceAtItsFirstEntry() {
    List<RequestOutcome> outcomes =
        outcomes(
            SampleLog.relayed(10, "north-1", "r-1", "south-1"),
            SampleLog.placed(15, "south-1", "r-1", "i-1"),
            SampleLog.finished(20, "south-1", "r-1", "served", 200, true),
            SampleLog.finished(25, "north-1", "r-1", "served", 200, true),
            SampleLog.finished(90, "south-1", "r-1", "served", 200, true));
    assertThat(
        outcomes.stream().map(RequestOutcome::node).toList(), is(List.of("north-1", "south-1")));
    assertThat(outcomes.get(0).target(), is("south-1"));
  }

  @Test
  void causeNamesTheLastFailedAttempt() {
    List<RequestOutcome> outcomes =
        outcomes(
            SampleLog.placed(10, "north-1", "r-1", "i-1"),
            SampleLog.line(
                15, "north-1", "request.try_failed", "request", "r-1", "what", "unreachable"),
            SampleLog.placed(16, "north-1", "r-1", "i-2"),
            SampleLog.line(17, "north-1", "request.try_failed", "request", "r-1", "what", "broken"),
            SampleLog.finished(20, "north-1", "r-1", "the endpoint failed", 502, true));
    assertThat(outcomes.get(0).cause(), is("the endpoint failed, after a failed attempt: broken"));
    assertThat(outcomes.get(0).target(), is("i-2"));
  }

  @Test
  void weighsRequestsNotServedAndSortsByWeight() {
    ServiceReport report =
        new ServiceReport(
            outcomes(
                SampleLog.finished(100, "north-1", "r-1", "served", 200, true),
                SampleLog.finished(1_200, "south-1", "r-2", "no answer in time", 504, true),
                SampleLog.finished(1_300, "south-1", "r-3", "served", 200, true)),
            Map.of("chat", 2.5));
    OutcomeCounts second = report.countsBySecond().get(1L);
    assertThat(second.count(Result.FAILED), is(1L));
    assertThat(second.count(Result.SERVED), is(1L));
    assertThat(second.notServedWeight(), is(2.5));
    String byEntry = report.text().substring(report.text().indexOf("by entry"));
    assertThat(byEntry.lines().toList().get(2), containsString("south-1"));
  }

  @Test
  void lateResponsesAreListedByTheirLongestStage() {
    ServiceReport report =
        new ServiceReport(
            outcomes(
                SampleLog.line(0, "north-1", "instance.started", "region", "north"),
                late(100, "r-1", 400, 700),
                late(200, "r-2", 900, 30),
                late(300, "r-3", 10, 20)),
            Map.of());
    assertThat(report.countsBy(RequestOutcome::region).get("north").late(), is(2L));
    String byStage = report.text().substring(report.text().indexOf("longest stage"));
    assertThat(
        byStage.lines().skip(2).limit(2).map(row -> row.substring(0, 20).trim()).toList(),
        containsInAnyOrder("chat: endpoint", "chat: queue"));
  }

  private static String late(long millis, String request, long queueMillis, long endpointMillis) {
    return SampleLog.finished(
        millis,
        "north-1",
        request,
        "served",
        200,
        true,
        "queueMillis",
        queueMillis,
        "endpointMillis",
        endpointMillis,
        "firstByteMillis",
        queueMillis + endpointMillis,
        "objectiveMillis",
        500);
  }

  private static List<RequestOutcome> outcomes(String... lines) {
    return RequestOutcomes.of(
        Stream.of(lines).map(text -> LogFiles.parse(text).orElseThrow()).toList());
  }
}
