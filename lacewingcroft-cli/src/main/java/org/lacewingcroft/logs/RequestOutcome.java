package org.lacewingcroft.logs;

/**
 * How one request ended at the entry that its caller asked.
 *
 * @param id the request's id
 * @param route the route it matched
 * @param node the entry that answered its caller
 * @param result in general
 * @param cause why it was not served, empty if it was
 * @param target the endpoint or entry of its last try, empty if it was never placed
 * @param arrivedMillis when it arrived, milliseconds since 1970
 * @param firstByteMillis until its answer's head was here, -1 if it never was
 * @param millis in all
 */
public record RequestOutcome(
    String id,
    String route,
    String node,
    Result result,
    String cause,
    String target,
    long arrivedMillis,
    long firstByteMillis,
    long millis) {

  /** How a request ended in general. */
  public enum Result {
    /** It was answered in full. */
    SERVED,
    /** It was turned away, and has not run. */
    REFUSED,
    /** It was placed and not answered in full, or answered with an error. */
    FAILED,
    /** Its caller left before its answer was complete. */
    LEFT
  }
}
