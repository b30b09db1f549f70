package org.lacewingcroft.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BiConsumer;

/**
 * Reads HTTP requests from a raw socket, for endpoints whose responses may violate the protocol.
 */
final class RawRequests {
  private static final String HEAD_END = "\r\n\r\n";

  private RawRequests() {}

  /**
   * Calls a handler for each complete request that arrives on a socket.
   *
   * @param handler receives the request head in lower case, and the body
   */
  static void read(NetSocket socket, BiConsumer<String, String> handler) {
    final Buffer[] unread = {Buffer.buffer()};
    socket.handler(
        chunk -> {
          Buffer received = unread[0].appendBuffer(chunk);
          String text = received.toString(StandardCharsets.ISO_8859_1);
          int end = text.indexOf(HEAD_END);
          if (end < 0) {
            return;
          }
          String head = text.substring(0, end).toLowerCase(Locale.ROOT);
          int bodyStart = end + HEAD_END.length();
          int bodyEnd = bodyStart + Integer.parseInt("0" + header(head, "content-length"));
          if (received.length() >= bodyEnd) {
            unread[0] = received.getBuffer(bodyEnd, received.length());
            handler.accept(head, text.substring(bodyStart, bodyEnd));
          }
        });
  }

  /**
   * Returns the value of a header, empty if it is missing.
   *
   * @param head the request head in lower case
   * @param name the header name in lower case
   */
  static String header(String head, String name) {
    return head.lines()
        .filter(l -> l.startsWith(name + ":"))
        .map(l -> l.substring(name.length() + 1).trim())
        .findFirst()
        .orElse("");
  }
}
