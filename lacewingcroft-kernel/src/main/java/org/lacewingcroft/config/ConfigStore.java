package org.lacewingcroft.config;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import org.lacewingcroft.error.GatewayException;

/**
 * The configuration in force on one daemon: versions are applied in increasing order only, and a
 * version older than or equal to the one in force is refused, so the configuration never reverts.
 *
 * <p>Readers on the request path call {@link #current()}, a single volatile read of an immutable
 * snapshot (read-copy-update).
 */
public final class ConfigStore {
  /** What an offer of a version did. */
  public enum Outcome {
    /** The version was newer and is now in force. */
    APPLIED,
    /** The version was not newer than the one in force; nothing changed. */
    STALE,
    /** The document did not parse; nothing changed. */
    INVALID
  }

  /**
   * A version in force with its source document.
   *
   * @param config the parsed configuration, carrying the version
   * @param document the YAML document it came from
   */
  public record Applied(GatewayConfig config, String document) {
    /** Returns the version. */
    public long version() {
      return config.version();
    }
  }

  private static final System.Logger LOG = System.getLogger(ConfigStore.class.getName());
  private final AtomicReference<Applied> current =
      new AtomicReference<>(new Applied(GatewayConfig.EMPTY, ""));
  private volatile LongConsumer applied = version -> {};
  private final AtomicLong staleOffers = new AtomicLong();

  /** Sets who is told of each version once it is in force; set before the first offer. */
  public void onApplied(LongConsumer listener) {
    this.applied = listener;
  }

  /** Returns the version in force; version 0 means none was learned yet. */
  public Applied current() {
    return current.get();
  }

  /** Returns how many offers of an older or equal version were refused. */
  public long staleOffers() {
    return staleOffers.get();
  }

  /**
   * Offers a version learned from the control role or a peer.
   *
   * @param version the version, a log index assigned by the control role
   * @param document the YAML document
   * @return what happened
   */
  public Outcome offer(long version, String document) {
    if (version <= current.get().version()) {
      staleOffers.incrementAndGet();
      return Outcome.STALE;
    }
    GatewayConfig parsed;
    try {
      parsed = ConfigParser.parse(document).withVersion(version);
    } catch (GatewayException e) {
      return Outcome.INVALID;
    }
    Applied next = new Applied(parsed, document);
    while (true) {
      Applied seen = current.get();
      if (seen.version() >= version) {
        staleOffers.incrementAndGet();
        return Outcome.STALE;
      }
      if (current.compareAndSet(seen, next)) {
        LOG.log(System.Logger.Level.INFO, "config.applied", "version", version);
        applied.accept(version);
        return Outcome.APPLIED;
      }
    }
  }
}
