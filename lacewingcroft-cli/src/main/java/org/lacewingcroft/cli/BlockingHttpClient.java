package org.lacewingcroft.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A blocking HTTP client for the commands, based on the Vert.x web client. */
final class BlockingHttpClient implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 15;
  private final Vertx vertx = Vertx.vertx();
  private final WebClient client = WebClient.create(vertx);

  /**
   * The parts of an HTTP response that the commands use.
   *
   * @param status the HTTP status code
   * @param body the body as text
   * @param headers the response headers
   */
  record Response(int status, String body, io.vertx.core.MultiMap headers) {}

  Response send(HttpMethod method, String url, Map<String, String> headers, String body)
      throws Exception {
    var request =
        client.requestAbs(method, url).timeout(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    headers.forEach(request::putHeader);
    var future = body == null ? request.send() : request.sendBuffer(Buffer.buffer(body));
    HttpResponse<Buffer> response =
        future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    String bodyText = response.body() == null ? "" : response.bodyAsString();
    return new Response(response.statusCode(), bodyText, response.headers());
  }

  Response get(String url) throws Exception {
    return send(HttpMethod.GET, url, Map.of(), null);
  }

  @Override
  public void close() {
    client.close();
    vertx.close();
  }
}
