package org.lacewingcroft.config;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
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
   * @param source the document it came from
   */
  public record Applied(GatewayConfig config, ConfigDocument source) {
    /** Returns the version. */
    public long version() {
      return config.version();
    }

    /** Returns the YAML document. */
    public String document() {
      return source.text();
    }
  }

  /** How many patches are kept for daemons that lag behind. */
  public static final int PATCHES_KEPT = 512;

  private static final System.Logger LOG = System.getLogger(ConfigStore.class.getName());
  private final AtomicReference<Applied> current =
      new AtomicReference<>(new Applied(GatewayConfig.EMPTY, ConfigDocument.EMPTY));
  private final TreeMap<Long, String> recentPatches = new TreeMap<>();
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
    return put(new Applied(parsed, new ConfigDocument(document)), Optional.empty());
  }

  /**
   * Offers the patches that lead from one version to the next ones.
   *
   * @param baseVersion the version the first patch applies to
   * @param patches one patch a version
   * @return what happened; stale too if the version in force is older than the base
   */
  public Outcome offerPatches(long baseVersion, List<ConfigPatch> patches) {
    Outcome outcome = Outcome.STALE;
    for (int i = 0; i < patches.size(); i++) {
      Applied seen = current.get();
      if (seen.version() == baseVersion + i) {
        ConfigPatch patch = patches.get(i);
        Applied next =
            new Applied(
                seen.config().patched(patch, baseVersion + i + 1), seen.source().patched(patch));
        outcome = put(next, Optional.of(patch));
      }
    }
    return outcome;
  }

  private Outcome put(Applied next, Optional<ConfigPatch> patch) {
    synchronized (recentPatches) {
      if (current.get().version() >= next.version()) {
        staleOffers.incrementAndGet();
        return Outcome.STALE;
      }
      patch.ifPresentOrElse(p -> recentPatches.put(next.version(), p.text()), recentPatches::clear);
      if (recentPatches.size() > PATCHES_KEPT) {
        recentPatches.pollFirstEntry();
      }
      current.set(next);
    }
    LOG.log(System.Logger.Level.INFO, "config.applied", "version", next.version());
    applied.accept(next.version());
    return Outcome.APPLIED;
  }

  /**
   * Returns the patches that lead from an older version to the one in force.
   *
   * @return one patch a version in order, or empty if the whole document must be sent instead
   */
  public Optional<List<String>> patchesSince(long version) {
    synchronized (recentPatches) {
      long missing = current.get().version() - version;
      List<String> patches = List.copyOf(recentPatches.tailMap(version, false).values());
      return version > 0 && missing > 0 && patches.size() == missing
          ? Optional.of(patches)
          : Optional.empty();
    }
  }
}
