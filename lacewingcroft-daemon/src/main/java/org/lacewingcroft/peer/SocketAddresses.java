package org.lacewingcroft.peer;

import io.vertx.core.net.SocketAddress;

/** Addresses as settings, announcements and messages write them. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Reads an address.
   *
   * @param text {@code host:port}
   * @throws IllegalArgumentException if the port is no number
   */
  public static SocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return SocketAddress.inetSocketAddress(
        Integer.parseInt(text.substring(colon + 1)), text.substring(0, colon));
  }
}
