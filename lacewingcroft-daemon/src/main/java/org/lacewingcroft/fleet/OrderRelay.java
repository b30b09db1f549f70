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
import java.util.function.Supplier;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.RoutingState;
import org.lacewingcroft.control.RoutingControl;
import org.lacewingcroft.fleet.FleetMessage.ControlOrder;
import org.lacewingcroft.metrics.GatewayMetrics;

/** Forwards operator orders and reads from the instance that received them to the leader of the control group. Orders are idempotent, so an order is sent again while its outcome is unknown. A read is answered only by a leader that has just confirmed its leadership. */
public final class OrderRelay {
  private static final System.Logger LOG = System.getLogger(OrderRelay.class.getName());

  /** Maximum time for an order at this instance; operators try another instance after a second. */
  private static final Duration PATIENCE = Duration.ofMillis(930);

  /** Timeout of one attempt with one leader: some round trips and slow disk syncs. */
  private static final Duration TRY_PATIENCE = Duration.ofMillis(600);

  /** Delay before the next attempt if no leader is known or the leader did not reply. */
  private static final long RETRY_MILLIS = 60;

  private final Context context;
  private final Vertx vertx;
  private final String self;
  private final Supplier<RoutingControl> control;
  private final FleetTransport transport;
  private final GatewayMetrics metrics;
  private final Map<Long, Promise<Outcome>> calls = new HashMap<>();
  private long nextCallId = 1;

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
      ControlOrder kind, long version, String text, long basisRevision, long deadlineNanos) {
    Command command() {
      return switch (kind) {
        case ROUTE -> new Command.RoutingChange(version, text);
        case EVACUATE -> new Command.EvacuationChange(text, true, basisRevision);
        case RETURN -> new Command.EvacuationChange(text, false, basisRevision);
        case READ -> new Command.Noop();
      };
    }

    /** Returns whether the order is in effect in a routing state; a committed evacuation may have been superseded. */
    boolean inForce(RoutingState state) {
      return switch (kind) {
        case ROUTE -> state.version() >= version;
        case EVACUATE -> state.evacuatedDomains().contains(text);
        case RETURN -> !state.evacuatedDomains().contains(text);
        case READ -> true;
      };
    }

    long leftMillis() {
      return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }

  OrderRelay(
      Context context,
      String self,
      Supplier<RoutingControl> control,
      FleetTransport transport,
      GatewayMetrics metrics) {
    this.metrics = metrics;
    this.context = context;
    this.vertx = context.owner();
    this.self = self;
    this.control = control;
    this.transport = transport;
  }

  /** Activates a validated routing document. */
  public Future<Outcome> route(long version, String document) {
    return order(ControlOrder.ROUTE, version, document);
  }

  /** Begins or ends the evacuation of a failure domain. */
  public Future<Outcome> evacuate(String failureDomain, boolean active) {
    return order(active ? ControlOrder.EVACUATE : ControlOrder.RETURN, 0, failureDomain);
  }

  /** Reads the newest routing document. */
  public Future<Outcome> read() {
    return order(ControlOrder.READ, 0, "");
  }

  private Future<Outcome> order(ControlOrder kind, long version, String text) {
    Promise<Outcome> result = Promise.promise();
    long beganNanos = System.nanoTime();
    long deadline = beganNanos + PATIENCE.toNanos();
    long basis = control.get().view().routing().revision();
    attempt(new Order(kind, version, text, basis, deadline), result);
    return result
        .future()
        .onSuccess(
            o -> {
              metrics.orders.labelValues(kind.name(), Boolean.toString(o.committed())).inc();
              metrics.orderSeconds.observe((System.nanoTime() - beganNanos) / 1e9);
              log(kind, version, text, o);
            });
  }

  private void log(ControlOrder kind, long version, String text, Outcome outcome) {
    LOG.log(
        System.Logger.Level.INFO,
        "order.answered",
        "order",
        kind,
        "version",
        kind == ControlOrder.READ ? outcome.version() : version,
        "domain",
        kind == ControlOrder.ROUTE ? "" : text,
        "done",
        outcome.committed(),
        "leader",
        control.get().view().leader().orElse("none"),
        "term",
        control.get().view().term());
  }

  private void attempt(Order order, Promise<Outcome> result) {
    Optional<String> leader = control.get().view().leader();
    if (order.leftMillis() <= 0) {
      result.tryComplete(Outcome.UNKNOWN);
      return;
    }
    Future<Outcome> tried;
    if (leader.isEmpty()) {
      tried = Future.succeededFuture(Outcome.UNKNOWN);
    } else if (leader.get().equals(self)) {
      tried = submitHere(order, order.leftMillis());
    } else {
      tried = callLeader(leader.get(), order);
    }
    tried.onComplete(
        done -> {
          if (done.succeeded() && done.result().committed()) {
            result.tryComplete(done.result());
          } else {
            vertx.setTimer(RETRY_MILLIS, id -> attempt(order, result));
          }
        });
  }

  private Future<Outcome> submitHere(Order order, long patienceMillis) {
    Promise<Outcome> promise = Promise.promise();
    control
        .get()
        .submit(order.command(), Duration.ofMillis(Math.max(1, patienceMillis)))
        .onSuccess(result -> context.runOnContext(v -> promise.complete(outcome(order, result))));
    return promise.future();
  }

  private Outcome outcome(Order order, ChangeResult result) {
    RoutingState state = control.get().view().routing();
    if (!(result instanceof ChangeResult.Accepted) || !order.inForce(state)) {
      return Outcome.UNKNOWN;
    }
    boolean read = order.kind() == ControlOrder.READ;
    return new Outcome(true, state.version(), read ? state.document() : "");
  }

  private Future<Outcome> callLeader(String leader, Order order) {
    Promise<Outcome> promise = Promise.promise();
    long callId = nextCallId++;
    calls.put(callId, promise);
    transport.send(
        leader,
        new FleetMessage.ControlCall(
            self, callId, order.kind(), order.version(), order.text(), order.basisRevision()));
    vertx.setTimer(
        Math.max(1, Math.min(order.leftMillis(), TRY_PATIENCE.toMillis())),
        id -> {
          if (calls.remove(callId) != null) {
            promise.tryComplete(Outcome.UNKNOWN);
          }
        });
    return promise.future();
  }

  /** Executes an order that another instance forwarded, and replies to that instance. */
  void called(FleetMessage.ControlCall call) {
    Order order = new Order(call.order(), call.version(), call.text(), call.baseRevision(), 0);
    submitHere(order, TRY_PATIENCE.toMillis())
        .onSuccess(
            o ->
                transport.send(
                    call.from(),
                    new FleetMessage.ControlReply(
                        call.callId(), o.committed(), o.version(), o.document())));
  }

  /** Completes the order that a leader's reply belongs to. */
  void replied(FleetMessage.ControlReply reply) {
    Promise<Outcome> promise = calls.remove(reply.callId());
    if (promise != null) {
      promise.tryComplete(new Outcome(reply.committed(), reply.version(), reply.document()));
    }
  }
}
