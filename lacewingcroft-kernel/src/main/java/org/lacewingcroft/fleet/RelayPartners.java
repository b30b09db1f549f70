package org.lacewingcroft.fleet;

import java.util.List;
import org.lacewingcroft.misc.Rendezvous;

/**
 * The few entries of another region to which one entry relays its requests. With all of a region's
 * entries as partners, most relays find no open connection and spend two more trips between regions
 * on one, 110 of 180 ms at 55 ms one way; with a few, connections stay in use. Each entry ranks a
 * region's entries its own way, so that together they use all of them evenly.
 */
public final class RelayPartners {
  /** Enough that two may be lost at once, few enough to keep a connection to each. */
  private static final int PARTNERS = 3;

  private RelayPartners() {}

  /**
   * Returns the partners among a region's entries, fewer only if there are no more.
   *
   * @param entries the entries that may be used
   * @param self the name of the entry that relays
   */
  public static List<EntryInfo> of(List<EntryInfo> entries, String self) {
    return Rendezvous.rank(entries, EntryInfo::name, self).stream().limit(PARTNERS).toList();
  }
}
