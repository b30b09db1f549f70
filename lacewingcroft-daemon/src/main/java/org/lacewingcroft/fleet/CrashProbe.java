package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Checks whether an endpoint that closed a connection during a request has crashed. Connections are
 * closed for many reasons, but only a port without a listener refuses new ones. A TCP reset caused
 * on the network path can make one attempt look refused, so two consecutive refusals are required.
 *
 * <p>Thread-safe.
 */
public final class CrashProbe {
  /**
   * Delay before each attempt: a crashing endpoint closes its connections and its port at about the
   * same time.
   */
  private static final long ATTEMPT_DELAY_MILLIS = 30;

  private static final int CONNECT_TIMEOUT_MILLIS = 300;
  private static final int REQUIRED_REFUSALS = 2;

  private final Vertx vertx;
  private final NetClient client;
  private final Map<SocketAddress, Future<Boolean>> inProgress = new ConcurrentHashMap<>();

  /** Creates a probe with no checks in progress. */
  public CrashProbe(Vertx vertx) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  }

  /**
   * Checks an endpoint, once for all requests whose connections were closed at the same time.
   *
   * @return whether it refuses new connections; false if that cannot be determined
   */
  public Future<Boolean> hasCrashed(SocketAddress address) {
    return checkOnce(address, () -> refusesConnections(address, REQUIRED_REFUSALS));
  }

  /**
   * Checks an endpoint like {@link #hasCrashed(SocketAddress)}, for an instance that may be
   * partitioned from all endpoints.
   *
   * @param others other endpoints, which are tried in turn
   * @return whether it refuses new connections while another endpoint accepts one
   */
  public Future<Boolean> hasCrashed(SocketAddress address, List<SocketAddress> others) {
    return checkOnce(
        address,
        () ->
            refusesConnections(address, REQUIRED_REFUSALS)
                .compose(refuses -> refuses ? acceptsAny(others) : Future.succeededFuture(false)));
  }

  private Future<Boolean> checkOnce(SocketAddress address, Supplier<Future<Boolean>> check) {
    return inProgress.computeIfAbsent(
        address,
        a -> {
          Future<Boolean> result = check.get();
          result.onComplete(done -> inProgress.remove(a));
          return result;
        });
  }

  private Future<Boolean> acceptsAny(List<SocketAddress> addresses) {
    if (addresses.isEmpty()) {
      return Future.succeededFuture(false);
    }
    List<SocketAddress> rest = addresses.subList(1, addresses.size());
    return client
        .connect(addresses.get(0))
        .compose(socket -> socket.close().map(true), e -> acceptsAny(rest));
  }

  private Future<Boolean> refusesConnections(SocketAddress address, int refusalsLeft) {
    return vertx
        .timer(ATTEMPT_DELAY_MILLIS)
        .compose(delayed -> client.connect(address))
        .compose(
            socket -> socket.close().map(false),
            e ->
                !isRefusal(e)
                    ? Future.succeededFuture(false)
                    : refusalsLeft == 1
                        ? Future.succeededFuture(true)
                        : refusesConnections(address, refusalsLeft - 1));
  }

  /** Returns whether a connection was refused; timeouts have the same exception type. */
  private static boolean isRefusal(Throwable e) {
    return e instanceof ConnectException && String.valueOf(e.getMessage()).contains("refused");
  }
}
