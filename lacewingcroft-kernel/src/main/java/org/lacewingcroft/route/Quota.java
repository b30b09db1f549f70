package org.lacewingcroft.route;

/**
 * How much the callers of an organisation may ask for, at all entries together.
 *
 * @param perSecond the lasting rate, in units a second
 * @param burst what may be asked for at once after a pause, in units
 * @param unit what is counted
 * @param defaultTokens the tokens that a request counts which states none
 */
public record Quota(double perSecond, double burst, Unit unit, long defaultTokens) {
  /** What a quota counts. */
  public enum Unit {
    REQUESTS,
    /** Tokens of the prompt and the most tokens of the answer. */
    TOKENS
  }

  /**
   * Returns what a request counts.
   *
   * @param statedTokens the tokens that it states, of its prompt and of its answer, 0 if none
   */
  public long costOf(long statedTokens) {
    if (unit == Unit.REQUESTS) {
      return 1;
    }
    return statedTokens > 0 ? statedTokens : defaultTokens;
  }
}
