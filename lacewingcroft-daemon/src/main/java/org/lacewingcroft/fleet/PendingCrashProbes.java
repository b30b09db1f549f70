package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents under which an endpoint broke off a moment ago, while it is not known whether it has
 * ended. They wait for it: callers that ask for the same again at once would otherwise end one
 * endpoint after the other before the first end is confirmed.
 *
 * <p>Thread-safe.
 */
public final class PendingCrashProbes {
  private final Map<RequestFingerprint, Future<Boolean>> byContent = new ConcurrentHashMap<>();

  /** Has a content wait until a verdict is there. */
  public void add(RequestFingerprint content, Future<Boolean> verdict) {
    byContent.put(content, verdict);
    verdict.onComplete(known -> byContent.remove(content, verdict));
  }

  /** Returns what a content waits for. */
  public Optional<Future<Boolean>> get(RequestFingerprint content) {
    return Optional.ofNullable(byContent.get(content)).filter(verdict -> !verdict.isComplete());
  }
}
