package org.lacewingcroft.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Decodes responses as Vert.x does, but accepts as the response to a request only what cannot
 * belong to another one. A server may send bytes after a complete response, also late; the decoder
 * of Vert.x keeps them and reads the next response as their continuation.
 *
 * <p>A connection is retired, which means that it is closed and never used for another request:
 *
 * <ul>
 *   <li>if bytes arrive on it while no response is outstanding;
 *   <li>if a response has the id of another request, cannot be parsed, has a status that no
 *       response to the request can have, or has a status line within its head;
 *   <li>if a header of a response is repeated, so that its head may consist of two, or it has no
 *       id. Such a response is accepted only as the first one on its connection, where no response
 *       to another request can precede it.
 * </ul>
 *
 * <p>A missing id counts only where the {@link Rules} require one. A refusal, which permits another
 * send of its request, is accepted only with the id of the request in a head that cannot consist of
 * two, also as the first response on its connection: a server may run the request and send other
 * bytes before its response.
 *
 * <p>A copy of a refusal may arrive while the request is under way again, and then has its id. So a
 * request must not be written to a connection on which it {@link #hasRefused was refused}.
 *
 * <p>A response that is not accepted fails its request with an {@link InvalidResponseException},
 * unless it is a complete one with the id of the request before and the request cannot be sent
 * again: then it is skipped, and the response to the request is awaited. There must be at most one
 * request at a time on a connection.
 *
 * <p>A body that ends with its connection is complete only if the request was written before.
 *
 * <p>Vert.x has no setting for this, so the codec of a connection is replaced in its pipeline
 * before the first request is written.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final System.Logger LOG = System.getLogger(StrictResponseDecoder.class.getName());

  /** The name of the codec in a connection's pipeline, assigned by Vert.x. */
  private static final String CODEC_NAME = "codec";

  private static final AttributeKey<StrictResponseDecoder> DECODER =
      AttributeKey.valueOf(StrictResponseDecoder.class, "decoder");

  private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
  private static final Pattern STATUS_CODE = Pattern.compile("\\d{3}");

  /**
   * The statuses of final responses, and of the informational ones that no request has to ask for.
   * Vert.x passes any other informational response on as a final one.
   */
  private static final Pattern ACCEPTED_STATUS = Pattern.compile("100|103|[2-5]\\d{2}");

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]\\s+\\d{3}");
  private static final String RESPONSE_START = "HTTP/1.";

  /**
   * Time in which a response that is skipped has to be complete. A server sends an extra response
   * at once, so that one without an end was cut, and what follows cannot be told from its body.
   */
  private static final long SKIP_TIMEOUT_MILLIS = 500;

  /** Why a connection is retired. */
  public enum Retirement {
    /** Bytes followed the end of a response in the same read. */
    TRAILING_BYTES,
    /** Bytes arrived while the connection was idle. */
    IDLE_BYTES,
    /** The head of a response cannot be parsed, or may consist of two. */
    MALFORMED_HEAD,
    /** A response had the id of another request. */
    OTHER_ID,
    /** A response had no id. */
    NO_ID,
    /** As many requests were refused on the connection as are remembered. */
    REFUSALS;

    /** Returns the name in logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What shows that a refusal belongs to the request that awaits its response. */
  public enum RefusalEvidence {
    /** It has the id of the request, in a head that can only be that of one response. */
    OWN_ID,
    /** It has no id. */
    NO_ID,
    /** It has the id of another request. */
    OTHER_ID,
    /** Its head may consist of those of two responses. */
    AMBIGUOUS_HEAD;

    /** Returns the name in metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Observes the responses on connections. */
  public interface Observer {
    /** Called once for each connection that is retired. */
    void onRetired(Retirement reason);

    /** Called for each response that states that its request was not run. */
    void onRefusal(RefusalEvidence evidence);

    /** Called for each request that is written to a connection on which it was refused before. */
    void onSentAfterRefusal();
  }

  /**
   * What holds for the responses on a connection.
   *
   * @param options the options of the client
   * @param requestIdHeader the header with the id of the request, which a response echoes
   * @param singleHeaders headers of which a response has at most one
   * @param requiresId whether a response without an id may belong to another request
   * @param refusals returns whether a response states that its request was not run
   * @param observer observes the responses
   */
  public record Rules(
      HttpClientOptions options,
      String requestIdHeader,
      Set<String> singleHeaders,
      boolean requiresId,
      Predicate<HttpResponse> refusals,
      Observer observer) {}

  /** Encodes requests, and announces each one to the decoder of its response. */
  private static final class RequestEncoder extends HttpRequestEncoder {
    private final StrictResponseDecoder decoder;

    private RequestEncoder(StrictResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.onRequest(request);
      }
      ChannelPromise written = promise.unvoid();
      if (message instanceof LastHttpContent) {
        written.addListener(result -> decoder.onRequestEnd(result.isSuccess()));
      }
      super.write(ctx, message, written);
    }
  }

  private final Rules rules;
  private Optional<String> requestId = Optional.empty();
  private Optional<String> previousRequestId = Optional.empty();
  private HttpMethod requestMethod = HttpMethod.GET;

  /** Requests that were begun and have not been written to their end. */
  private int unwrittenRequests;

  private boolean awaitingResponse;
  private boolean informational;
  private volatile boolean skipNext;

  /** Whether a complete response to the request before may be skipped. */
  private boolean maySkip;

  /** The head of the response that is being skipped. */
  private Optional<HttpResponse> skipped = Optional.empty();

  /** The head of the response that was skipped, until another response begins behind it. */
  private Optional<HttpResponse> skippedBefore = Optional.empty();

  private final RefusedRequests refusedRequests = new RefusedRequests();
  private int completeResponses;
  private volatile Optional<Retirement> retirement = Optional.empty();

  /** Whether bytes that arrive are ignored, because the start of a response cannot be found. */
  private boolean ignoringBytes;

  StrictResponseDecoder(Rules rules) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(rules.options().getMaxInitialLineLength())
            .setMaxHeaderSize(rules.options().getMaxHeaderSize())
            .setMaxChunkSize(rules.options().getMaxChunkSize())
            .setInitialBufferSize(rules.options().getDecoderInitialBufferSize()));
    this.rules = rules;
  }

  /**
   * Replaces the decoder of a new HTTP/1.1 client connection, on which no request has been written.
   */
  public static StrictResponseDecoder install(HttpConnection connection, Rules rules) {
    ChannelHandlerContext context = ClientChannels.contextOf(connection);
    StrictResponseDecoder decoder = new StrictResponseDecoder(rules);
    context.channel().attr(DECODER).set(decoder);
    ChannelPipeline pipeline = context.pipeline();
    pipeline.replace(CODEC_NAME, CODEC_NAME, decoder.codec());
    return decoder;
  }

  /** Returns a codec with this decoder and the encoder of the requests. */
  ChannelHandler codec() {
    return new CombinedChannelDuplexHandler<>(this, new RequestEncoder(this));
  }

  /** Returns the decoder that was installed for a connection. */
  public static StrictResponseDecoder of(HttpConnection connection) {
    return ClientChannels.contextOf(connection).channel().attr(DECODER).get();
  }

  /**
   * Returns whether another request may be written to the connection, as far as is known; may be
   * called by any thread.
   */
  public boolean isReusable() {
    return retirement.isEmpty();
  }

  /**
   * Returns whether a request was refused on the connection, so that it must be written to another
   * one; may be true for a request that was not. May be called by any thread.
   */
  public boolean hasRefused(String requestId) {
    return refusedRequests.contains(requestId);
  }

  /**
   * Lets the next request on the connection await its response behind a complete one to the request
   * before. For requests that cannot be sent again; others are served sooner by another server.
   */
  public void skipPreviousResponse() {
    skipNext = true;
  }

  private void onRequest(HttpRequest request) {
    unwrittenRequests++;
    awaitingResponse = true;
    maySkip = skipNext;
    skipNext = false;
    previousRequestId = requestId;
    requestId = Optional.ofNullable(request.headers().get(rules.requestIdHeader()));
    requestMethod = request.method();
    requestId.filter(refusedRequests::contains).ifPresent(this::logSentAfterRefusal);
  }

  private void onRequestEnd(boolean written) {
    if (written) {
      unwrittenRequests--;
    }
  }

  private void logSentAfterRefusal(String id) {
    rules.observer().onSentAfterRefusal();
    LOG.log(
        System.Logger.Level.INFO,
        "request.sent_after_refusal",
        "request",
        id,
        "responses",
        completeResponses);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("response has both a Content-Length and chunks");
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!VERSIONS.contains(statusLine[0]) || !STATUS_CODE.matcher(statusLine[1]).matches()) {
      throw new IllegalArgumentException("response begins with bytes that are no status line");
    }
    if (!ACCEPTED_STATUS.matcher(statusLine[1]).matches()) {
      throw new IllegalArgumentException("response with the status " + statusLine[1]);
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    // Netty skips what is between the name and the colon, and a status line could be in it.
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("header line without a colon after its name");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (!awaitingResponse && !ignoringBytes) {
      ignoringBytes = true;
      retire(ctx, Retirement.IDLE_BYTES, buffer.readableBytes() + " bytes", Optional.empty());
      closeLater(ctx);
    }
    if (skippedBefore.isPresent() && buffer.isReadable()) {
      checkStartBehindSkipped(ctx, buffer, out);
    }
    if (ignoringBytes) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int next = out.size();
    super.decode(ctx, buffer, out);
    while (next < out.size() && !ignoringBytes) {
      Object message = out.get(next);
      inspect(ctx, message, buffer);
      if (skipped.isPresent()) {
        out.remove(next);
        skip(ctx, message, out);
      } else {
        next++;
      }
    }
  }

  /**
   * Decodes the end of the connection. It is also the end of a body with neither a length nor
   * chunks, but not while the request is being written: the connection may then have been reset,
   * which shows in a write as well as in a read, and the request has not been received as a whole.
   */
  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decodeLast(ctx, buffer, out);
    int last = out.size() - 1;
    if (awaitingResponse
        && unwrittenRequests > 0
        && last >= 0
        && out.get(last) instanceof LastHttpContent end) {
      out.remove(last);
      ReferenceCountUtil.release(end);
    }
  }

  /** Drops a part of the response that is being skipped. */
  private void skip(ChannelHandlerContext ctx, Object message, List<Object> out) {
    ReferenceCountUtil.release(message);
    if (((HttpObject) message).decoderResult().isFailure()) {
      out.add(abandonSkipped(ctx, skipped.orElseThrow(), "its body cannot be parsed"));
    } else if (message instanceof LastHttpContent last) {
      if (last.trailingHeaders().isEmpty()) {
        skippedBefore = skipped;
        skipped = Optional.empty();
        completeResponses++;
      } else {
        // If the last chunk was cut, they may be the headers of the awaited response.
        out.add(abandonSkipped(ctx, skipped.orElseThrow(), "it has trailers"));
      }
    }
  }

  /**
   * Checks that a response begins behind the skipped one. If that one was cut, its stated length
   * covers the head of the awaited response, whose rest need not contain the end of a line.
   */
  private void checkStartBehindSkipped(
      ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) {
    int start = buffer.forEachByte(b -> Character.isWhitespace(b) || Character.isISOControl(b));
    if (start < 0) {
      return;
    }
    int length = Math.min(RESPONSE_START.length(), buffer.writerIndex() - start);
    String text = buffer.toString(start, length, StandardCharsets.ISO_8859_1);
    if (!RESPONSE_START.startsWith(text)) {
      out.add(abandonSkipped(ctx, skippedBefore.orElseThrow(), "no response follows it"));
    } else if (length == RESPONSE_START.length()) {
      skippedBefore = Optional.empty();
    }
  }

  /** Fails the request that awaits its response behind one whose end is not certain. */
  private HttpResponse abandonSkipped(ChannelHandlerContext ctx, HttpResponse head, String detail) {
    skipped = Optional.empty();
    skippedBefore = Optional.empty();
    String text = "response to request " + head.headers().get(rules.requestIdHeader());
    reject(ctx, head, Retirement.OTHER_ID, text + ": " + detail);
    return head;
  }

  private void beginSkipping(ChannelHandlerContext ctx, HttpResponse head, String echoedId) {
    maySkip = false;
    skipped = Optional.of(head);
    String detail = "skipped the response to request " + echoedId;
    retire(ctx, Retirement.OTHER_ID, detail, Optional.of(head));
    ctx.executor()
        .schedule(
            () -> {
              if (skipped.filter(h -> h == head).isPresent() && ctx.channel().isActive()) {
                ctx.fireChannelRead(abandonSkipped(ctx, head, "incomplete"));
                ctx.fireChannelReadComplete();
              }
            },
            SKIP_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns whether the end of a response can be found, and another one may follow it. */
  private boolean isDelimited(HttpResponse head) {
    return !HttpMethod.HEAD.equals(requestMethod)
        && HttpUtil.isKeepAlive(head)
        && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
  }

  private void inspect(ChannelHandlerContext ctx, Object message, ByteBuf buffer) {
    if (message instanceof HttpResponse head) {
      informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      checkHead(ctx, head);
    }
    if (message instanceof LastHttpContent && !informational && skipped.isEmpty()) {
      onResponseEnd(ctx, buffer);
    }
  }

  private void checkHead(ChannelHandlerContext ctx, HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      String cause = String.valueOf(head.decoderResult().cause().getMessage());
      reject(ctx, head, Retirement.MALFORMED_HEAD, "no response: " + cause);
      return;
    }
    if (isRefusal(head)) {
      rules.observer().onRefusal(evidenceOf(head));
    }
    Optional<String> secondHead = secondHeadIn(head);
    if (secondHead.isPresent()) {
      reject(ctx, head, Retirement.MALFORMED_HEAD, secondHead.get());
    } else {
      repeatedHeaderIn(head)
          .ifPresent(detail -> acceptOnlyAsFirst(ctx, head, Retirement.MALFORMED_HEAD, detail));
    }
    if (!ignoringBytes && !informational && requestId.isPresent()) {
      checkId(ctx, head);
    }
    if (!ignoringBytes && skipped.isEmpty() && isRefusal(head)) {
      rememberRefusal(ctx, head);
    }
  }

  private void rememberRefusal(ChannelHandlerContext ctx, HttpResponse head) {
    refusedRequests.add(requestId.get());
    if (refusedRequests.isFull()) {
      String detail = RefusedRequests.CAPACITY + " refusals";
      retire(ctx, Retirement.REFUSALS, detail, Optional.of(head));
    }
  }

  /** Returns whether a response states that the request was not run. */
  private boolean isRefusal(HttpResponse head) {
    return !informational && requestId.isPresent() && rules.refusals().test(head);
  }

  private RefusalEvidence evidenceOf(HttpResponse refusal) {
    if (secondHeadIn(refusal).or(() -> repeatedHeaderIn(refusal)).isPresent()) {
      return RefusalEvidence.AMBIGUOUS_HEAD;
    }
    Optional<String> echoedId = Optional.ofNullable(refusal.headers().get(rules.requestIdHeader()));
    if (echoedId.isEmpty()) {
      return RefusalEvidence.NO_ID;
    }
    return echoedId.equals(requestId) ? RefusalEvidence.OWN_ID : RefusalEvidence.OTHER_ID;
  }

  private void checkId(ChannelHandlerContext ctx, HttpResponse head) {
    String echoedId = head.headers().get(rules.requestIdHeader());
    if (echoedId == null) {
      if (rules.requiresId() || isRefusal(head)) {
        acceptOnlyAsFirst(ctx, head, Retirement.NO_ID, "response without an id");
      }
    } else if (echoedId.equals(requestId.get())) {
      return;
    } else if (maySkip
        && previousRequestId.equals(Optional.of(echoedId))
        && isReusable()
        && isDelimited(head)) {
      beginSkipping(ctx, head, echoedId);
    } else {
      reject(ctx, head, Retirement.OTHER_ID, "response to request " + echoedId);
    }
  }

  /** Accepts a response that may be ambiguous only where no other one can precede it. */
  private void acceptOnlyAsFirst(
      ChannelHandlerContext ctx, HttpResponse head, Retirement reason, String detail) {
    if (completeResponses > 0 || isRefusal(head)) {
      reject(ctx, head, reason, detail);
    } else {
      retire(ctx, reason, detail, Optional.of(head));
    }
  }

  /** Returns where the head of another response begins within a head, empty if none does. */
  private static Optional<String> secondHeadIn(HttpResponse head) {
    if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
      return Optional.of("status line within a status line");
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (STATUS_LINE.matcher(header.getValue()).find()) {
        return Optional.of("status line within the header " + header.getKey());
      }
    }
    return Optional.empty();
  }

  /** Returns which header shows that a head may consist of two, empty if none does. */
  private Optional<String> repeatedHeaderIn(HttpResponse head) {
    return rules.singleHeaders().stream()
        .filter(name -> head.headers().getAll(name).size() > 1)
        .findFirst()
        .map(name -> "more than one header " + name);
  }

  /** Fails the request that awaits this response, and ignores the rest of what arrives. */
  private void reject(
      ChannelHandlerContext ctx, HttpResponse head, Retirement reason, String detail) {
    head.setDecoderResult(DecoderResult.failure(new InvalidResponseException(detail)));
    ignoringBytes = true;
    retire(ctx, reason, detail, Optional.of(head));
    closeLater(ctx);
  }

  private void onResponseEnd(ChannelHandlerContext ctx, ByteBuf buffer) {
    awaitingResponse = false;
    completeResponses++;
    if (buffer.isReadable()) {
      ignoringBytes = true;
      String detail = buffer.readableBytes() + " bytes";
      retire(ctx, Retirement.TRAILING_BYTES, detail, Optional.empty());
    }
    if (!isReusable()) {
      closeLater(ctx);
    }
  }

  /**
   * Retires the connection; it is closed at the end of the response if one is in progress.
   *
   * @param head the response that is the reason, if its head is
   */
  private void retire(
      ChannelHandlerContext ctx, Retirement reason, String detail, Optional<HttpResponse> head) {
    if (!isReusable()) {
      return;
    }
    retirement = Optional.of(reason);
    rules.observer().onRetired(reason);
    LOG.log(
        System.Logger.Level.INFO,
        "connection.retired",
        "request",
        requestId.orElse("none"),
        "reason",
        reason.label(),
        "detail",
        detail,
        "status",
        head.map(h -> Integer.toString(h.status().code())).orElse("none"),
        "refusal",
        head.filter(this::isRefusal).isPresent(),
        "responses",
        completeResponses,
        "local",
        String.valueOf(ctx.channel().localAddress()),
        "remote",
        String.valueOf(ctx.channel().remoteAddress()));
  }

  /** Closes the connection once what was decoded before has been handled. */
  private static void closeLater(ChannelHandlerContext ctx) {
    ctx.executor().execute(ctx::close);
  }
}
