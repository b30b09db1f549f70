package org.lacewingcroft.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.lacewingcroft.logging.LogContext;

/**
 * The peer transport: TCP connections that carry frames of {@link FrameCodec}, with one outgoing
 * connection per peer address, which is reopened on demand after a failure.
 *
 * <p>A frame that is too large or fails authentication is logged and discarded, and its connection
 * is closed. Sends are fire-and-forget: a response, where one is needed, arrives as a separate
 * message, and heartbeats make up for lost frames.
 */
public final class PeerTransport implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(PeerTransport.class.getName());
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Interval between liveness checks of a connection in use. */
  private static final long PING_INTERVAL_MILLIS = 1_000;

  /**
   * Time without data after a ping after which a connection counts as dead: several round trips
   * between regions and a retransmitted packet. Nothing else detects a link that stops delivering
   * without a TCP reset.
   */
  private static final long PONG_TIMEOUT_MILLIS = 1_300;

  /**
   * Maximum size of the frames that wait for connections and for peers that read slowly, so that
   * they do not fill the heap. Frames beyond it are dropped, as on a connection that fails.
   */
  private static final long MAX_QUEUED_BYTES = 16 << 20;

  /** Number of dropped frames for each line in the log. */
  private static final long FRAMES_PER_DROP_LOG = 1_000;

  private final Vertx vertx;
  private final FrameCodec codec;
  private final NetClient client;
  private final Map<String, Future<NetSocket>> connections = new ConcurrentHashMap<>();
  private final Map<String, LivenessCheck> livenessChecks = new ConcurrentHashMap<>();
  private final AtomicLong framesRejected = new AtomicLong();
  private final AtomicLong framesDropped = new AtomicLong();
  private final SendQueue queue = new SendQueue(MAX_QUEUED_BYTES);
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private final PeerTraffic traffic = new PeerTraffic();
  private volatile LinkFaults faults = LinkFaults.NONE;
  private NetServer server;

  /**
   * Creates a transport that does not listen yet.
   *
   * @param vertx the Vert.x instance whose event loops run the transport
   * @param codec the frame codec, keyed with the shared secret
   */
  public PeerTransport(Vertx vertx, FrameCodec codec) {
    this.vertx = vertx;
    this.codec = codec;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  }

  /**
   * Starts listening for connections of peers.
   *
   * @param host the address to bind
   * @param port the port, 0 for a free one
   * @param handler receives every authenticated message with the sender's hybrid logical clock
   *     timestamp
   * @return the bound port
   */
  public Future<Integer> listen(String host, int port, BiConsumer<String, PeerMessage> handler) {
    server = vertx.createNetServer(new NetServerOptions().setHost(host).setPort(port));
    server.connectHandler(socket -> readFrames(socket, handler));
    return server.listen().map(NetServer::actualPort);
  }

  /** Sets the faults to inject on the links to peers, for experiments. */
  public void setFaults(LinkFaults newFaults) {
    this.faults = newFaults;
  }

  /** Returns the number of frames rejected for their size or authentication tag. */
  public long framesRejected() {
    return framesRejected.get();
  }

  /** Returns the number of frames dropped because too many were waiting to be sent. */
  public long framesDropped() {
    return framesDropped.get();
  }

  /** Returns the size of the frames that are waiting to be sent. */
  public long queuedBytes() {
    return queue.queuedBytes();
  }

  /** Returns the message counters by kind. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Returns the number of bytes sent, including frame overhead. */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Returns the number of bytes received. */
  public long bytesReceived() {
    return bytesReceived.get();
  }

  /** Sends a message to a peer address {@code host:port}; failures are logged, not thrown. */
  public void send(String address, PeerMessage message) {
    sendAll(List.of(address), message);
  }

  /** Sends a message to several peer addresses, encoding and authenticating it only once. */
  public void sendAll(Collection<String> addresses, PeerMessage message) {
    if (addresses.isEmpty()) {
      return;
    }
    long startNanos = System.nanoTime();
    byte[] frame = codec.encode(LogContext.clock().tick(), message);
    traffic.recordSent(message, addresses.size(), frame.length, System.nanoTime() - startNanos);
    addresses.forEach(address -> sendFrame(address, frame));
  }

  private void sendFrame(String address, byte[] frame) {
    if (faults.dropsFramesTo(address)) {
      return;
    }
    long delayMillis = faults.delayMillis(address);
    if (delayMillis > 0) {
      vertx.setTimer(delayMillis, id -> write(address, frame));
    } else {
      write(address, frame);
    }
  }

  private void write(String address, byte[] frame) {
    if (!queue.tryAdd(address, frame.length)) {
      logDropped(address);
      return;
    }
    connection(address)
        .onFailure(e -> connectFailed(address, e))
        .compose(socket -> write(socket, address, frame))
        .onComplete(written -> queue.remove(address, frame.length));
  }

  private Future<Void> write(NetSocket socket, String address, byte[] frame) {
    bytesSent.addAndGet(frame.length);
    LivenessCheck check = livenessChecks.get(address);
    if (check != null) {
      check.usedSincePing = true;
    }
    return socket.write(Buffer.buffer(frame));
  }

  private void logDropped(String address) {
    long dropped = framesDropped.incrementAndGet();
    if (dropped % FRAMES_PER_DROP_LOG == 1) {
      LOG.log(
          System.Logger.Level.WARNING,
          "peer.frames_dropped",
          "peer",
          address,
          "dropped",
          dropped,
          "queuedBytes",
          queue.queuedBytes());
    }
  }

  private void connectFailed(String address, Throwable e) {
    if (connections.remove(address) != null) {
      LOG.log(
          System.Logger.Level.DEBUG,
          "peer.unreachable",
          "peer",
          address,
          "error",
          String.valueOf(e.getMessage()));
    }
  }

  private Future<NetSocket> connection(String address) {
    return connections.computeIfAbsent(
        address,
        a -> {
          Future<NetSocket> connecting = client.connect(SocketAddresses.parse(a));
          connecting.onSuccess(
              socket -> {
                LivenessCheck check = new LivenessCheck(socket);
                livenessChecks.put(a, check);
                socket.closeHandler(
                    v -> {
                      connections.remove(a, connecting);
                      livenessChecks.remove(a, check);
                      check.stop();
                    });
                socket.exceptionHandler(e -> socket.close());
                socket.handler(b -> check.onData());
              });
          return connecting;
        });
  }

  /** Pings the peer of a connection in use and closes the connection if no data arrives in time. */
  private final class LivenessCheck {
    private final NetSocket socket;
    private final long timer;
    private long unansweredPingNanos;
    private boolean usedSincePing;

    private LivenessCheck(NetSocket socket) {
      this.socket = socket;
      this.timer = vertx.setPeriodic(PING_INTERVAL_MILLIS, id -> check());
    }

    private void check() {
      long now = System.nanoTime();
      if (unansweredPingNanos != 0
          && TimeUnit.NANOSECONDS.toMillis(now - unansweredPingNanos) > PONG_TIMEOUT_MILLIS) {
        LOG.log(System.Logger.Level.WARNING, "peer.silent", "peer", socket.remoteAddress());
        socket.close();
      } else if (usedSincePing && unansweredPingNanos == 0) {
        usedSincePing = false;
        unansweredPingNanos = now;
        socket.write(
            Buffer.buffer(codec.encode(LogContext.clock().tick(), new PeerMessage.Ping())));
      }
    }

    private void onData() {
      unansweredPingNanos = 0;
    }

    private void stop() {
      vertx.cancelTimer(timer);
    }
  }

  private void readFrames(NetSocket socket, BiConsumer<String, PeerMessage> handler) {
    RecordParser parser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES);
    boolean[] expectLength = {true};
    parser.handler(
        buffer -> {
          bytesReceived.addAndGet(buffer.length());
          try {
            if (expectLength[0]) {
              parser.fixedSizeMode(FrameCodec.checkLength(buffer.getInt(0)));
              expectLength[0] = false;
              return;
            }
            expectLength[0] = true;
            parser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
            long startNanos = System.nanoTime();
            FrameCodec.Frame frame = codec.decode(buffer.getBytes());
            traffic.recordReceived(
                frame.message(), buffer.length(), System.nanoTime() - startNanos);
            LogContext.clock().receive(frame.timestamp());
            if (frame.message() instanceof PeerMessage.Ping) {
              socket.write(
                  Buffer.buffer(codec.encode(LogContext.clock().tick(), new PeerMessage.Pong())));
              return;
            }
            handler.accept(frame.timestamp(), frame.message());
          } catch (UnknownMessageException e) {
            LOG.log(System.Logger.Level.DEBUG, "peer.message_ignored", "reason", e.getMessage());
          } catch (MalformedFrameException e) {
            framesRejected.incrementAndGet();
            LOG.log(
                System.Logger.Level.WARNING,
                "peer.frame_rejected",
                "from",
                socket.remoteAddress(),
                "reason",
                e.getMessage());
            socket.close();
          }
        });
    socket.handler(parser);
    socket.exceptionHandler(e -> socket.close());
  }

  @Override
  public void close() {
    client.close();
    if (server != null) {
      server.close();
    }
  }
}
