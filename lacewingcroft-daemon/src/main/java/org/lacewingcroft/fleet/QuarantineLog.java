package org.lacewingcroft.fleet;

import org.lacewingcroft.quarantine.Suspicion;

/** The log lines that every instance writes about contents that are quarantined. */
public final class QuarantineLog {
  private static final System.Logger LOG = System.getLogger(QuarantineLog.class.getName());

  private QuarantineLog() {}

  /**
   * Writes a line if the content is quarantined or cleared by what was learned.
   *
   * @param suspicion what is known of the content now
   * @param cause the instance that told of it, or what was observed here
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

  /** Writes that a quarantined content is run once more. */
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
