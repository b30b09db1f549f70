package org.lacewingcroft.peer;

/** A peer frame that is too large, badly tagged or undecodable; the frame is dropped and logged. */
public class MalformedFrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message naming what was wrong with the frame. */
  public MalformedFrameException(String message) {
    super(message);
  }
}
