package org.lacewingcroft.config;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import org.lacewingcroft.error.GatewayException;

/**
 * Holds the active configuration of one daemon. Versions are applied in increasing order only: a
 * version that is not newer than the active one is rejected, so the configuration never reverts.
 *
 * <p>Readers on the request path call {@link #current()}, a single volatile read of an immutable
 * snapshot (read-copy-update).
 */
public final class ConfigStore {
  /** The outcome of an offered version. */
  public enum Outcome {
    /** The version was newer and is now active. */
    APPLIED,
    /** The version was not newer than the active one; nothing changed. */
    STALE,
    /** The document did not parse; nothing changed. */
    INVALID
  }

  /**
   * An active version with its source document.
   *
   * @param config the parsed configuration with its version
   * @param source the document that it was parsed from
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

  /** Maximum number of patches retained for daemons that lag behind. */
  public static final int MAX_RECENT_PATCHES = 512;

  /** Maximum size of these patches in characters, so that they fit one message between daemons. */
  private static final long MAX_RECENT_PATCH_CHARS = 4 << 20;

  private static final System.Logger LOG = System.getLogger(ConfigStore.class.getName());
  private final AtomicReference<Applied> current =
      new AtomicReference<>(new Applied(GatewayConfig.EMPTY, ConfigDocument.EMPTY));
  private final TreeMap<Long, String> recentPatches = new TreeMap<>();
  private volatile LongConsumer appliedListener = version -> {};
  private final AtomicLong staleOffers = new AtomicLong();

  /**
   * Sets the listener that is called with each version once it is active; must be called before the
   * first offer.
   */
  public void onApplied(LongConsumer listener) {
    this.appliedListener = listener;
  }

  /** Returns the active version; version 0 means that none has been received yet. */
  public Applied current() {
    return current.get();
  }

  /**
   * Returns the number of offers rejected because their version was not newer than the active one.
   */
  public long staleOffers() {
    return staleOffers.get();
  }

  /**
   * Activates a version received from the control group or a peer, if it is newer than the active
   * one.
   *
   * @param version the version, assigned by the control group's log
   * @param document the YAML document
   * @return the outcome
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
    return activate(new Applied(parsed, new ConfigDocument(document)), Optional.empty());
  }

  /**
   * Applies the patches from one version to the versions that follow it.
   *
   * @param baseVersion the version to which the first patch applies
   * @param patches one patch per version, in order
   * @return the outcome; {@link Outcome#STALE} also if the active version is older than the base
   */
  public Outcome offerPatches(long baseVersion, List<ConfigPatch> patches) {
    Outcome outcome = Outcome.STALE;
    for (int i = 0; i < patches.size(); i++) {
      Applied base = current.get();
      if (base.version() == baseVersion + i) {
        ConfigPatch patch = patches.get(i);
        Applied next =
            new Applied(
                base.config().patched(patch, baseVersion + i + 1), base.source().patched(patch));
        outcome = activate(next, Optional.of(patch));
      }
    }
    return outcome;
  }

  private Outcome activate(Applied next, Optional<ConfigPatch> patch) {
    synchronized (recentPatches) {
      if (current.get().version() >= next.version()) {
        staleOffers.incrementAndGet();
        return Outcome.STALE;
      }
      patch.ifPresentOrElse(p -> recentPatches.put(next.version(), p.text()), recentPatches::clear);
      while (recentPatches.size() > MAX_RECENT_PATCHES
          || recentPatches.values().stream().mapToLong(String::length).sum()
              > MAX_RECENT_PATCH_CHARS) {
        recentPatches.pollFirstEntry();
      }
      current.set(next);
    }
    LOG.log(System.Logger.Level.INFO, "config.applied", "version", next.version());
    appliedListener.accept(next.version());
    return Outcome.APPLIED;
  }

  /**
   * Returns the patches from an older version to the active one.
   *
   * @return one patch per version in order, or empty if the whole document must be sent instead
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
