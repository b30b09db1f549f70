package org.lacewingcroft.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Counts the bytes and the open connections of an entry to callers, endpoints and other entries'
 * relay servers. It is the first handler of each accepted connection, where all bytes pass as
 * buffers. Vert.x gives no access to the channel of a client connection, so that bytes of those are
 * counted by the requests and responses on them.
 *
 * <p>Confined to the event loop thread.
 */
@Sharable
final class LinkTraffic extends ChannelDuplexHandler {
  /** Size assumed for the head of a request or response on a client connection. */
  private static final int HEAD_BYTES = 500;

  private long receivedBytes;
  private long sentBytes;
  private int openConnections;

  /** Counts the bytes of a connection that has just been accepted. */
  void install(HttpConnection connection) {
    ((ConnectionBase) connection).channelHandlerContext().pipeline().addFirst(this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    openConnections++;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    openConnections--;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf buffer) {
      receivedBytes += buffer.readableBytes();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf buffer) {
      sentBytes += buffer.readableBytes();
    }
    context.write(message, promise);
  }

  /** Counts a client connection that has been opened. */
  void clientConnectionOpened() {
    openConnections++;
  }

  /** Counts the end of a client connection. */
  void clientConnectionClosed() {
    openConnections--;
  }

  /** Counts a request sent on a client connection. */
  void requestSent(int bodyBytes) {
    sentBytes += HEAD_BYTES + bodyBytes;
  }

  /** Counts the head of a response on a client connection. */
  void responseHeadReceived() {
    receivedBytes += HEAD_BYTES;
  }

  /** Counts a part of the body of a response on a client connection. */
  void responseReceived(int bytes) {
    receivedBytes += bytes;
  }

  long receivedBytes() {
    return receivedBytes;
  }

  long sentBytes() {
    return sentBytes;
  }

  int openConnections() {
    return openConnections;
  }
}
