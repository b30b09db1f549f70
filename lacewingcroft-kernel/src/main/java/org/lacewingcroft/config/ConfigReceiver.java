package org.lacewingcroft.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Receives the configuration of an entry daemon, which has no disk, from its peers, and never
 * activates an older version than this daemon had active before.
 *
 * <p>Once a version is active, newer versions are activated immediately. After a start, the first
 * offer may come from a peer that lags behind the version that this instance had active before the
 * restart. Offers are therefore held back until reports have been received for a settling time and
 * the best offer is no older than any reported version. A peer may report a version and then become
 * unreachable, so the wait is bounded.
 */
public final class ConfigReceiver {
  private static final int MAX_SETTLING_TIMES = 5;

  private record Offer(long version, String document) {}

  private final ConfigStore configs;
  private final Duration settlingTime;
  private Optional<Instant> firstReportAt = Optional.empty();
  private Optional<Offer> bestOffer = Optional.empty();
  private long highestReportedVersion;

  /**
   * Creates the receiver of one daemon.
   *
   * @param configs the store in which versions are activated
   * @param settlingTime the minimum time between the first report of a peer and the first
   *     activation
   */
  public ConfigReceiver(ConfigStore configs, Duration settlingTime) {
    this.configs = configs;
    this.settlingTime = settlingTime;
  }

  /**
   * Records the active version that a peer reports.
   *
   * @return whether it is newer than the highest version offered or active, so that it should be
   *     requested
   */
  public synchronized boolean onReportedVersion(long version, Instant now) {
    if (firstReportAt.isEmpty()) {
      firstReportAt = Optional.of(now);
    }
    highestReportedVersion = Math.max(highestReportedVersion, version);
    return version > highestOfferedVersion();
  }

  /** Handles a version that a peer offers. */
  public synchronized void onOffer(long version, String document, Instant now) {
    if (version > highestOfferedVersion()) {
      bestOffer = Optional.of(new Offer(version, document));
    }
    tick(now);
  }

  /**
   * Handles patches that a peer offers; they are ignored while this daemon has no active version to
   * apply them to.
   */
  public synchronized void onPatches(long baseVersion, List<String> patches) {
    if (configs.current().version() > 0) {
      configs.offerPatches(baseVersion, patches.stream().map(ConfigPatch::parse).toList());
    }
  }

  /** Returns the highest version offered or active. */
  public synchronized long highestOfferedVersion() {
    return Math.max(configs.current().version(), bestOffer.map(Offer::version).orElse(0L));
  }

  /** Activates the best offer if a version is already active or the offers have settled. */
  public synchronized void tick(Instant now) {
    if (bestOffer.isPresent() && (configs.current().version() > 0 || isSettled(now))) {
      configs.offer(bestOffer.get().version(), bestOffer.get().document());
      bestOffer = Optional.empty();
    }
  }

  private boolean isSettled(Instant now) {
    if (firstReportAt.isEmpty()) {
      return false;
    }
    Duration elapsed = Duration.between(firstReportAt.get(), now);
    boolean newest = bestOffer.map(Offer::version).orElse(0L) >= highestReportedVersion;
    return elapsed.compareTo(settlingTime) >= 0 && newest
        || elapsed.compareTo(settlingTime.multipliedBy(MAX_SETTLING_TIMES)) >= 0;
  }
}
