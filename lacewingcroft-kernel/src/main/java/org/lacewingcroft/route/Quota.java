package org.lacewingcroft.route;

/**
 * The limit on what the callers of an organisation may request, over all entries together.
 *
 * @param perSecond the sustained rate, in units per second
 * @param burst the maximum number of units that may be requested in one burst after an idle period
 * @param unit the unit of the limit
 * @param defaultTokens the number of tokens charged for a request that declares none
 */
public record Quota(double perSecond, double burst, Unit unit, long defaultTokens) {
  /** The unit of a quota. */
  public enum Unit {
    REQUESTS,
    /** Prompt tokens plus the maximum number of output tokens. */
    TOKENS
  }

  /**
   * Returns the number of units charged for a request.
   *
   * @param declaredTokens the prompt and output tokens that the request declares, 0 if none
   */
  public long costOf(long declaredTokens) {
    if (unit == Unit.REQUESTS) {
      return 1;
    }
    return declaredTokens > 0 ? declaredTokens : defaultTokens;
  }
}
