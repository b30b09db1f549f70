package org.lacewingcroft.error;

/**
 * A failure with a typed {@link ErrorKind}; its message names what went wrong and the remedy.
 *
 * <p>Thrown by the kernel's parsers and decisions and turned into an HTTP answer or a peer reply at
 * the boundary.
 */
public class GatewayException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final String detail;

  /**
   * Creates an exception of the given kind.
   *
   * @param kind the kind, which supplies the status and the remedy
   * @param detail what went wrong, in one sentence without the remedy
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

  /** Returns the detail without the remedy. */
  public String detail() {
    return detail;
  }
}
