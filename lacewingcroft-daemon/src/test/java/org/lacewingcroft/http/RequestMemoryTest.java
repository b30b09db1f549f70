package org.lacewingcroft.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against memory of requests beyond its bound, and against the wrong requests being ended.
 */
class RequestMemoryTest {
  private static final int KB = 1 << 10;

  /** The bound is 900 KB, of which large requests may use 675 KB. */
  private static final long MAX_HEAP_BYTES = 2_700 * KB;

  /**
   * A test case.
   *
   * @param kilobytes what is held for each request, in the order in which they arrive
   * @param complete how many of the first requests are complete
   * @param pipelined how many of the first requests have another one before them
   * @param ended the numbers of the requests that are ended
   */
  record TestCase(List<Integer> kilobytes, int complete, int pipelined, List<Integer> ended) {
    private TestCase(List<Integer> kilobytes, int complete, List<Integer> ended) {
      this(kilobytes, complete, 0, ended);
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase(List.of(600), 0, List.of()),
        new TestCase(List.of(676), 0, List.of(0)),
        new TestCase(List.of(300, 300), 0, List.of()),
        new TestCase(List.of(300, 200, 100, 100), 0, List.of(0)),
        new TestCase(List.of(100, 200, 300, 100), 0, List.of(2)),
        new TestCase(List.of(600, 100), 1, List.of(1)),
        new TestCase(List.of(600, 60), 1, List.of()),
        new TestCase(List.of(600, 60, 60, 60, 60, 60), 1, List.of()),
        new TestCase(List.of(600, 60, 60, 60, 60, 60, 50), 1, List.of(1, 2, 3)),
        new TestCase(List.of(300, 300, 100), 0, 1, List.of(1)),
        new TestCase(List.of(300, 300, 100), 2, 1, List.of(2)),
        new TestCase(List.of(500, 200), 2, 2, List.of(0)));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void endsTheLargestIncompleteRequests(TestCase testCase) {
    List<Long> endedBytes = new ArrayList<>();
    RequestMemory memory = new RequestMemory(MAX_HEAP_BYTES, endedBytes::add);
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int number = 0; number < testCase.kilobytes().size(); number++) {
      RequestAccount account = new RequestAccount(memory, /* chargesHeads= */ false);
      EmbeddedChannel channel = new EmbeddedChannel(account);
      channels.add(channel);
      if (number < testCase.pipelined()) {
        account.beginHead(new DefaultHttpHeaders());
      }
      account.beginHead(new DefaultHttpHeaders());
      account.charge((long) testCase.kilobytes().get(number) * KB);
      if (number < testCase.complete()) {
        channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }
    List<Integer> ended =
        IntStream.range(0, channels.size()).filter(n -> !channels.get(n).isOpen()).boxed().toList();
    assertThat(ended, equalTo(testCase.ended()));
    assertThat(endedBytes.size(), equalTo(ended.size()));
    long heldKilobytes =
        IntStream.range(0, channels.size())
            .filter(n -> !ended.contains(n))
            .mapToLong(testCase.kilobytes()::get)
            .sum();
    assertThat(memory.totalBytes(), equalTo(heldKilobytes * KB));
    for (EmbeddedChannel channel : channels) {
      if (channel.isOpen()) {
        for (int response = 0; response < 2; response++) {
          channel.writeOutbound(
              new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
              LastHttpContent.EMPTY_LAST_CONTENT);
        }
        channel.finishAndReleaseAll();
      }
    }
    assertThat(memory.totalBytes(), equalTo(0L));
  }

  /** The state of a connection. */
  private enum Use {
    NEW,
    IDLE,
    /** The response is complete, and not yet sent. */
    UNSENT,
    INCOMPLETE,
    COMPLETE
  }

  private static EmbeddedChannel connection(RequestMemory memory, Use use) {
    RequestAccount account = new RequestAccount(memory, /* chargesHeads= */ false);
    EmbeddedChannel channel = new EmbeddedChannel(account);
    channel.runPendingTasks();
    if (channel.isOpen() && use != Use.NEW) {
      account.beginHead(new DefaultHttpHeaders());
      if (use != Use.INCOMPLETE) {
        channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
      }
      if (use == Use.IDLE || use == Use.UNSENT) {
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
      }
      if (use == Use.IDLE) {
        channel.flush();
      }
    }
    return channel;
  }

  static Stream<Arguments> connections() {
    return Stream.of(
        Arguments.of("as many as allowed", uses(10, Use.NEW), List.of()),
        Arguments.of("new", uses(11, Use.NEW), List.of(0, 1)),
        Arguments.of("new behind idle", concat(uses(5, Use.IDLE), uses(6, Use.NEW)), List.of(5, 6)),
        Arguments.of(
            "idle behind incomplete",
            concat(uses(9, Use.INCOMPLETE), uses(2, Use.IDLE)),
            List.of(0, 9)),
        Arguments.of("incomplete", uses(11, Use.INCOMPLETE), List.of(0, 1)),
        Arguments.of("unsent", concat(uses(10, Use.UNSENT), uses(1, Use.NEW)), List.of(10)),
        Arguments.of("complete", uses(11, Use.COMPLETE), List.of(10)));
  }

  private static List<Use> uses(int count, Use use) {
    return Collections.nCopies(count, use);
  }

  private static List<Use> concat(List<Use> first, List<Use> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  /** Guards against connections of clients that use all descriptors of the process. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("connections")
  void closesUnneededConnections(String name, List<Use> uses, List<Integer> closed) {
    int[] reported = {0};
    RequestMemory memory =
        new RequestMemory(
            MAX_HEAP_BYTES,
            /* maxDescriptors= */ 14,
            new RequestMemory.Observer() {
              @Override
              public void onEnded(long heldBytes) {}

              @Override
              public void onConnectionsClosed(int count) {
                reported[0] += count;
              }
            });
    List<EmbeddedChannel> channels = uses.stream().map(use -> connection(memory, use)).toList();
    List<Integer> ended =
        IntStream.range(0, channels.size()).filter(n -> !channels.get(n).isOpen()).boxed().toList();
    assertThat(ended, equalTo(closed));
    assertThat(reported[0], equalTo(closed.size()));
    channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    assertThat(memory.totalBytes(), equalTo(0L));
  }

  static Stream<List<String>> ends() {
    return Stream.of(List.of("request", "response"), List.of("response", "request"));
  }

  @ParameterizedTest
  @MethodSource("ends")
  void holdsRequestUntilItAndItsResponseAreComplete(List<String> ends) {
    RequestMemory memory = new RequestMemory(MAX_HEAP_BYTES, heldBytes -> {});
    RequestAccount account = new RequestAccount(memory, /* chargesHeads= */ false);
    EmbeddedChannel channel = new EmbeddedChannel(account);
    account.beginHead(new DefaultHttpHeaders());
    account.charge(KB);
    for (String end : ends) {
      assertThat(memory.totalBytes(), equalTo((long) KB));
      if (end.equals("request")) {
        channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
      } else {
        channel.writeOutbound(
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
            LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }
    assertThat(memory.totalBytes(), equalTo(0L));
    channel.finishAndReleaseAll();
  }

  @ParameterizedTest
  @ValueSource(ints = {676, 2_000})
  void sendsRefusalOfRequestThatIsEndedWhileItIsRead(int kilobytes) {
    RequestMemory memory = new RequestMemory(MAX_HEAP_BYTES, heldBytes -> {});
    RequestAccount account = new RequestAccount(memory, /* chargesHeads= */ false);
    EmbeddedChannel channel = new EmbeddedChannel(account);
    account.beginHead(new DefaultHttpHeaders());
    account.onRefusal(
        () ->
            channel.write(
                new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE)));
    account.charge((long) kilobytes * KB);
    FullHttpResponse sent = channel.readOutbound();
    assertThat(sent.status(), equalTo(HttpResponseStatus.SERVICE_UNAVAILABLE));
    assertThat(channel.isOpen(), equalTo(false));
  }
}
