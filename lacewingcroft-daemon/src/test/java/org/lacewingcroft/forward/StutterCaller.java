package org.lacewingcroft.forward;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Sends pairs of requests to an entry and checks the responses. */
public abstract class StutterCaller {
  /** An error response that the entry generated, for a request that may have run. */
  protected static final String ERROR_OF_ENTRY = "error of the entry";

  /** An error response that the entry generated, for a request that has not run. */
  protected static final String REFUSED_BY_ENTRY = "refused by the entry";

  private static final Set<String> NOT_SERVED = Set.of(ERROR_OF_ENTRY, REFUSED_BY_ENTRY);
  private static final int MAX_TRIES = 200;
  private static final long TRY_INTERVAL_MILLIS = 25;

  /**
   * Sends a request.
   *
   * @return the response as {@link #describe} returns it, or one of the constants of this class
   */
  protected abstract String call(Stutter stutter, String id) throws Exception;

  /** Returns the status, the body and what else of a response the caller receives unchanged. */
  protected abstract String describe(RawResponse response);

  /** Waits until the entry of a region has read what endpoints have written to it before. */
  protected abstract void awaitReceived(String region) throws Exception;

  /** Waits until the entry knows that the endpoint can serve requests. */
  public final void awaitServed(Stutter stutter) throws Exception {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (!NOT_SERVED.contains(call(stutter, stutter.id(0, false)))) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(TRY_INTERVAL_MILLIS);
    }
    throw new AssertionError("no response of " + stutter);
  }

  /**
   * Sends two requests, the second one when the first one is answered. Where stray bytes may cost a
   * request, sends them again if the entry refuses one without sending it to the endpoint.
   *
   * @return a response other than the expected one, empty if there is none
   */
  public final Optional<String> sendPair(Stutter stutter, StutteringEndpoint endpoint, int pair)
      throws Exception {
    String firstId = stutter.id(pair, true);
    String secondId = stutter.id(pair, false);
    boolean mayCost = stutter.mayCostNextRequest(pair);
    for (int i = 0; i < MAX_TRIES; i++) {
      String first = call(stutter, firstId);
      if (mayCost && NOT_SERVED.contains(first)) {
        TimeUnit.MILLISECONDS.sleep(TRY_INTERVAL_MILLIS);
        continue;
      }
      if (!first.equals(describe(stutter.responseTo(firstId)))) {
        return Optional.of("first request: " + first);
      }
      endpoint.awaitWritten();
      awaitReceived(stutter.region());
      String second = call(stutter, secondId);
      boolean received = endpoint.hasReceived(secondId);
      if (second.equals(describe(stutter.responseTo(secondId)))
          || mayCost && second.equals(ERROR_OF_ENTRY) && received) {
        return Optional.empty();
      }
      if (!mayCost || !second.equals(REFUSED_BY_ENTRY) || received) {
        return Optional.of("second request: " + second);
      }
    }
    return Optional.of("refused " + MAX_TRIES + " times");
  }
}
