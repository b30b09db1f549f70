package org.lacewingcroft.route;

import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

/** A routing document that cannot be put in force; the message names what is wrong with it. */
public final class InvalidRouteTableException extends GatewayException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with what is wrong. */
  public InvalidRouteTableException(String detail) {
    super(ErrorKind.INVALID_CONFIGURATION, detail);
  }
}
