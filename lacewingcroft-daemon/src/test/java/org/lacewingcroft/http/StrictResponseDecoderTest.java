package org.lacewingcroft.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.RawResponse;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Guards against a head made up of two being accepted as a response, and against responses being
 * rejected that belong to their request.
 */
class StrictResponseDecoderTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String HEADERS =
      "X-Request-Id: ID\r\nX-Proof: sig\r\nContent-Length: 2\r\n\r\nab";
  private static final String FAILED = "HTTP/1.1 500 S\r\n" + HEADERS;
  private static final String REJECTED = "rejected";

  /**
   * A test case.
   *
   * @param requestNumber the number of the request on its connection
   * @param received the bytes that arrive after the request was written, {@code ID} for its id
   * @param expected the statuses of the responses, {@link #REJECTED} for one that is not accepted
   * @param reusable whether the connection may be used again
   */
  record TestCase(
      int requestNumber,
      boolean requiresId,
      String received,
      List<String> expected,
      boolean reusable) {
    @Override
    public String toString() {
      return requestNumber + ": " + received.replace("\r\n", "|");
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (int number : List.of(1, 2)) {
      for (boolean requiresId : List.of(false, true)) {
        cases.add(accepted(number, requiresId, OK + HEADERS, "200"));
        cases.add(
            accepted(
                number, requiresId, "HTTP/1.1 100 Continue\r\n\r\n" + OK + HEADERS, "100", "200"));
        cases.add(
            accepted(
                number,
                requiresId,
                "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + FAILED,
                "103",
                "500"));
        cases.add(
            accepted(
                number,
                requiresId,
                OK + "Keep-Alive: max=9\r\nKeep-Alive: a\r\n" + HEADERS,
                "200"));
        for (String own : List.of(FAILED, FAILED.replace(" 500", "  500"), "\t" + FAILED)) {
          for (String stray :
              List.of(
                  "HTTP/1.1 200 ",
                  "HTTP/1.1 200 S",
                  OK.trim() + "\r",
                  OK + "some text",
                  OK + "X-Note ",
                  OK + "X-Note\t:",
                  OK + "X-Proof: si",
                  OK + "X-Proof: si\r",
                  OK + "X-Proof: sig\r\n",
                  OK + "X-Proof: sig\r\n ")) {
            if (!(own.startsWith("\t") && stray.endsWith("\r\n"))) {
              cases.add(rejected(number, requiresId, stray + own));
            }
          }
        }
        cases.add(rejected(number, requiresId, "stray" + OK + HEADERS));
        for (String status : RawResponse.INVALID_STATUSES) {
          cases.add(rejected(number, requiresId, "HTTP/1.1 " + status + " OK\r\n" + HEADERS));
        }
        cases.add(rejected(number, requiresId, OK + HEADERS.replace("ID", "other")));
        cases.add(
            rejected(number, requiresId, OK + "X-Proof: sig\r\n" + HEADERS.replace("ID", "other")));
        cases.add(rejected(number, requiresId, OK + "Transfer-Encoding: chunked\r\n" + HEADERS));
        cases.add(new TestCase(number, requiresId, OK + HEADERS + "x", List.of("200"), false));
        String refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n";
        cases.add(accepted(number, requiresId, refusal + HEADERS, "503"));
        cases.add(rejected(number, requiresId, refusal + "X-Note: " + FAILED));
        cases.add(rejected(number, requiresId, refusal + "X-Request-Id: ID\r\n" + HEADERS));
        cases.add(
            rejected(number, requiresId, refusal + HEADERS.replace("X-Request-Id: ID\r\n", "")));
      }
      cases.add(onlyAsFirst(number, OK + "X-Proof: sig\r\n" + HEADERS));
      cases.add(rejected(number, true, OK + "X-Cause: HTTP/1.1 500 S\r\n" + HEADERS));
      cases.add(onlyAsFirst(number, OK + HEADERS.replace("X-Request-Id: ID\r\n", "")));
      cases.add(accepted(number, false, OK + HEADERS.replace("X-Request-Id: ID\r\n", ""), "200"));
    }
    return cases.stream();
  }

  private static TestCase accepted(
      int number, boolean requiresId, String received, String... statuses) {
    return new TestCase(number, requiresId, received, List.of(statuses), true);
  }

  private static TestCase rejected(int number, boolean requiresId, String received) {
    return new TestCase(number, requiresId, received, List.of(REJECTED), false);
  }

  private static TestCase onlyAsFirst(int number, String received) {
    return new TestCase(
        number, true, received, List.of(number == 1 ? "200" : REJECTED), /* reusable= */ false);
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void acceptsOnlyTheResponseToTheRequest(TestCase testCase) {
    for (int pieceBytes : List.of(1, 7, testCase.received().length())) {
      StrictResponseDecoder decoder = newDecoder(testCase.requiresId());
      EmbeddedChannel channel = new EmbeddedChannel(decoder.codec());
      for (int number = 1; number < testCase.requestNumber(); number++) {
        assertThat(exchange(channel, number, OK + HEADERS, 1_000), equalTo(List.of("200")));
      }
      List<String> statuses =
          exchange(channel, testCase.requestNumber(), testCase.received(), pieceBytes);
      assertThat(statuses, equalTo(testCase.expected()));
      assertThat(decoder.isReusable(), equalTo(testCase.reusable()));
      assertThat("open", channel.isOpen(), equalTo(testCase.reusable()));
      channel.finishAndReleaseAll();
    }
  }

  private static StrictResponseDecoder newDecoder(boolean requiresId) {
    return new StrictResponseDecoder(
        new StrictResponseDecoder.Rules(
            new HttpClientOptions(),
            "X-Request-Id",
            Set.of("X-Request-Id", "X-Proof"),
            requiresId,
            head -> head.headers().contains("X-Not-Run"),
            new ResponseMetrics(new GatewayMetrics())));
  }

  static Stream<Arguments> responsesBehindAnother() {
    String other = FAILED.replace("ID", "id-1");
    String chunked =
        other.replace("Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n");
    String cut = other.replace("Length: 2", "Length: 9");
    String withoutId = HEADERS.replace("X-Request-Id: ID\r\n", "");
    String longOwn = OK + HEADERS.replace(": 2\r\n\r\nab", ": 200\r\n\r\n" + "a".repeat(200));
    return Stream.of(
        Arguments.of(other + OK + HEADERS, "200"),
        Arguments.of(other.replace(": 2\r\n\r\nab", ": 0\r\n\r\n") + OK + HEADERS, "200"),
        Arguments.of(chunked + "1\r\na\r\n0\r\n\r\n" + OK + HEADERS, "200"),
        Arguments.of(chunked + "z\r\n" + OK + HEADERS, REJECTED),
        Arguments.of(FAILED.replace("ID", "id-0") + OK + HEADERS, REJECTED),
        Arguments.of(other + other + OK + HEADERS, REJECTED),
        Arguments.of(other + OK + withoutId, REJECTED),
        Arguments.of(other + OK + "X-Proof: sig\r\n" + HEADERS, REJECTED),
        Arguments.of(other.replace("X-Proof", "Connection: close\r\nX-Proof"), REJECTED),
        Arguments.of(other.replace("Content-Length: 2\r\n", ""), REJECTED),
        Arguments.of(cut + OK + HEADERS, REJECTED),
        // The cut body ends within that of the awaited response, which has no end of a line.
        Arguments.of(cut.replace("Length: 9", "Length: 90") + longOwn, REJECTED),
        Arguments.of(chunked + "0\r" + OK + HEADERS, REJECTED),
        Arguments.of(other + "\r\n" + OK + HEADERS, "200"),
        Arguments.of(cut.replace("Length: 9", "Length: 999") + OK + HEADERS, REJECTED));
  }

  @ParameterizedTest
  @MethodSource("responsesBehindAnother")
  void awaitsTheResponseBehindTheOneToTheRequestBefore(String received, String expected) {
    for (int pieceBytes : List.of(1, 7, received.length())) {
      StrictResponseDecoder decoder = newDecoder(/* requiresId= */ true);
      EmbeddedChannel channel = new EmbeddedChannel(decoder.codec());
      exchange(channel, 1, OK + HEADERS, 1_000);
      decoder.skipPreviousResponse();
      List<String> statuses = exchange(channel, 2, received, pieceBytes);
      if (statuses.isEmpty()) {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
        statuses = statuses(channel);
      }
      assertThat(statuses, equalTo(List.of(expected)));
      assertThat("open", channel.isOpen(), equalTo(false));
      channel.finishAndReleaseAll();
    }
  }

  @Test
  void remembersTheRefusalsOfConnectionUntilItIsRetired() {
    String refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + HEADERS;
    StrictResponseDecoder decoder = newDecoder(/* requiresId= */ true);
    EmbeddedChannel channel = new EmbeddedChannel(decoder.codec());
    for (int number = 1; number <= RefusedRequests.CAPACITY; number++) {
      assertThat("refused " + number, decoder.hasRefused("id-" + number), equalTo(false));
      assertThat("reusable before " + number, decoder.isReusable(), equalTo(true));
      exchange(channel, number, refusal, 1_000);
      assertThat("refused " + number, decoder.hasRefused("id-" + number), equalTo(true));
    }
    assertThat("refused first", decoder.hasRefused("id-1"), equalTo(true));
    assertThat("reusable", decoder.isReusable(), equalTo(false));
    assertThat("open", channel.isOpen(), equalTo(false));
    channel.finishAndReleaseAll();
  }

  /** Writes a request and receives bytes in pieces; returns the statuses of the responses. */
  private static List<String> exchange(
      EmbeddedChannel channel, int number, String received, int pieceBytes) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    request.headers().set("X-Request-Id", "id-" + number);
    channel.writeOutbound(request);
    byte[] bytes = received.replace("ID", "id-" + number).getBytes(StandardCharsets.US_ASCII);
    for (int start = 0; start < bytes.length && channel.isOpen(); start += pieceBytes) {
      int length = Math.min(pieceBytes, bytes.length - start);
      channel.writeInbound(Unpooled.copiedBuffer(bytes, start, length));
    }
    return statuses(channel);
  }

  private static List<String> statuses(EmbeddedChannel channel) {
    List<String> statuses = new ArrayList<>();
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpResponse head) {
        boolean failed = head.decoderResult().isFailure();
        statuses.add(failed ? REJECTED : Integer.toString(head.status().code()));
      }
      ReferenceCountUtil.release(message);
    }
    return statuses;
  }
}
