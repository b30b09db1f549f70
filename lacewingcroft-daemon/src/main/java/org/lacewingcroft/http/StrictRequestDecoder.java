package org.lacewingcroft.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lacewingcroft.route.RequestLimits;

/**
 * Decodes requests as Vert.x does, but rejects two kinds of request that Vert.x accepts: one with
 * both a {@code Content-Length} and chunked transfer encoding, by which one request can be hidden
 * inside another (request smuggling), and one whose head takes longer to arrive than the header
 * timeout. Both close the connection, since the start of the next request on it cannot be
 * determined. A slow head closes it only once the responses to the requests before it are complete.
 *
 * <p>Vert.x has no setting for either, so the decoder of a connection is replaced in its pipeline
 * before the first byte is read.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {
  private static final System.Logger LOG = System.getLogger(StrictRequestDecoder.class.getName());

  /** The name of the decoder in a connection's pipeline, assigned by Vert.x. */
  private static final String DECODER_NAME = "httpDecoder";

  /** The name of the handler that passes decoded requests to Vert.x, assigned by Vert.x. */
  private static final String HANDLER_NAME = "handler";

  private final Supplier<RequestLimits> limits;
  private final Consumer<Channel> onRequestHead;
  private final Optional<RequestAccount> account;
  private boolean insideMessage;
  private int requestsInProgress;
  private Optional<Future<?>> headTimer = Optional.empty();

  /** Counts a request as in progress until the last part of its response is written. */
  private final class ResponseEnds extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (endsResponse(message)) {
        requestsInProgress--;
      }
      ctx.write(message, promise);
    }
  }

  /** Returns whether a message that is written is the last part of the response to a request. */
  static boolean endsResponse(Object message) {
    boolean informational =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return message instanceof LastHttpContent && !informational;
  }

  private StrictRequestDecoder(
      HttpServerOptions options,
      Supplier<RequestLimits> limits,
      Consumer<Channel> onRequestHead,
      Optional<RequestAccount> account) {
    super(options);
    this.limits = limits;
    this.onRequestHead = onRequestHead;
    this.account = account;
  }

  /**
   * Replaces the decoder of a newly accepted connection.
   *
   * @param connection a connection of an HTTP/1.1 server
   * @param options the server's options; the limits of request heads come from {@code limits}
   * @param limits the limits on requests; the maximum size of a request head is read at the time of
   *     this call, the header timeout when the head begins
   */
  public static void install(
      HttpConnection connection, HttpServerOptions options, Supplier<RequestLimits> limits) {
    install(connection, options, limits, channel -> {}, Optional.empty());
  }

  /**
   * Replaces the decoder of a newly accepted connection, as the other method does.
   *
   * @param onRequestHead called with the connection's channel for each request head that was read
   * @param account is charged for the heads that are read, empty to charge none
   */
  public static void install(
      HttpConnection connection,
      HttpServerOptions options,
      Supplier<RequestLimits> limits,
      Consumer<Channel> onRequestHead,
      Optional<RequestAccount> account) {
    int maxHeadBytes = limits.get().maxHeaderBytes();
    HttpServerOptions boundedOptions =
        new HttpServerOptions(options)
            .setMaxHeaderSize(maxHeadBytes)
            .setMaxInitialLineLength(maxHeadBytes);
    ChannelPipeline pipeline = ((ConnectionBase) connection).channelHandlerContext().pipeline();
    StrictRequestDecoder decoder =
        new StrictRequestDecoder(boundedOptions, limits, onRequestHead, account);
    pipeline.replace(DECODER_NAME, DECODER_NAME, decoder);
    pipeline.addBefore(HANDLER_NAME, null, decoder.new ResponseEnds());
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "message has both a Content-Length and chunked transfer encoding");
  }

  @Override
  protected HttpMessage createMessage(String[] requestLine) {
    HttpMessage message = super.createMessage(requestLine);
    account.ifPresent(a -> a.beginHead(message.headers()));
    return message;
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    account.ifPresent(a -> a.charge(RequestAccount.HEADER_LINE_BYTES));
    if (isEnded()) {
      throw new IllegalStateException("the connection was closed within the head");
    }
    return super.splitHeaderName(line, start, length);
  }

  /** Returns whether the connection was closed to release what was held for its request. */
  private boolean isEnded() {
    return account.filter(RequestAccount::isEnded).isPresent();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isEnded()) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int sizeBefore = out.size();
    final boolean readsHead = !insideMessage;
    final int unreadBefore = buffer.readableBytes();
    super.decode(ctx, buffer, out);
    if (readsHead) {
      account.ifPresent(a -> a.charge(unreadBefore - buffer.readableBytes()));
    }
    for (Object decoded : out.subList(sizeBefore, out.size())) {
      if (decoded instanceof HttpRequest) {
        onRequestHead.accept(ctx.channel());
        requestsInProgress++;
        insideMessage = true;
      }
      if (decoded instanceof LastHttpContent) {
        insideMessage = false;
      }
    }
    updateHeadTimer(ctx, !insideMessage && out.size() == sizeBefore);
  }

  /**
   * Starts the timer at the first bytes of a request head and cancels it at the end of the head.
   */
  private void updateHeadTimer(ChannelHandlerContext ctx, boolean partialHead) {
    if (!partialHead) {
      cancelHeadTimer();
    } else if (headTimer.isEmpty()) {
      startHeadTimer(ctx);
    }
  }

  private void startHeadTimer(ChannelHandlerContext ctx) {
    long timeoutMillis = limits.get().headerTimeout().toMillis();
    headTimer =
        Optional.of(
            ctx.executor()
                .schedule(
                    () -> onSlowHead(ctx, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS));
  }

  private void onSlowHead(ChannelHandlerContext ctx, long timeoutMillis) {
    if (requestsInProgress > 0) {
      startHeadTimer(ctx);
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        "connection.closed",
        "why",
        "the request head took longer than the header timeout",
        "limitMillis",
        timeoutMillis,
        "remote",
        String.valueOf(ctx.channel().remoteAddress()));
    ctx.close();
  }

  private void cancelHeadTimer() {
    headTimer.ifPresent(t -> t.cancel(false));
    headTimer = Optional.empty();
  }

  @Override
  public void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
    cancelHeadTimer();
    super.handlerRemoved0(ctx);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    cancelHeadTimer();
    super.channelInactive(ctx);
  }
}
