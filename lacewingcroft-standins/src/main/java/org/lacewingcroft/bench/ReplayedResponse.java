package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

/**
 * Processes a response of a replay while it arrives. Checks that every token contains the request
 * id and that the response is complete, and records latencies and the outcome.
 */
final class ReplayedResponse {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String EVENT_END = "\n\n";
  private static final String LAST_EVENT = "data: [DONE]";

  private final TraceRequest request;
  private final String requestId;
  private final ReplayResult result;
  private final long startNanos = System.nanoTime();
  private final StringBuilder buffered = new StringBuilder();
  private long lastTokenNanos;
  private boolean complete;
  private boolean corrupt;
  private boolean errorEvent;

  ReplayedResponse(TraceRequest request, String requestId, ReplayResult result) {
    this.request = request;
    this.requestId = requestId;
    this.result = result;
  }

  /** Processes a chunk of the response body. */
  void onChunk(int status, String text) {
    buffered.append(text);
    if (status != 200 || !request.stream()) {
      return;
    }
    for (int end = buffered.indexOf(EVENT_END); end >= 0; end = buffered.indexOf(EVENT_END)) {
      onEvent(buffered.substring(0, end));
      buffered.delete(0, end + EVENT_END.length());
    }
  }

  private void onEvent(String event) {
    if (event.equals(LAST_EVENT)) {
      complete = true;
    } else if (event.startsWith("data: ")) {
      onToken();
      corrupt |= !event.contains(requestId);
    } else if (event.startsWith("event: error")) {
      errorEvent = true;
    } else {
      corrupt = true;
    }
  }

  private void onToken() {
    long now = System.nanoTime();
    if (lastTokenNanos == 0) {
      result.recordFirstToken(request, (now - startNanos) / 1000);
    } else {
      result.recordTokenGap((now - lastTokenNanos) / 1000);
    }
    lastTokenNanos = now;
  }

  /**
   * Records the outcome at the end of the response.
   *
   * @param servedIn the region that served the request, if the response contains it
   */
  void onEnd(int status, Optional<String> servedIn) {
    if (status != 200) {
      result.count(errorCode(status));
      return;
    }
    if (!request.stream()) {
      result.recordFirstToken(request, (System.nanoTime() - startNanos) / 1000);
      complete = buffered.indexOf(requestId) >= 0 && buffered.indexOf("\"finish_reason\"") >= 0;
    }
    if (errorEvent && !complete && !corrupt) {
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
      return JSON.readTree(buffered.toString()).path("error").path("code").asText(plain);
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
