package org.lacewingcroft.fleet;

import java.util.OptionalDouble;

/** The log lines that every instance writes when what it believes of an endpoint changes. */
final class RosterLog {
  private static final System.Logger LOG = System.getLogger(RosterLog.class.getName());

  private RosterLog() {}

  /**
   * Writes that an endpoint takes another rate of requests than before.
   *
   * @param perSecond the rate, empty if it takes any
   * @param cause the entry that told of it, or the status of the answer that stated it
   */
  static void rateLimitChanged(String endpoint, OptionalDouble perSecond, Object cause) {
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
   * Writes the line.
   *
   * @param record what is believed now; its start and sequence number say how new the evidence is
   * @param cause the instance that told of it, or what was observed here
   */
  static void changed(EndpointRecord record, String cause) {
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
