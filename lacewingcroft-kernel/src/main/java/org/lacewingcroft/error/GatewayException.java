package org.lacewingcroft.error;

/**
 * A failure of a given {@link ErrorKind}; its message describes the failure and the remedy.
 *
 * <p>Thrown by the parsers and decision code of the kernel and converted to an HTTP response or a
 * peer reply at the boundary.
 */
public class GatewayException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final String detail;

  /**
   * Creates an exception of the given kind.
   *
   * @param kind the kind, which determines the status and the remedy
   * @param detail a description of the failure, in one sentence without the remedy
   */
  public GatewayException(ErrorKind kind, String detail) {
    super(detail + "; remedy: " + kind.remedy());
    this.kind = kind;
    this.detail = detail;
  }

  /** Returns the kind of failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns the description of the failure, without the remedy. */
  public String detail() {
    return detail;
  }
}
