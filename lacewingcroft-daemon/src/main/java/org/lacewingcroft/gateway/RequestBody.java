package org.lacewingcroft.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;

/** Reads request bodies. */
public final class RequestBody {
  private RequestBody() {}

  /** Returns the bytes of a request's body; an empty array if the request has no body. */
  public static byte[] of(RoutingContext ctx) {
    Buffer body = ctx.body().buffer();
    return body == null ? new byte[0] : body.getBytes();
  }
}
