package org.lacewingcroft.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A response as the bytes that a raw socket sends.
 *
 * @param id the id of the request that it belongs to
 * @param body the body, without its framing
 */
public record RawResponse(
    int status, String id, String signature, String body, Framing framing, IdPosition idPosition) {
  /** Statuses that no final response has, and some that are no numbers of three digits. */
  public static final List<String> INVALID_STATUSES =
      List.of(
          "000", "099", "101", "102", "199", "600", "700", "999", "20", "2000", "0200", "+200",
          "abc");

  private static final String LINE_END = "\r\n";

  /** How the end of the body is marked. */
  public enum Framing {
    /** By {@code Content-Length}. */
    LENGTH("text/plain"),
    /** By the last one of its chunks. */
    CHUNKS("text/plain"),
    /** By the last one of its chunks; the body consists of events. */
    EVENT_STREAM("text/event-stream");

    private final String contentType;

    Framing(String contentType) {
      this.contentType = contentType;
    }
  }

  /** Where the head contains the id of the request. */
  public enum IdPosition {
    /** In the first header. */
    FIRST,
    /** In the last header. */
    LAST,
    /** Nowhere. */
    NONE
  }

  /** Returns a signed response with the id {@code ID} that is complete but for its status. */
  public static String withStatus(String status) {
    return RawEndpoint.ownResponse(200, "done").replace(" 200 ", " " + status + " ");
  }

  /** Returns the same response with its id elsewhere in the head. */
  public RawResponse withIdPosition(IdPosition newPosition) {
    return new RawResponse(status, id, signature, body, framing, newPosition);
  }

  /** Returns the complete response, one character for each byte. */
  public String bytes() {
    String idLine = "X-Request-Id: " + id + LINE_END;
    String length = "Content-Length: " + body.getBytes(StandardCharsets.ISO_8859_1).length;
    return "HTTP/1.1 "
        + status
        + " Status"
        + LINE_END
        + (idPosition == IdPosition.FIRST ? idLine : "")
        + "X-Proof: "
        + signature
        + LINE_END
        + "Content-Type: "
        + framing.contentType
        + LINE_END
        + (framing == Framing.LENGTH ? length : "Transfer-Encoding: chunked")
        + LINE_END
        + (idPosition == IdPosition.LAST ? idLine : "")
        + LINE_END
        + framedBody();
  }

  private String framedBody() {
    if (framing == Framing.LENGTH) {
      return body;
    }
    int half = body.length() / 2;
    return chunk(body.substring(0, half)) + chunk(body.substring(half)) + chunk("");
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + LINE_END + text + LINE_END;
  }
}
