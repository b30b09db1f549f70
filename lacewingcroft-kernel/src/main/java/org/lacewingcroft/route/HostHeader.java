package org.lacewingcroft.route;

import java.util.Locale;

/** Parses the Host header of a request. */
public final class HostHeader {
  private HostHeader() {}

  /** Returns the host of a Host header value, in lower case and without the port. */
  public static String hostOf(String header) {
    int colon = header.indexOf(':');
    String host = colon < 0 ? header : header.substring(0, colon);
    return host.toLowerCase(Locale.ROOT);
  }
}
