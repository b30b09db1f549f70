package org.lacewingcroft.route;

import java.util.Locale;

/** Reads the Host header of a request. */
public final class HostHeader {
  private HostHeader() {}

  /** Returns the host that a header names, in lower case and without its port. */
  public static String hostOf(String header) {
    int colon = header.indexOf(':');
    String name = colon < 0 ? header : header.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
