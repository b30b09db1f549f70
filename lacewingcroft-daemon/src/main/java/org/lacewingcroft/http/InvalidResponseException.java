package org.lacewingcroft.http;

import java.io.IOException;

/** The bytes that a server sent are not the response to the request that awaits one. */
public final class InvalidResponseException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what was received instead. */
  public InvalidResponseException(String message) {
    super(message);
  }
}
