package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * Request contents and prompt parts whose connection to an endpoint was lost recently, while the
 * crash probe of the endpoint is in progress. Requests that have one of them in common wait for the
 * result: if they were sent immediately, the content or part could crash one endpoint after the
 * other before the first crash is confirmed.
 *
 * <p>Thread-safe.
 */
public final class PendingCrashProbes {
  private final Map<RequestFingerprint, Future<Boolean>> byFingerprint = new ConcurrentHashMap<>();

  /** Adds a request that waits for the result of a crash probe. */
  public void add(RequestFingerprints request, Future<Boolean> result) {
    for (RequestFingerprint fingerprint : request.all()) {
      byFingerprint.put(fingerprint, result);
      result.onComplete(completed -> byFingerprint.remove(fingerprint, result));
    }
  }

  /** Returns the result of a probe that one of the given contents and parts waits for, if any. */
  public Optional<Future<Boolean>> get(List<RequestFingerprint> fingerprints) {
    return fingerprints.stream()
        .map(byFingerprint::get)
        .filter(result -> result != null && !result.isComplete())
        .findFirst();
  }
}
