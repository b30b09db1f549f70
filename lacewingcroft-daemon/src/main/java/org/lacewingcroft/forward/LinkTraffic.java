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
 * relay servers. It is the first handler of each connection, where all bytes pass as buffers.
 *
 * <p>Confined to the event loop thread.
 */
@Sharable
final class LinkTraffic extends ChannelDuplexHandler {
  private long receivedBytes;
  private long sentBytes;
  private int openConnections;

  /** Counts the bytes of a connection that has just been opened. */
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
