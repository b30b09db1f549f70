package org.lacewingcroft.fleet;

import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.quarantine.SuspicionLedger;

/** The log line that every instance writes when it comes to quarantine a content. */
public final class QuarantineLog {
  private static final System.Logger LOG = System.getLogger(QuarantineLog.class.getName());

  private QuarantineLog() {}

  /**
   * Writes the line if the content is quarantined by what was learned.
   *
   * @param suspicion what is known of the content now
   * @param cause the instance that told of it, or what was observed here
   */
  public static void learned(Suspicion suspicion, String cause) {
    if (suspicion.endpoints().size() >= SuspicionLedger.QUARANTINED) {
      LOG.log(
          System.Logger.Level.WARNING,
          "content.quarantined",
          "fingerprint",
          suspicion.content(),
          "endpoints",
          suspicion.endpoints(),
          "ageMillis",
          suspicion.age().toMillis(),
          "cause",
          cause);
    }
  }
}
