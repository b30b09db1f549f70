package org.lacewingcroft.fleet;

import java.util.List;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Selects the few entries of another region to which an entry relays its requests. With all entries
 * of a region as partners, most relays find no open connection and spend two more one-way trips
 * between regions on opening one, which at 55 ms one way is 110 ms of a total of 180 ms; with a few
 * partners the connections stay in use. Each entry ranks a region's entries differently, so that
 * together they use all of them evenly.
 */
public final class RelayPartners {
  /**
   * Maximum number of partners: tolerates the loss of two, and is low enough to keep a connection
   * open to each.
   */
  private static final int MAX_PARTNERS = 3;

  private RelayPartners() {}

  /**
   * Returns the partners among a region's entries: all of them if there are fewer than {@link
   * #MAX_PARTNERS}.
   *
   * @param entries the eligible entries
   * @param self the name of the relaying entry
   */
  public static List<EntryInfo> of(List<EntryInfo> entries, String self) {
    return Rendezvous.rank(entries, EntryInfo::name, self).stream().limit(MAX_PARTNERS).toList();
  }
}
