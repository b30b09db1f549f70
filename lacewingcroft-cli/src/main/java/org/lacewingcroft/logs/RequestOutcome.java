package org.lacewingcroft.logs;

/**
 * The outcome of one request at the entry that received it from its caller.
 *
 * @param id the id of the request
 * @param route the route that the request matched
 * @param node the entry that responded to the caller
 * @param region the region of that entry, empty if the log does not contain its start
 * @param result the kind of outcome
 * @param cause the reason why the request was not served, empty if it was served
 * @param target the endpoint or entry of the last attempt, empty if the request was never placed
 * @param arrivedMillis the time of arrival, in milliseconds since the epoch
 * @param firstByteMillis the time from arrival to the first byte of the response (its head) in
 *     milliseconds, -1 if none was received
 * @param durationMillis the time from arrival to the end of the request, in milliseconds
 * @param objectiveMillis the objective for the time to the first byte in milliseconds, 0 if the log
 *     does not contain it
 * @param longestStage the stage that took the longest part of the time to the first byte, empty if
 *     the log does not contain stages
 */
public record RequestOutcome(
    String id,
    String route,
    String node,
    String region,
    Result result,
    String cause,
    String target,
    long arrivedMillis,
    long firstByteMillis,
    long durationMillis,
    long objectiveMillis,
    String longestStage) {

  /** Returns whether the request was served later than its objective. */
  public boolean isLate() {
    return result == Result.SERVED && objectiveMillis > 0 && firstByteMillis > objectiveMillis;
  }

  /** The kind of outcome of a request. */
  public enum Result {
    /** The response was completed without a server error. */
    SERVED,
    /** The request was refused and has not run. */
    REFUSED,
    /** Any other outcome: the response was an error or was not completed. */
    FAILED,
    /** The caller disconnected before the response was complete. */
    LEFT
  }
}
