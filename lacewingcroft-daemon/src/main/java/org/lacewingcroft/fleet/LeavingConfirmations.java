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

/**
 * Replicates an endpoint's draining or deregistration to a majority of the control group before it is acknowledged to the endpoint: the endpoint sends it only once, and the instance that received it may be lost directly afterwards.
 *
 * <p>Confined to the event loop thread.
 */
final class LeavingConfirmations {
  /** Time allowed for the majority to confirm; an endpoint tries another instance after a second. */
  private static final Duration PATIENCE = Duration.ofMillis(750);

  private final Vertx vertx;
  private final String self;
  private final FleetTransport transport;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Set<String> confirmed = new HashSet<>();
  private long nextCallId = 1;

  private static final class Pending {
    private final Promise<Boolean> done = Promise.promise();
    private final Set<String> missing;
    private int needed;

    private Pending(Set<String> missing, int needed) {
      this.missing = missing;
      this.needed = needed;
    }
  }

  LeavingConfirmations(Vertx vertx, String self, FleetTransport transport) {
    this.vertx = vertx;
    this.self = self;
    this.transport = transport;
  }

  /**
   * Sends a record to the members.
   *
   * @return whether a majority of them confirmed it within the timeout
   */
  Future<Boolean> confirm(EndpointRecord record, Set<String> members) {
    String key = record.id() + '/' + record.startedAtMillis() + '/' + record.state();
    int needed = MajorityCount.othersNeeded(members, self);
    if (confirmed.contains(key) || needed == 0) {
      return Future.succeededFuture(true);
    }
    Set<String> others = new TreeSet<>(members);
    others.remove(self);
    long callId = nextCallId++;
    Pending waiting = new Pending(others, needed);
    pending.put(callId, waiting);
    FleetMessage update = new FleetMessage.RosterUpdate(self, callId, false, List.of(record));
    List.copyOf(others).forEach(o -> transport.send(o, update));
    vertx.setTimer(PATIENCE.toMillis(), id -> giveUp(callId));
    return waiting.done.future().onSuccess(yes -> remember(key, yes));
  }

  private void remember(String key, boolean yes) {
    if (yes) {
      confirmed.add(key);
    }
  }

  private void giveUp(long callId) {
    Pending waiting = pending.remove(callId);
    if (waiting != null) {
      waiting.done.tryComplete(false);
    }
  }

  /** Records a member's confirmation. */
  void acknowledged(FleetMessage.RosterAck ack) {
    Pending waiting = pending.get(ack.callId());
    if (waiting == null || !waiting.missing.remove(ack.from())) {
      return;
    }
    waiting.needed--;
    if (waiting.needed <= 0) {
      pending.remove(ack.callId());
      waiting.done.tryComplete(true);
    }
  }
}
