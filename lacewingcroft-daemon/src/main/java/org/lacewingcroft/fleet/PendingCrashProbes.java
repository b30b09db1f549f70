package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Request contents whose connection to an endpoint was lost recently, while the crash probe of the
 * endpoint is in progress. Requests with the same content wait for the result: if callers retried
 * immediately, the content could crash one endpoint after the other before the first crash is
 * confirmed.
 *
 * <p>Thread-safe.
 */
public final class PendingCrashProbes {
  private final Map<RequestFingerprint, Future<Boolean>> byFingerprint = new ConcurrentHashMap<>();

  /** Adds a content that waits for the result of a crash probe. */
  public void add(RequestFingerprint fingerprint, Future<Boolean> result) {
    byFingerprint.put(fingerprint, result);
    result.onComplete(completed -> byFingerprint.remove(fingerprint, result));
  }

  /** Returns the probe result that a content waits for, if any. */
  public Optional<Future<Boolean>> get(RequestFingerprint fingerprint) {
    return Optional.ofNullable(byFingerprint.get(fingerprint))
        .filter(result -> !result.isComplete());
  }
}
