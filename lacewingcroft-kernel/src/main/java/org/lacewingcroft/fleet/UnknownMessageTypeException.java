package org.lacewingcroft.fleet;

import java.io.IOException;

/** Thrown for a fleet message of a type that only a newer build knows. */
public final class UnknownMessageTypeException extends IOException {
  private static final long serialVersionUID = 1L;

  UnknownMessageTypeException(int type) {
    super("unknown fleet message type " + type);
  }
}
