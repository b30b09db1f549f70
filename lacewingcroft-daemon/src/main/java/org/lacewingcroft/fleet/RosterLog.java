package org.lacewingcroft.fleet;

import java.util.OptionalDouble;

/** Writes the log lines of all instances about changes of endpoint state. */
final class RosterLog {
  private static final System.Logger LOG = System.getLogger(RosterLog.class.getName());

  private RosterLog() {}

  /**
   * Logs that an endpoint's rate limit has changed.
   *
   * @param perSecond the limit in requests per second, empty if there is none
   * @param cause the entry that reported it, or the status of the response that advertised it
   */
  static void logRateLimitChange(String endpoint, OptionalDouble perSecond, Object cause) {
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.rate_limit_changed",
        "endpoint",
        endpoint,
        "perSecond",
        perSecond.isPresent() ? perSecond.getAsDouble() : "none",
        "cause",
        cause);
  }

  /**
   * Logs that an endpoint's recorded state has changed.
   *
   * @param record the new record; its start and sequence number show how recent the evidence is
   * @param cause the instance that sent it, or what was observed locally
   */
  static void logStateChange(EndpointRecord record, String cause) {
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.changed",
        "endpoint",
        record.id(),
        "startedAtMillis",
        record.startedAtMillis(),
        "state",
        record.state(),
        "sequence",
        record.sequence(),
        "address",
        record.address(),
        "coldMillis",
        record.coldMillis(),
        "cause",
        cause);
  }
}
