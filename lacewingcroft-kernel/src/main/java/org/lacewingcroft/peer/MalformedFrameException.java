package org.lacewingcroft.peer;

/**
 * Thrown for a peer frame that is too large, fails authentication or cannot be decoded; the
 * receiver drops and logs the frame.
 */
public class MalformedFrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that describes the fault of the frame. */
  public MalformedFrameException(String message) {
    super(message);
  }
}
