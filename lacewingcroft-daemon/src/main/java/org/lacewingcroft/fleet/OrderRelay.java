package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.RoutingState;
import org.lacewingcroft.control.RoutingControl;
import org.lacewingcroft.fleet.FleetMessage.ControlOrder;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.CallIds;

/**
 * Forwards operator orders and reads from the instance that received them to the leader of the
 * control group. Orders are idempotent, so an order is sent again while its outcome is unknown. A
 * read is executed only by a leader that has just confirmed its leadership.
 */
public final class OrderRelay {
  private static final System.Logger LOG = System.getLogger(OrderRelay.class.getName());

  /** Maximum time for an order at this instance; operators try another instance after a second. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(930);

  /** Timeout of one attempt with one leader: some round trips and slow disk syncs. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(600);

  /** Delay before the next attempt if no leader is known or the leader did not reply. */
  private static final long RETRY_DELAY_MILLIS = 60;

  private final Context context;
  private final Vertx vertx;
  private final String selfAddress;
  private final RoutingControl control;
  private final FleetTransport transport;
  private final GatewayMetrics metrics;
  private final Map<Long, Promise<Outcome>> pendingCalls = new HashMap<>();
  private final CallIds callIds = new CallIds();

  /**
   * The outcome of an order.
   *
   * @param committed whether the order is committed; otherwise its outcome is unknown
   * @param version for a read, the operator's version of the active document
   * @param document for a read, that document
   */
  public record Outcome(boolean committed, long version, String document) {
    static final Outcome UNKNOWN = new Outcome(false, 0, "");
  }

  private record Order(
      ControlOrder kind, long version, String argument, long baseRevision, long deadlineNanos) {
    Command command() {
      return switch (kind) {
        case ROUTE -> new Command.RoutingChange(version, argument);
        case EVACUATE -> new Command.EvacuationChange(argument, true, baseRevision);
        case RETURN -> new Command.EvacuationChange(argument, false, baseRevision);
        case READ -> new Command.Noop();
      };
    }

    /**
     * Returns whether the order is in effect in a routing state; a committed evacuation may have
     * been superseded.
     */
    boolean isInEffect(RoutingState state) {
      return switch (kind) {
        case ROUTE -> state.version() >= version;
        case EVACUATE -> state.evacuatedDomains().contains(argument);
        case RETURN -> !state.evacuatedDomains().contains(argument);
        case READ -> true;
      };
    }

    long remainingMillis() {
      return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }

  OrderRelay(
      Context context,
      String selfAddress,
      RoutingControl control,
      FleetTransport transport,
      GatewayMetrics metrics) {
    this.metrics = metrics;
    this.context = context;
    this.vertx = context.owner();
    this.selfAddress = selfAddress;
    this.control = control;
    this.transport = transport;
  }

  /** Activates a validated routing document. */
  public Future<Outcome> route(long version, String document) {
    return submit(ControlOrder.ROUTE, version, document);
  }

  /** Begins or ends the evacuation of a failure domain. */
  public Future<Outcome> evacuate(String failureDomain, boolean active) {
    return submit(active ? ControlOrder.EVACUATE : ControlOrder.RETURN, 0, failureDomain);
  }

  /** Reads the newest routing document. */
  public Future<Outcome> read() {
    return submit(ControlOrder.READ, 0, "");
  }

  private Future<Outcome> submit(ControlOrder kind, long version, String argument) {
    Promise<Outcome> result = Promise.promise();
    long startNanos = System.nanoTime();
    long deadlineNanos = startNanos + ORDER_TIMEOUT.toNanos();
    RoutingControl.View view = control.view();
    boolean needsBaseRevision = kind == ControlOrder.EVACUATE || kind == ControlOrder.RETURN;
    if (needsBaseRevision && !view.hasCaughtUp()) {
      result.complete(Outcome.UNKNOWN);
    } else {
      long baseRevision = view.routing().revision();
      attempt(new Order(kind, version, argument, baseRevision, deadlineNanos), result);
    }
    return result
        .future()
        .onSuccess(
            outcome -> {
              metrics.orders.labelValues(kind.name(), Boolean.toString(outcome.committed())).inc();
              metrics.orderSeconds.observe((System.nanoTime() - startNanos) / 1e9);
              log(kind, version, argument, outcome);
            });
  }

  private void log(ControlOrder kind, long version, String argument, Outcome outcome) {
    LOG.log(
        System.Logger.Level.INFO,
        "order.answered",
        "order",
        kind,
        "version",
        kind == ControlOrder.READ ? outcome.version() : version,
        "domain",
        kind == ControlOrder.ROUTE ? "" : argument,
        "done",
        outcome.committed(),
        "leader",
        control.view().leader().orElse("none"),
        "term",
        control.view().term());
  }

  private void attempt(Order order, Promise<Outcome> result) {
    Optional<String> leader = control.view().leader();
    if (order.remainingMillis() <= 0) {
      result.tryComplete(Outcome.UNKNOWN);
      return;
    }
    Future<Outcome> outcome;
    if (leader.isEmpty()) {
      outcome = Future.succeededFuture(Outcome.UNKNOWN);
    } else if (leader.get().equals(selfAddress)) {
      outcome = submitLocally(order, order.remainingMillis());
    } else {
      outcome = callLeader(leader.get(), order);
    }
    outcome.onComplete(
        completed -> {
          if (completed.succeeded() && completed.result().committed()) {
            result.tryComplete(completed.result());
          } else {
            vertx.setTimer(RETRY_DELAY_MILLIS, id -> attempt(order, result));
          }
        });
  }

  private Future<Outcome> submitLocally(Order order, long timeoutMillis) {
    Promise<Outcome> promise = Promise.promise();
    control
        .submit(order.command(), Duration.ofMillis(Math.max(1, timeoutMillis)))
        .onSuccess(result -> context.runOnContext(v -> promise.complete(outcome(order, result))));
    return promise.future();
  }

  private Outcome outcome(Order order, ChangeResult result) {
    RoutingState state = control.view().routing();
    if (!(result instanceof ChangeResult.Accepted) || !order.isInEffect(state)) {
      return Outcome.UNKNOWN;
    }
    boolean isRead = order.kind() == ControlOrder.READ;
    return new Outcome(true, state.version(), isRead ? state.document() : "");
  }

  private Future<Outcome> callLeader(String leader, Order order) {
    Promise<Outcome> promise = Promise.promise();
    long callId = callIds.next();
    pendingCalls.put(callId, promise);
    transport.send(
        leader,
        new FleetMessage.ControlCall(
            selfAddress,
            callId,
            order.kind(),
            order.version(),
            order.argument(),
            order.baseRevision()));
    vertx.setTimer(
        Math.max(1, Math.min(order.remainingMillis(), ATTEMPT_TIMEOUT.toMillis())),
        id -> {
          if (pendingCalls.remove(callId) != null) {
            promise.tryComplete(Outcome.UNKNOWN);
          }
        });
    return promise.future();
  }

  /** Executes an order that another instance forwarded, and replies to that instance. */
  void onControlCall(FleetMessage.ControlCall call) {
    Order order = new Order(call.order(), call.version(), call.argument(), call.baseRevision(), 0);
    submitLocally(order, ATTEMPT_TIMEOUT.toMillis())
        .onSuccess(
            outcome ->
                transport.send(
                    call.from(),
                    new FleetMessage.ControlReply(
                        call.callId(),
                        outcome.committed(),
                        outcome.version(),
                        outcome.document())));
  }

  /** Completes the order that a leader's reply belongs to. */
  void onControlReply(FleetMessage.ControlReply reply) {
    Promise<Outcome> promise = pendingCalls.remove(reply.callId());
    if (promise != null) {
      promise.tryComplete(new Outcome(reply.committed(), reply.version(), reply.document()));
    }
  }
}
