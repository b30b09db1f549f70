package org.lacewingcroft.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Keeps the times at which the request heads of a connection were read. A pipelined request is
 * handled only after the response to the request before it, possibly long after it was read.
 */
public final class ReadTimes {
  private static final AttributeKey<Deque<Instant>> READ_TIMES =
      AttributeKey.valueOf(ReadTimes.class, "readTimes");

  private ReadTimes() {}

  /** Adds the time of a request head that has been read. */
  public static void add(Channel channel, Instant readAt) {
    Deque<Instant> readTimes = channel.attr(READ_TIMES).get();
    if (readTimes == null) {
      readTimes = new ArrayDeque<>(1);
      channel.attr(READ_TIMES).set(readTimes);
    }
    readTimes.addLast(readAt);
  }

  /**
   * Removes and returns the time at which the head of a request was read, when the request is
   * handled; empty if the connection does not record it.
   */
  public static Optional<Instant> poll(HttpServerRequest request) {
    Channel channel = ((ConnectionBase) request.connection()).channelHandlerContext().channel();
    return Optional.ofNullable(channel.attr(READ_TIMES).get()).map(Deque::pollFirst);
  }
}
