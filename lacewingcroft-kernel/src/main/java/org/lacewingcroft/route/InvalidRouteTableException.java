package org.lacewingcroft.route;

import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

/**
 * Thrown when a routing document is invalid and cannot become active; the message names the fault.
 */
public final class InvalidRouteTableException extends GatewayException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a description of the fault. */
  public InvalidRouteTableException(String detail) {
    super(ErrorKind.INVALID_CONFIGURATION, detail);
  }
}
