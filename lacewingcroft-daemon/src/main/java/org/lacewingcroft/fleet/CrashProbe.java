package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Finds out whether an endpoint that closed a connection under a request has ended. Connections
 * close for many reasons; only a port at which nobody listens refuses new ones. A reset on the way
 * can make one attempt look refused, so it takes two in a row.
 *
 * <p>Thread-safe.
 */
public final class CrashProbe {
  /** Time before each attempt: an endpoint that ends closes its port at about the same time. */
  private static final long PAUSE_MILLIS = 30;

  private static final int CONNECT_TIMEOUT_MILLIS = 300;
  private static final int ATTEMPTS = 2;

  private final Vertx vertx;
  private final NetClient client;
  private final Map<SocketAddress, Future<Boolean>> running = new ConcurrentHashMap<>();

  /** Creates it; nothing is probed yet. */
  public CrashProbe(Vertx vertx) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  }

  /**
   * Asks once for all requests that broke off at the same time.
   *
   * @return whether new connections are refused; false as well if that cannot be told
   */
  public Future<Boolean> hasCrashed(SocketAddress address) {
    return running.computeIfAbsent(
        address,
        a -> {
          Future<Boolean> verdict = refuses(a, ATTEMPTS);
          verdict.onComplete(done -> running.remove(a));
          return verdict;
        });
  }

  private Future<Boolean> refuses(SocketAddress address, int attempts) {
    return vertx
        .timer(PAUSE_MILLIS)
        .compose(paused -> client.connect(address))
        .compose(
            socket -> socket.close().map(false),
            e ->
                !isRefusal(e)
                    ? Future.succeededFuture(false)
                    : attempts == 1
                        ? Future.succeededFuture(true)
                        : refuses(address, attempts - 1));
  }

  /** Time-outs have the same type as refusals. */
  private static boolean isRefusal(Throwable e) {
    return e instanceof ConnectException && String.valueOf(e.getMessage()).contains("refused");
  }
}
