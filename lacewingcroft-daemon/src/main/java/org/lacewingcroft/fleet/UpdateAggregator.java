package org.lacewingcroft.fleet;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lacewingcroft.fleet.FleetMessage.News;

/**
 * The part of a control instance that collects the updates of a region's entries and sends each entry the updates of the others, and sends the aggregators of other regions the updates that concern them. It holds no state that must survive a crash: entries report their load again within a second.
 *
 * <p>Confined to the event loop thread.
 */
final class UpdateAggregator {
  /** Interval at which due digests are checked for. */
  private static final long TICK_MILLIS = 40;

  /** Time without updates from a region's entries after which they receive no more digests. */
  private static final Duration SERVED = Duration.ofSeconds(2);

  private final FleetTransport transport;
  private final InstantSource clock;
  private final String self;
  private final Function<String, Collection<String>> entriesOfRegion;
  private final Supplier<Collection<String>> otherControls;
  private final Map<String, Served> regions = new TreeMap<>();

  /** A region whose entries have selected this aggregator. */
  private static final class Served {
    private final UpdateBuffer digest = new UpdateBuffer();
    private final RemoteUpdateBuffer remote = new RemoteUpdateBuffer();
    private Instant heardAt;
  }

  /**
   * Creates the aggregator; {@link #start} begins to send digests.
   *
   * @param self this instance's peer address
   * @param entriesOfRegion returns the peer addresses of a region's live entries
   * @param otherControls returns the peer addresses of the other control instances
   */
  UpdateAggregator(
      FleetTransport transport,
      InstantSource clock,
      String self,
      Function<String, Collection<String>> entriesOfRegion,
      Supplier<Collection<String>> otherControls) {
    this.transport = transport;
    this.clock = clock;
    this.self = self;
    this.entriesOfRegion = entriesOfRegion;
    this.otherControls = otherControls;
  }

  void start(Vertx vertx) {
    vertx.setPeriodic(TICK_MILLIS, id -> tick());
  }

  /** Buffers an entry's updates. */
  void heard(FleetMessage.EntryNews told) {
    Instant now = clock.instant();
    Served own = regions.computeIfAbsent(told.region(), r -> new Served());
    own.heardAt = now;
    own.digest.add(told.news(), told.urgent());
    own.remote.add(told.news(), now);
    News forOtherRegions =
        new News(
            List.of(), told.news().prefixes(), told.news().regionLoads(), told.news().quotaUsage());
    addToOthers(told.region(), forOtherRegions);
  }

  /** Buffers the updates of another region, received from its aggregator. */
  void heard(FleetMessage.RemoteNews told) {
    addToOthers(told.region(), told.news());
  }

  private void addToOthers(String origin, News news) {
    regions.forEach(
        (region, served) -> {
          if (!region.equals(origin)) {
            served.digest.add(news, false);
          }
        });
  }

  private void tick() {
    Instant now = clock.instant();
    regions.values().removeIf(s -> s.heardAt.plus(SERVED).isBefore(now));
    regions.forEach((region, served) -> tell(region, served, now));
  }

  private void tell(String region, Served served, Instant now) {
    served
        .digest
        .take(now)
        .ifPresent(
            news ->
                transport.sendAll(
                    entriesOfRegion.apply(region), new FleetMessage.NewsDigest(self, news)));
    served
        .remote
        .take(now)
        .ifPresent(
            news ->
                transport.sendAll(otherControls.get(), new FleetMessage.RemoteNews(region, news)));
  }
}
