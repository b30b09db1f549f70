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
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.lacewingcroft.logging.LogContext;

/**
 * The peer transport: TCP connections that carry frames of {@link FrameCodec}, with one outgoing
 * connection per peer address, which is reopened on demand after a failure. Large messages of the
 * control group have a second connection, so that its heartbeats do not wait behind them.
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

  /** Size from which a message of the control group is sent on the second connection. */
  private static final int BULK_FRAME_BYTES = 64 << 10;

  /** Lowest throughput at which a connection for large messages does not count as dead. */
  private static final long MIN_BULK_BYTES_PER_MILLI = 100;

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
  private final Map<Link, Future<NetSocket>> connections = new ConcurrentHashMap<>();
  private final Map<Link, LivenessCheck> livenessChecks = new ConcurrentHashMap<>();
  private final AtomicLong framesRejected = new AtomicLong();
  private final AtomicLong framesDropped = new AtomicLong();
  private final SendQueue queue = new SendQueue(MAX_QUEUED_BYTES);
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private final PeerTraffic traffic = new PeerTraffic();
  private volatile LinkFaults faults = LinkFaults.NONE;
  private NetServer server;

  private record Link(String address, boolean bulk) {}

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
    boolean bulk = message instanceof PeerMessage.Consensus && frame.length >= BULK_FRAME_BYTES;
    addresses.forEach(address -> sendFrame(new Link(address, bulk), frame));
  }

  private void sendFrame(Link link, byte[] frame) {
    if (faults.dropsFramesTo(link.address)) {
      return;
    }
    long delayMillis = faults.delayMillis(link.address);
    if (delayMillis > 0) {
      vertx.setTimer(delayMillis, id -> write(link, frame));
    } else {
      write(link, frame);
    }
  }

  private void write(Link link, byte[] frame) {
    if (!queue.tryAdd(link.address, frame.length)) {
      logDropped(link.address);
      return;
    }
    connection(link)
        .onFailure(e -> connectFailed(link, e))
        .compose(socket -> write(socket, link, frame))
        .onComplete(written -> queue.remove(link.address, frame.length));
  }

  private Future<Void> write(NetSocket socket, Link link, byte[] frame) {
    bytesSent.addAndGet(frame.length);
    LivenessCheck check = livenessChecks.get(link);
    if (check != null) {
      check.onWrite(frame.length);
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

  private void connectFailed(Link link, Throwable e) {
    if (connections.remove(link) != null) {
      LOG.log(
          System.Logger.Level.DEBUG,
          "peer.unreachable",
          "peer",
          link.address,
          "error",
          String.valueOf(e.getMessage()));
    }
  }

  private Future<NetSocket> connection(Link link) {
    return connections.computeIfAbsent(
        link,
        l -> {
          Future<NetSocket> connecting = client.connect(SocketAddresses.parse(l.address));
          connecting.onSuccess(
              socket -> {
                LivenessCheck check = new LivenessCheck(socket, l);
                livenessChecks.put(l, check);
                socket.closeHandler(
                    v -> {
                      connections.remove(l, connecting);
                      livenessChecks.remove(l, check);
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
    private final Link link;
    private final long timer;
    private long unansweredPingNanos;
    private long bytesSincePong;
    private boolean usedSincePing;

    private LivenessCheck(NetSocket socket, Link link) {
      this.socket = socket;
      this.link = link;
      this.timer = vertx.setPeriodic(PING_INTERVAL_MILLIS, id -> check());
    }

    private void check() {
      long now = System.nanoTime();
      if (unansweredPingNanos != 0
          && TimeUnit.NANOSECONDS.toMillis(now - unansweredPingNanos) > pongTimeoutMillis()) {
        LOG.log(System.Logger.Level.WARNING, "peer.silent", "peer", socket.remoteAddress());
        socket.close();
        // A silent peer is noticed later on the connection for large messages.
        Optional.ofNullable(connections.get(new Link(link.address, true)))
            .ifPresent(connecting -> connecting.onSuccess(NetSocket::close));
      } else if (usedSincePing && unansweredPingNanos == 0) {
        usedSincePing = false;
        unansweredPingNanos = now;
        socket.write(
            Buffer.buffer(codec.encode(LogContext.clock().tick(), new PeerMessage.Ping())));
      }
    }

    /** Returns the time within which what was written, and the ping behind it, arrive. */
    private long pongTimeoutMillis() {
      return PONG_TIMEOUT_MILLIS + (link.bulk ? bytesSincePong / MIN_BULK_BYTES_PER_MILLI : 0);
    }

    private void onWrite(int bytes) {
      usedSincePing = true;
      bytesSincePong += bytes;
    }

    private void onData() {
      unansweredPingNanos = 0;
      bytesSincePong = 0;
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
            // Where the next frame begins is not known; the parser goes on with what it holds.
            parser.handler(rest -> {});
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
