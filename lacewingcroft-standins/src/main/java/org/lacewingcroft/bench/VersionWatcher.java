package org.lacewingcroft.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Polls the active configuration version of every daemon of a deployment, with one thread per
 * daemon. Every observation of an older version counts as a revert, also across restarts of the
 * daemon.
 */
public final class VersionWatcher implements AutoCloseable {
  private static final long POLL_MILLIS = 10;

  private final LocalDeployment deployment;
  private final Map<String, VersionHistory> histories = new LinkedHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  private record VersionIncrease(long atNanos, long version) {}

  private static final class VersionHistory {
    private final List<VersionIncrease> increases = new ArrayList<>();
    private long highest;
    private int reverts;

    synchronized void record(long version, long atNanos) {
      if (version > highest) {
        highest = version;
        increases.add(new VersionIncrease(atNanos, version));
      } else if (version < highest) {
        reverts++;
      }
    }

    synchronized Optional<Long> activeSinceNanos(long version) {
      return increases.stream()
          .filter(increase -> increase.version() >= version)
          .map(VersionIncrease::atNanos)
          .findFirst();
    }
  }

  /** Creates a watcher and starts polling the given daemons. */
  public VersionWatcher(LocalDeployment deployment, List<String> nodes) {
    this.deployment = deployment;
    for (String node : nodes) {
      VersionHistory history = new VersionHistory();
      histories.put(node, history);
      Thread thread = new Thread(() -> poll(deployment.urlOf(node), history), "watch-" + node);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void poll(String url, VersionHistory history) {
    while (!closed) {
      long version = deployment.client().configVersion(url);
      if (version >= 0) {
        history.record(version, System.nanoTime());
      }
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /**
   * Returns the {@link System#nanoTime} at which this or a newer version was first observed on a
   * daemon, or empty if it was not.
   */
  public Optional<Long> activeSinceNanos(String node, long version) {
    return histories.get(node).activeSinceNanos(version);
  }

  /** Returns the number of polls of all daemons that returned an older version than before. */
  public int reverts() {
    return histories.values().stream().mapToInt(history -> history.reverts).sum();
  }

  @Override
  public void close() {
    closed = true;
    threads.forEach(Thread::interrupt);
  }
}
