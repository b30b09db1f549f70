package org.lacewingcroft.fleet;

/** The log line that every instance writes when what it believes of an endpoint changes. */
final class RosterLog {
  private static final System.Logger LOG = System.getLogger(RosterLog.class.getName());

  private RosterLog() {}

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
