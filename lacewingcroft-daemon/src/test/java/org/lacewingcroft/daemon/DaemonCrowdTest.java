package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a daemon that runs out of memory because many clients send large requests at the
 * same time and stay open. Each request is within the limits.
 */
class DaemonCrowdTest {
  private static final int HEAP_MEGABYTES = 96;
  private static final int HEAD_BYTES = 16_000;
  private static final int BODY_BYTES = 1 << 20;
  private static final int SEND_SECONDS = 30;
  private static final int OPEN_SECONDS = 6;
  private static final int ORDINARY_TRIES = 100;
  private static final String EQUAL_LINES = "a:\r\n".repeat(HEAD_BYTES / 4);

  @TempDir private Path directory;

  /** Clients that send the same text; {@code size} of them meet the daemon at once. */
  record CrowdCase(String name, int size, String text) {
    @Override
    public String toString() {
      return size + " " + name;
    }
  }

  static Stream<CrowdCase> crowds() {
    return Stream.of(
        new CrowdCase(
            "heads of equal short lines, body open",
            400,
            head(EQUAL_LINES + "Content-Length: 9\r\n\r\n") + "x"),
        new CrowdCase("heads of equal short lines, head open", 400, head(EQUAL_LINES)),
        new CrowdCase(
            "bodies, open",
            200,
            head("Content-Length: " + BODY_BYTES + "\r\n\r\n") + "x".repeat(BODY_BYTES - 1)));
  }

  private static String head(String lines) {
    return "POST /v1/entries HTTP/1.1\r\nHost: 127.0.0.1\r\n" + lines;
  }

  @ParameterizedTest
  @MethodSource("crowds")
  void daemonLivesAndServes(CrowdCase crowdCase) throws Exception {
    Path log = directory.resolve("daemon.log");
    Process process = startDaemon(log);
    Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    try {
      int port = awaitPort();
      assertThat("served at the start", isOrdinaryServed(port));
      CountDownLatch sent = new CountDownLatch(crowdCase.size());
      for (int i = 0; i < crowdCase.size(); i++) {
        new Thread(() -> send(port, crowdCase.text(), sockets, sent)).start();
      }
      sent.await(SEND_SECONDS, TimeUnit.SECONDS);
      TimeUnit.SECONDS.sleep(OPEN_SECONDS);
      assertThat("served beside the crowd", isOrdinaryServed(port));
      closeAll(sockets);
      TimeUnit.SECONDS.sleep(OPEN_SECONDS);
      assertThat("served afterwards", isOrdinaryServed(port));
      assertThat("running afterwards", process.isAlive(), is(true));
      assertThat(Files.readString(log), not(containsString("OutOfMemoryError")));
    } finally {
      closeAll(sockets);
      process.destroyForcibly().waitFor();
    }
  }

  private Process startDaemon(Path log) throws IOException {
    Path secret = Files.writeString(directory.resolve("secret"), "a secret of this test's daemon");
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + HEAP_MEGABYTES + "m",
            "-XX:+UseSerialGC",
            "-XX:+ExitOnOutOfMemoryError",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "--role=control",
            "--node-id=control-1",
            "--region=north",
            "--failure-domain=north-a",
            "--host=127.0.0.1",
            "--http-port=0",
            "--peer-port=0",
            "--bootstrap",
            "--data-dir=" + directory.resolve("data"),
            "--secret-file=" + secret,
            "--port-file=" + directory.resolve("ports"))
        .redirectErrorStream(true)
        .redirectOutput(log.toFile())
        .start();
  }

  private int awaitPort() throws Exception {
    Path file = directory.resolve("ports");
    for (int i = 0; i < ORDINARY_TRIES && !Files.exists(file); i++) {
      TimeUnit.MILLISECONDS.sleep(200);
    }
    return new ObjectMapper().readTree(Files.readString(file)).path("http").asInt();
  }

  private static void send(int port, String text, Queue<Socket> sockets, CountDownLatch sent) {
    try {
      Socket socket = new Socket("127.0.0.1", port);
      sockets.add(socket);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException closed) {
      // The daemon may close any of the connections.
    } finally {
      sent.countDown();
    }
  }

  private static void closeAll(Queue<Socket> sockets) throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Sends ordinary requests until one is served. */
  private static boolean isOrdinaryServed(int port) throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/readyz"))
            .timeout(Duration.ofSeconds(3))
            .build();
    for (int i = 0; i < ORDINARY_TRIES; i++) {
      try {
        if (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
          return true;
        }
      } catch (IOException refused) {
        // Tried again.
      }
      TimeUnit.MILLISECONDS.sleep(200);
    }
    return false;
  }
}
