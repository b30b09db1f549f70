package org.lacewingcroft.http;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/** Gives access to the channels of client connections. */
final class ClientChannels {
  /** The connection that an unpooled one wraps; Vert.x has no accessor for it. */
  private static final VarHandle WRAPPED_CONNECTION = wrappedConnection();

  private ClientChannels() {}

  private static VarHandle wrappedConnection() {
    try {
      return MethodHandles.privateLookupIn(
              UnpooledHttpClientConnection.class, MethodHandles.lookup())
          .findVarHandle(
              UnpooledHttpClientConnection.class, "actual", HttpClientConnectionInternal.class);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "this version of Vert.x does not wrap client connections as version 5.0 does", e);
    }
  }

  /** Returns the channel context of a pooled or an unpooled HTTP/1.1 client connection. */
  static ChannelHandlerContext contextOf(HttpConnection connection) {
    HttpConnection actual =
        connection instanceof UnpooledHttpClientConnection
            ? (HttpConnection) WRAPPED_CONNECTION.get(connection)
            : connection;
    return ((HttpClientConnectionInternal) actual).channelHandlerContext();
  }
}
