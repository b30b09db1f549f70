package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

/**
 * One answer of a replay as it arrives: checks that every token carries the request's own id and
 * that the answer is complete, and records its latencies and outcome.
 */
final class ReplayedAnswer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String EVENT_END = "\n\n";
  private static final String LAST_EVENT = "data: [DONE]";

  private final TraceRequest request;
  private final String requestId;
  private final ReplayResult result;
  private final long startNanos = System.nanoTime();
  private final StringBuilder unread = new StringBuilder();
  private long lastTokenNanos;
  private boolean complete;
  private boolean corrupt;
  private boolean brokenOff;

  ReplayedAnswer(TraceRequest request, String requestId, ReplayResult result) {
    this.request = request;
    this.requestId = requestId;
    this.result = result;
  }

  /** Takes a part of the body. */
  void part(int status, String text) {
    unread.append(text);
    if (status != 200 || !request.stream()) {
      return;
    }
    for (int end = unread.indexOf(EVENT_END); end >= 0; end = unread.indexOf(EVENT_END)) {
      event(unread.substring(0, end));
      unread.delete(0, end + EVENT_END.length());
    }
  }

  private void event(String event) {
    if (event.equals(LAST_EVENT)) {
      complete = true;
    } else if (event.startsWith("data: ")) {
      token();
      corrupt |= !event.contains(requestId);
    } else if (event.startsWith("event: error")) {
      brokenOff = true;
    } else {
      corrupt = true;
    }
  }

  private void token() {
    long now = System.nanoTime();
    if (lastTokenNanos == 0) {
      result.firstToken(request, (now - startNanos) / 1000);
    } else {
      result.tokenGap((now - lastTokenNanos) / 1000);
    }
    lastTokenNanos = now;
  }

  /**
   * Ends the answer.
   *
   * @param servedIn the region that served it, if it was named
   */
  void end(int status, Optional<String> servedIn) {
    if (status != 200) {
      result.count(errorCode(status));
      return;
    }
    if (!request.stream()) {
      result.firstToken(request, (System.nanoTime() - startNanos) / 1000);
      complete = unread.indexOf(requestId) >= 0 && unread.indexOf("\"finish_reason\"") >= 0;
    }
    if (brokenOff && !complete && !corrupt) {
      result.count("broken_off");
    } else if (corrupt || !complete) {
      result.countCorrupted();
    } else {
      result.countServed(request.region(), servedIn, outsideResidency(servedIn));
    }
  }

  private String errorCode(int status) {
    String plain = "http_" + status;
    try {
      return JSON.readTree(unread.toString()).path("error").path("code").asText(plain);
    } catch (IOException e) {
      return plain;
    }
  }

  private boolean outsideResidency(Optional<String> servedIn) {
    return servedIn.isPresent()
        && request
            .residency()
            .filter(regions -> !Arrays.asList(regions.split(",")).contains(servedIn.get()))
            .isPresent();
  }
}
