package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lacewingcroft.limit.FairShares;
import org.lacewingcroft.route.Organisation;

/**
 * Shares scarce capacity between organisations at the admission of an entry's callers, and logs
 * when a service becomes saturated and when its saturation ends.
 *
 * <p>Confined to the event loop thread.
 */
public final class CapacitySharing {
  private static final System.Logger LOG = System.getLogger(CapacitySharing.class.getName());

  private final FairShares shares;
  private final InstantSource clock;
  private final Supplier<FairShares.Peers> peers;
  private Set<String> loggedServices = Set.of();
  private long refused;
  private long refusedAtLastChange;

  /**
   * Creates the sharing for the services of a region.
   *
   * @param peers returns what this entry knows of the region's entries
   */
  CapacitySharing(String region, InstantSource clock, Supplier<FairShares.Peers> peers) {
    this.shares = new FairShares(region);
    this.clock = clock;
    this.peers = peers;
  }

  void configure(Collection<Organisation> organisations) {
    shares.configure(organisations);
  }

  /**
   * Decides whether a request of an organisation is admitted.
   *
   * @return empty if it is admitted, else the delay until the organisation is back within its share
   */
  public Optional<Duration> admit(FairShares.Request request) {
    Optional<Duration> retryAfter = shares.admit(request, peers.get(), clock.instant());
    if (retryAfter.isPresent()) {
      refused++;
    }
    return retryAfter;
  }

  /** Records that an admitted request has not run. */
  public void refund(FairShares.Request request) {
    shares.refund(request, clock.instant());
  }

  /** Records that placement refused a request of a caller of this entry for overload. */
  public void recordOverload(String service) {
    shares.recordOverload(service, clock.instant());
    logChanges();
  }

  /** Returns the saturated services, for metrics. */
  public Set<String> saturatedServices() {
    return shares.saturatedServices(clock.instant());
  }

  /** Returns the usage to report to the other entries, by key. */
  Map<String, Long> drainUnreportedUsage() {
    logChanges();
    return shares.drainUnreportedUsage(clock.instant());
  }

  void applyFleetUsage(Map<String, Long> usage, Instant now) {
    shares.applyFleetUsage(usage, now);
  }

  void applyPeerUsage(Map<String, Long> usage, Instant now) {
    shares.applyPeerUsage(usage, now);
  }

  private void logChanges() {
    Set<String> saturated = saturatedServices();
    if (!saturated.equals(loggedServices)) {
      loggedServices = saturated;
      LOG.log(
          System.Logger.Level.INFO,
          "services.saturated",
          "services",
          saturated,
          "refusedByShareSinceChange",
          refused - refusedAtLastChange);
      refusedAtLastChange = refused;
    }
  }
}
