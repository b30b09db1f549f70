package org.lacewingcroft.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * How an entry daemon, which has no disk, learns the configuration from its peers without ever
 * stepping back.
 *
 * <p>Once it serves, newer versions are put in force at once. After a start, though, the first
 * offer may come from a peer that lags behind the version this instance had in force before, so
 * offers are held back until peers have been heard for a settling time and the best offer is no
 * older than any version they reported. A peer may report a version and vanish, so the wait is
 * bounded.
 */
public final class ConfigReceiver {
  private static final int MAX_SETTLING_TIMES = 5;

  private record Offer(long version, String document) {}

  private final ConfigStore configs;
  private final Duration settle;
  private Optional<Instant> firstHeardAt = Optional.empty();
  private Optional<Offer> best = Optional.empty();
  private long highestReported;

  /**
   * Creates the learner of one daemon.
   *
   * @param configs where versions are put in force
   * @param settle how long to listen to peers after the first is heard
   */
  public ConfigReceiver(ConfigStore configs, Duration settle) {
    this.configs = configs;
    this.settle = settle;
  }

  /**
   * Notes the version that a peer reports to have in force.
   *
   * @return whether it is newer than the best version offered, so that it should be asked for
   */
  public synchronized boolean onReportedVersion(long version, Instant now) {
    if (firstHeardAt.isEmpty()) {
      firstHeardAt = Optional.of(now);
    }
    highestReported = Math.max(highestReported, version);
    return version > highestOfferedVersion();
  }

  /** Takes a version that a peer offers. */
  public synchronized void onOffer(long version, String document, Instant now) {
    if (version > highestOfferedVersion()) {
      best = Optional.of(new Offer(version, document));
    }
    tick(now);
  }

  /**
   * Takes patches that a peer offers; before this daemon has a version of its own they are of no
   * use and ignored.
   */
  public synchronized void onPatches(long baseVersion, List<String> patches) {
    if (configs.current().version() > 0) {
      configs.offerPatches(baseVersion, patches.stream().map(ConfigPatch::parse).toList());
    }
  }

  /** Returns the newest version offered or in force. */
  public synchronized long highestOfferedVersion() {
    return Math.max(configs.current().version(), best.map(Offer::version).orElse(0L));
  }

  /** Lets time pass: puts the best offer in force once that is safe. */
  public synchronized void tick(Instant now) {
    if (best.isPresent() && (configs.current().version() > 0 || settled(now))) {
      configs.offer(best.get().version(), best.get().document());
      best = Optional.empty();
    }
  }

  private boolean settled(Instant now) {
    if (firstHeardAt.isEmpty()) {
      return false;
    }
    Duration listened = Duration.between(firstHeardAt.get(), now);
    boolean newest = best.map(Offer::version).orElse(0L) >= highestReported;
    return listened.compareTo(settle) >= 0 && newest
        || listened.compareTo(settle.multipliedBy(MAX_SETTLING_TIMES)) >= 0;
  }
}
