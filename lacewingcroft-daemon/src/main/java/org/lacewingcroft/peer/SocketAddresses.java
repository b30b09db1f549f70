package org.lacewingcroft.peer;

import io.vertx.core.net.SocketAddress;

/** Parses socket addresses as written in settings, announcements and messages. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Parses an address.
   *
   * @param text {@code host:port}
   * @throws IllegalArgumentException if the port is not a number
   */
  public static SocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return SocketAddress.inetSocketAddress(
        Integer.parseInt(text.substring(colon + 1)), text.substring(0, colon));
  }
}
