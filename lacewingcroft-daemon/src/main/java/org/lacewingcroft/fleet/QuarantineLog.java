package org.lacewingcroft.fleet;

import org.lacewingcroft.quarantine.Suspicion;

/** Writes the log lines of all instances about quarantined request contents. */
public final class QuarantineLog {
  private static final System.Logger LOG = System.getLogger(QuarantineLog.class.getName());

  private QuarantineLog() {}

  /**
   * Logs that a request content is quarantined or cleared according to the given evidence; logs
   * nothing if it is neither.
   *
   * @param suspicion the merged evidence on the content
   * @param cause the instance that sent it, or what was observed locally
   */
  public static void logChange(Suspicion suspicion, String cause) {
    if (suspicion.isQuarantined()) {
      LOG.log(
          System.Logger.Level.WARNING,
          "content.quarantined",
          "fingerprint",
          suspicion.content(),
          "endpoints",
          suspicion.crashedIncarnations(),
          "ageMillis",
          suspicion.age().toMillis(),
          "cause",
          cause);
    } else if (suspicion.clearedAge().isPresent() && suspicion.crashes().isEmpty()) {
      LOG.log(
          System.Logger.Level.INFO,
          "content.cleared",
          "fingerprint",
          suspicion.content(),
          "cause",
          cause);
    }
  }

  /** Logs that a quarantined request content is run again as a trial. */
  public static void logTrial(Suspicion suspicion) {
    LOG.log(
        System.Logger.Level.INFO,
        "content.tried",
        "fingerprint",
        suspicion.content(),
        "ageMillis",
        suspicion.age().toMillis());
  }
}
