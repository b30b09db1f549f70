package org.lacewingcroft.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Decodes responses as Vert.x does, and reports what arrives on a connection but cannot be the
 * response to its request. There must be at most one request at a time on a connection.
 *
 * <p>Vert.x reports none of this, so the codec of a connection is replaced in its pipeline before
 * the first request is written.
 */
public final class MonitoredResponseDecoder extends HttpResponseDecoder {
  private static final System.Logger LOG =
      System.getLogger(MonitoredResponseDecoder.class.getName());

  /** The name of the codec in a connection's pipeline, assigned by Vert.x. */
  private static final String CODEC_NAME = "codec";

  private static final AttributeKey<MonitoredResponseDecoder> DECODER =
      AttributeKey.valueOf(MonitoredResponseDecoder.class, "decoder");

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  /** What may not be the response to a request. */
  public enum Anomaly {
    /** Bytes followed the end of a response in the same read. */
    TRAILING_BYTES,
    /** Bytes arrived while the connection was idle. */
    IDLE_BYTES,
    /** What arrived as a response is not the head of one response. */
    MALFORMED_HEAD,
    /** A response had the id of another request. */
    OTHER_ID,
    /** A response had no id. */
    NO_ID;

    /** Returns the name in logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * What holds for the responses on a connection.
   *
   * @param options the options of the client
   * @param requestIdHeader the header with the id of the request, which a response echoes
   * @param singleHeaders headers of which a response has at most one
   * @param onAnomaly called for each anomaly
   */
  public record Rules(
      HttpClientOptions options,
      String requestIdHeader,
      Set<String> singleHeaders,
      Consumer<Anomaly> onAnomaly) {}

  /** Encodes requests, and announces each one to the decoder of its response. */
  private static final class RequestEncoder extends HttpRequestEncoder {
    private final MonitoredResponseDecoder decoder;

    private RequestEncoder(MonitoredResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.onRequest(request);
      }
      super.write(ctx, message, promise);
    }
  }

  private final Rules rules;
  private Optional<String> requestId = Optional.empty();
  private HttpMethod requestMethod = HttpMethod.GET;
  private boolean awaitingResponse;
  private int completeResponses;

  private MonitoredResponseDecoder(Rules rules) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(rules.options().getMaxInitialLineLength())
            .setMaxHeaderSize(rules.options().getMaxHeaderSize())
            .setMaxChunkSize(rules.options().getMaxChunkSize())
            .setInitialBufferSize(rules.options().getDecoderInitialBufferSize()));
    this.rules = rules;
  }

  /**
   * Returns the decoder of an HTTP/1.1 client connection, which replaces that of Vert.x at the
   * first call for the connection. That call must precede the first request.
   */
  public static MonitoredResponseDecoder install(HttpConnection connection, Rules rules) {
    ChannelHandlerContext context = ClientChannels.contextOf(connection);
    MonitoredResponseDecoder installed = context.channel().attr(DECODER).get();
    if (installed != null) {
      return installed;
    }
    MonitoredResponseDecoder decoder = new MonitoredResponseDecoder(rules);
    context.channel().attr(DECODER).set(decoder);
    ChannelPipeline pipeline = context.pipeline();
    pipeline.replace(
        CODEC_NAME,
        CODEC_NAME,
        new CombinedChannelDuplexHandler<>(decoder, new RequestEncoder(decoder)));
    return decoder;
  }

  private void onRequest(HttpRequest request) {
    awaitingResponse = true;
    requestId = Optional.ofNullable(request.headers().get(rules.requestIdHeader()));
    requestMethod = request.method();
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (!awaitingResponse) {
      report(ctx, Anomaly.IDLE_BYTES, buffer.readableBytes() + " bytes");
    }
    int sizeBefore = out.size();
    super.decode(ctx, buffer, out);
    for (int i = sizeBefore; i < out.size(); i++) {
      inspect(ctx, out.get(i), buffer);
    }
  }

  private void inspect(ChannelHandlerContext ctx, Object message, ByteBuf buffer) {
    boolean informational = false;
    if (message instanceof HttpResponse head) {
      informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      checkHead(ctx, head, informational);
    }
    if (message instanceof LastHttpContent && !informational) {
      awaitingResponse = false;
      completeResponses++;
      if (buffer.isReadable()) {
        report(ctx, Anomaly.TRAILING_BYTES, buffer.readableBytes() + " bytes");
      }
    }
  }

  private void checkHead(ChannelHandlerContext ctx, HttpResponse head, boolean informational) {
    Optional<String> fault = faultOf(head);
    if (fault.isPresent()) {
      report(ctx, Anomaly.MALFORMED_HEAD, fault.get());
    } else if (!informational && requestId.isPresent()) {
      checkId(ctx, head);
    }
  }

  private void checkId(ChannelHandlerContext ctx, HttpResponse head) {
    String echoedId = head.headers().get(rules.requestIdHeader());
    if (echoedId == null) {
      report(ctx, Anomaly.NO_ID, "response without an id");
    } else if (!echoedId.equals(requestId.get())) {
      report(ctx, Anomaly.OTHER_ID, "response to request " + echoedId);
    }
  }

  /** Returns why a head is not that of one response; empty if it is. */
  private Optional<String> faultOf(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      return Optional.of("no response: " + head.decoderResult().cause().getMessage());
    }
    if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
      return Optional.of("status line within a status line");
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (STATUS_LINE.matcher(header.getValue()).find()) {
        return Optional.of("status line within the header " + header.getKey());
      }
    }
    return rules.singleHeaders().stream()
        .filter(name -> head.headers().getAll(name).size() > 1)
        .findFirst()
        .map(name -> "more than one header " + name);
  }

  private void report(ChannelHandlerContext ctx, Anomaly anomaly, String detail) {
    rules.onAnomaly().accept(anomaly);
    LOG.log(
        System.Logger.Level.INFO,
        "response.anomaly",
        "request",
        requestId.orElse("none"),
        "anomaly",
        anomaly.label(),
        "detail",
        detail,
        "responses",
        completeResponses,
        "local",
        String.valueOf(ctx.channel().localAddress()),
        "remote",
        String.valueOf(ctx.channel().remoteAddress()));
  }
}
