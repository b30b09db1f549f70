package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.route.RouteTable;

/**
 * Creates entries that know a route table and endpoints but no other instance, and therefore send
 * no messages. Their quotas, quarantine and loads are their own.
 */
public final class IsolatedEntry {
  private IsolatedEntry() {}

  /** Returns the settings of an isolated entry that otherwise equals another one. */
  public static FleetSettings settings(FleetSettings of) {
    return new FleetSettings(
        of.nodeName(),
        "127.0.0.1",
        of.region(),
        of.failureDomain(),
        of.regionByDomain(),
        /* peerPort= */ 0,
        /* relayPort= */ 0,
        /* seedPeers= */ List.of(),
        Optional.empty(),
        /* firstStart= */ true,
        of.toleratedFailures(),
        Optional.empty(),
        of.endpointHeartbeat(),
        of.bounds(),
        of.capacity(),
        ActiveEntriesMode.ALL,
        of.disabledMechanisms(),
        of.secret());
  }

  /**
   * Creates an entry that is ready to place requests.
   *
   * @param settings the result of {@link #settings}
   * @param table its route table
   * @param endpoints its endpoints
   */
  public static EntryNode create(
      Context context,
      FleetSettings settings,
      RouteTable table,
      List<EndpointRecord> endpoints,
      InstantSource clock) {
    EntryInfo self =
        new EntryInfo(
            settings.nodeName(),
            settings.region(),
            settings.failureDomain(),
            settings.peerAddress(),
            settings.peerAddress(),
            settings.relayAddress());
    EntryNode node =
        new EntryNode(
            context,
            settings,
            self,
            document -> table,
            address -> Future.succeededFuture(List.of()),
            clock);
    node.receive(new FleetMessage.StateOffer(1, table.version(), "", Set.of()));
    node.receive(new FleetMessage.RosterUpdate("", 0, true, endpoints));
    return node;
  }
}
