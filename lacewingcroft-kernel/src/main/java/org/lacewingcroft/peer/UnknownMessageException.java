package org.lacewingcroft.peer;

/**
 * Thrown for an authenticated peer message of a type that only a newer build knows; the receiver
 * ignores it and keeps the connection, so that builds can run beside each other.
 */
public final class UnknownMessageException extends MalformedFrameException {
  private static final long serialVersionUID = 1L;

  UnknownMessageException(String message) {
    super(message);
  }
}
