package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingcroft.misc.CallIds;

/**
 * Replicates an endpoint's draining or deregistration to a majority of the control group before it
 * is acknowledged to the endpoint: the endpoint sends it only once, and the instance that received
 * it may be lost directly afterwards.
 *
 * <p>Confined to the event loop thread.
 */
final class DepartureReplicator {
  /**
   * Time allowed for the majority to confirm; an endpoint tries another instance after a second.
   */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(750);

  private final Vertx vertx;
  private final String selfAddress;
  private final FleetTransport transport;
  private final Map<Long, PendingDeparture> pending = new HashMap<>();
  private final Set<String> replicated = new HashSet<>();
  private final CallIds callIds = new CallIds();

  private static final class PendingDeparture {
    private final Promise<Boolean> done = Promise.promise();
    private final Set<String> unconfirmed;
    private int requiredConfirmations;

    private PendingDeparture(Set<String> unconfirmed, int requiredConfirmations) {
      this.unconfirmed = unconfirmed;
      this.requiredConfirmations = requiredConfirmations;
    }
  }

  DepartureReplicator(Vertx vertx, String selfAddress, FleetTransport transport) {
    this.vertx = vertx;
    this.selfAddress = selfAddress;
    this.transport = transport;
  }

  /**
   * Sends a record to the members.
   *
   * @return whether a majority of them confirmed it within {@link #CONFIRMATION_TIMEOUT}
   */
  Future<Boolean> replicate(EndpointRecord record, Set<String> members) {
    String key = record.id() + '/' + record.startedAtMillis() + '/' + record.state();
    int requiredConfirmations = QuorumSize.requiredConfirmations(members, selfAddress);
    if (replicated.contains(key) || requiredConfirmations == 0) {
      return Future.succeededFuture(true);
    }
    Set<String> others = new TreeSet<>(members);
    others.remove(selfAddress);
    long callId = callIds.next();
    PendingDeparture departure = new PendingDeparture(others, requiredConfirmations);
    pending.put(callId, departure);
    FleetMessage update =
        new FleetMessage.RosterUpdate(selfAddress, callId, false, List.of(record));
    List.copyOf(others).forEach(o -> transport.send(o, update));
    vertx.setTimer(CONFIRMATION_TIMEOUT.toMillis(), id -> onTimeout(callId));
    return departure.done.future().onSuccess(confirmed -> recordOutcome(key, confirmed));
  }

  private void recordOutcome(String key, boolean confirmed) {
    if (confirmed) {
      replicated.add(key);
    }
  }

  private void onTimeout(long callId) {
    PendingDeparture departure = pending.remove(callId);
    if (departure != null) {
      departure.done.tryComplete(false);
    }
  }

  /** Records a member's confirmation. */
  void onRosterAck(FleetMessage.RosterAck ack) {
    PendingDeparture departure = pending.get(ack.callId());
    if (departure == null || !departure.unconfirmed.remove(ack.from())) {
      return;
    }
    departure.requiredConfirmations--;
    if (departure.requiredConfirmations <= 0) {
      pending.remove(ack.callId());
      departure.done.tryComplete(true);
    }
  }
}
