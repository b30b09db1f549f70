package org.lacewingcroft.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * What is held in {@link RequestMemory} for the requests on one connection, from the first line of
 * a head until both the request and its response are complete.
 */
public final class RequestAccount extends ChannelDuplexHandler {
  /** What a line of a head costs as an entry of the headers, beside its own bytes. */
  static final int HEADER_LINE_BYTES = 256;

  /** A buffer that grows has up to twice the capacity that it needs. */
  private static final long HELD_BYTES_PER_BODY_BYTE = 2;

  private static final AttributeKey<RequestAccount> ACCOUNT =
      AttributeKey.valueOf(RequestAccount.class, "account");

  private final RequestMemory memory;
  private final boolean chargesHeads;
  private final boolean chargesBodies;

  /** What is held for each request, in the order of their arrival. */
  private final Deque<Charge> charges = new ArrayDeque<>();

  private ChannelHandlerContext context;
  private long heldBytes;
  private boolean ended;
  private boolean hadRequest;
  private long idleSinceUse;

  /** What is held for one request. */
  private static final class Charge {
    private final HttpHeaders headers;
    private long bytes;
    private boolean complete;
    private boolean responded;
    private Runnable refusal = () -> {};

    private Charge(HttpHeaders headers) {
      this.headers = headers;
    }
  }

  RequestAccount(RequestMemory memory, boolean chargesHeads) {
    this(memory, chargesHeads, /* chargesBodies= */ false);
  }

  private RequestAccount(RequestMemory memory, boolean chargesHeads, boolean chargesBodies) {
    this.memory = memory;
    this.chargesHeads = chargesHeads;
    this.chargesBodies = chargesBodies;
  }

  /**
   * Opens the account of a new connection of a server.
   *
   * @param chargesHeads whether the decoder of the connection does not charge heads as it reads
   *     them
   */
  public static RequestAccount install(
      HttpConnection connection, RequestMemory memory, boolean chargesHeads) {
    return open(connection, new RequestAccount(memory, chargesHeads));
  }

  /**
   * Opens the account of a new connection of a server that keeps all bodies; they are charged as
   * they arrive.
   */
  public static RequestAccount installForBodies(HttpConnection connection, RequestMemory memory) {
    return open(
        connection,
        new RequestAccount(memory, /* chargesHeads= */ false, /* chargesBodies= */ true));
  }

  private static RequestAccount open(HttpConnection connection, RequestAccount account) {
    ChannelHandlerContext handler = ((ConnectionBase) connection).channelHandlerContext();
    handler.channel().attr(ACCOUNT).set(account);
    ChannelPipeline pipeline = handler.pipeline();
    pipeline.addBefore(handler.name(), null, account);
    return account;
  }

  /** Returns the account of the connection of a request. */
  public static RequestAccount of(HttpServerRequest request) {
    ConnectionBase connection = (ConnectionBase) request.connection();
    return connection.channelHandlerContext().channel().attr(ACCOUNT).get();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    idleSinceUse = memory.nextUse();
    memory.add(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (chargesHeads && message instanceof HttpRequest head) {
      beginHead(head.headers());
      charge((long) head.headers().size() * HEADER_LINE_BYTES);
    }
    if (chargesBodies && message instanceof HttpContent part && !isResponded()) {
      chargeBody(part.content().readableBytes());
      if (ended) {
        part.release();
        return;
      }
    }
    if (message instanceof LastHttpContent && !charges.isEmpty()) {
      charges.getLast().complete = true;
      releaseFirstIfDone();
    }
    super.channelRead(ctx, message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
      throws Exception {
    if (StrictRequestDecoder.endsResponse(message) && !charges.isEmpty()) {
      charges.getFirst().responded = true;
      releaseFirstIfDone();
    }
    super.write(ctx, message, promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    close();
    super.channelInactive(ctx);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    close();
  }

  private void close() {
    charges.forEach(this::release);
    charges.clear();
    memory.remove(this);
  }

  /** Releases a request only at its own end too, because the server keeps its head until then. */
  private void releaseFirstIfDone() {
    Charge first = charges.getFirst();
    if (first.complete && first.responded) {
      release(charges.removeFirst());
      idleSinceUse = memory.nextUse();
    }
  }

  private void release(Charge charge) {
    heldBytes -= charge.bytes;
    memory.release(charge.bytes);
    charge.bytes = 0;
  }

  /** Begins to charge a request whose head is being read. */
  void beginHead(HttpHeaders headers) {
    hadRequest = true;
    charges.addLast(new Charge(headers));
  }

  /** Charges the request that is being read for a part of its body that is kept. */
  public void chargeBody(int bytes) {
    charge(HELD_BYTES_PER_BODY_BYTE * bytes);
  }

  /** Charges the request that is being read. */
  void charge(long bytes) {
    if (ended || charges.isEmpty()) {
      return;
    }
    charges.getLast().bytes += bytes;
    heldBytes += bytes;
    memory.charge(this, bytes);
  }

  /**
   * Sets what refuses the request that is being handled, if it has to be ended before it is
   * complete.
   */
  public void onRefusal(Runnable refusal) {
    if (!charges.isEmpty()) {
      charges.getFirst().refusal = refusal;
    }
  }

  private boolean isResponded() {
    return !charges.isEmpty() && charges.getLast().responded;
  }

  /** Returns whether the connection was closed to release what was held for it. */
  boolean isEnded() {
    return ended;
  }

  long heldBytes() {
    return heldBytes;
  }

  /** Returns whether the connection has no request, and the client has all responses. */
  boolean isIdle() {
    ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
    boolean sent = unsent == null || unsent.totalPendingWriteBytes() == 0;
    return !ended && charges.isEmpty() && sent;
  }

  /** Returns whether the connection has, or had, a request. */
  boolean hadRequest() {
    return hadRequest;
  }

  /** Returns the number of the use since which the connection has no request. */
  long idleSinceUse() {
    return idleSinceUse;
  }

  /** Returns whether the only request is not complete. */
  boolean isIncomplete() {
    return !ended && charges.size() == 1 && !charges.getFirst().complete;
  }

  /** Returns whether requests wait behind another one. */
  boolean isPipelined() {
    return !ended && charges.size() > 1;
  }

  /**
   * Refuses the request that is being handled, if there is one and it is not started, releases what
   * is held for all, and closes the connection.
   */
  void end() {
    ended = true;
    // The connection keeps the headers until it has handled its end, in a later task.
    List<HttpHeaders> headers = charges.stream().map(c -> c.headers).toList();
    if (!charges.isEmpty()) {
      charges.getFirst().refusal.run();
    }
    headers.forEach(HttpHeaders::clear);
    close();
    // While the connection is read, the server leaves what it writes unflushed until the read ends.
    context.flush();
    context.close();
  }

  /** Closes a new connection once its server has installed all that has to see the end of it. */
  void endAfterInstallation() {
    ended = true;
    context.executor().execute(this::end);
  }
}
