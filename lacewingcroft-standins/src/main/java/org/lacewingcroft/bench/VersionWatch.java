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
public final class VersionWatch implements AutoCloseable {
  private static final long POLL_MILLIS = 10;

  private final LocalDeployment deployment;
  private final Map<String, Track> tracks = new LinkedHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  private record Rise(long atNanos, long version) {}

  private static final class Track {
    private final List<Rise> rises = new ArrayList<>();
    private long highest;
    private int reverts;

    synchronized void saw(long version, long atNanos) {
      if (version > highest) {
        highest = version;
        rises.add(new Rise(atNanos, version));
      } else if (version < highest) {
        reverts++;
      }
    }

    synchronized Optional<Long> inForceAt(long version) {
      return rises.stream().filter(r -> r.version() >= version).map(Rise::atNanos).findFirst();
    }
  }

  /** Creates a watcher and starts polling the given daemons. */
  public VersionWatch(LocalDeployment deployment, List<String> nodes) {
    this.deployment = deployment;
    for (String node : nodes) {
      Track track = new Track();
      tracks.put(node, track);
      Thread thread = new Thread(() -> poll(deployment.urlOf(node), track), "watch-" + node);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void poll(String url, Track track) {
    while (!closed) {
      long version = deployment.client().configVersion(url);
      if (version >= 0) {
        track.saw(version, System.nanoTime());
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
  public Optional<Long> inForceAtNanos(String node, long version) {
    return tracks.get(node).inForceAt(version);
  }

  /** Returns the number of polls of all daemons that returned an older version than before. */
  public int reverts() {
    return tracks.values().stream().mapToInt(t -> t.reverts).sum();
  }

  @Override
  public void close() {
    closed = true;
    threads.forEach(Thread::interrupt);
  }
}
