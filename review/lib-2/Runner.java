import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a runner: announces itself, runs requests on a number of slots and records each
 * one. It can crash and start again at its address as another incarnation.
 */
final class Runner implements AutoCloseable {
  /** Receives what the runner sees. */
  interface Listener {
    /** Called when a request that the runner accepts has arrived. */
    void onRun(Runner runner, HttpMessage request);

    /** Called when the health path was requested. */
    default void onHealth(Runner runner, long coldMillis) {}
  }

  /** What holds for a runner during its life. */
  record Profile(String service, String zone, int slots, int workMillis, int heartbeatMillis) {}

  private static final AtomicInteger SIGNATURES = new AtomicInteger();

  private final Profile profile;
  private final Deployment deployment;
  private final String ip;
  private final Listener listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Semaphore slots;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile String id;
  private volatile long bornMillis;
  private volatile int sequence;
  private volatile long coldUntilNanos = System.nanoTime();
  private volatile int lateMillis;
  private volatile boolean up;
  private volatile boolean closed;
  private volatile String state = "ready";
  private volatile int minBodyBytes;
  private ServerSocket server;

  Runner(Profile profile, Deployment deployment, String ip, String id, Listener listener) {
    this.profile = profile;
    this.deployment = deployment;
    this.ip = ip;
    this.id = id;
    this.listener = listener;
    this.slots = new Semaphore(profile.slots());
  }

  String id() {
    return id;
  }

  String address() {
    return ip + ":" + Deployment.RUNNER_PORT;
  }

  /** Sets the size that the bodies of responses have at least. */
  void setMinBodyBytes(int bytes) {
    minBodyBytes = bytes;
  }

  int inFlight() {
    return inFlight.get();
  }

  boolean isCold() {
    return System.nanoTime() < coldUntilNanos;
  }

  private long coldMillis() {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntilNanos - System.nanoTime()));
  }

  /**
   * Starts an incarnation under the runner's id.
   *
   * @param coldMillis how long it stays cold
   * @param lateMillis how long its check-ins take to arrive
   */
  void start(int coldMillis, int lateMillis) throws IOException {
    bornMillis = Math.max(System.currentTimeMillis(), bornMillis + 1);
    sequence = 0;
    this.lateMillis = lateMillis;
    coldUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(coldMillis);
    server = listen();
    up = true;
    ServerSocket listening = server;
    startDaemon(() -> accept(listening));
    long incarnation = bornMillis;
    startDaemon(() -> announce(incarnation));
  }

  /** Listens at the runner's address; waits for the previous socket to be closed for a moment. */
  private ServerSocket listen() throws IOException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    while (true) {
      ServerSocket socket = new ServerSocket();
      try {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), Deployment.RUNNER_PORT), 256);
        return socket;
      } catch (IOException inUse) {
        socket.close();
        if (System.nanoTime() > end) {
          throw inUse;
        }
        Thread.onSpinWait();
      }
    }
  }

  /** Ends without a word: resets all connections and sends no check-in. */
  void crash() throws IOException {
    up = false;
    server.close();
    connections.forEach(Runner::reset);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closedAlready) {
      // The socket is closed either way.
    }
  }

  private void announce(long incarnation) {
    try {
      while (!closed && up && bornMillis == incarnation) {
        String body = heartbeat();
        startDaemon(() -> send("/Instances.Heartbeat/" + id, body, incarnation));
        TimeUnit.MILLISECONDS.sleep(profile.heartbeatMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String heartbeat() {
    sequence++;
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"%s\",\"warmupLeftMs\":%d,\"sequence\":%d,\"born\":%d}",
        profile.service(),
        address(),
        profile.zone(),
        profile.slots(),
        state,
        coldMillis(),
        sequence,
        bornMillis);
  }

  /** Sends a check-in, which may arrive late, to one control instance after another. */
  private void send(String path, String body, long incarnation) {
    try {
      TimeUnit.MILLISECONDS.sleep(lateMillis);
      for (String control : deployment.controlAddresses()) {
        if (bornMillis != incarnation || deployment.post(control, path, body) == 200) {
          return;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept(ServerSocket listening) {
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        connections.add(socket);
        startDaemon(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      Optional<HttpMessage> request = HttpMessage.read(in);
      while (request.isPresent()) {
        respond(request.get(), socket.getOutputStream());
        request = HttpMessage.read(in);
      }
    } catch (IOException | InterruptedException ended) {
      // The caller left, or this runner crashed.
    } finally {
      connections.remove(socket);
    }
  }

  private void respond(HttpMessage request, OutputStream out)
      throws IOException, InterruptedException {
    if (request.method().equals("GET") && request.path().equals("/healthz")) {
      List<String> headers = new ArrayList<>(List.of("X-Instance-Id: " + id));
      listener.onHealth(this, coldMillis());
      if (isCold()) {
        headers.add("X-Warmup-Ms: " + coldMillis());
      }
      write(out, "200 OK", headers, "");
      return;
    }
    Optional<String> requestId = request.header("X-Request-Id");
    if (requestId.isEmpty()) {
      write(out, "400 Bad Request", List.of("X-Not-Executed: 1"), "");
      return;
    }
    List<String> headers = new ArrayList<>(List.of("X-Request-Id: " + requestId.get()));
    if (request.header("X-Expect-Instance").filter(e -> !e.equals(id)).isPresent()) {
      headers.add("X-Not-Executed: 1");
      write(out, "421 Misdirected Request", headers, "");
      return;
    }
    run(request, headers, out);
  }

  private void run(HttpMessage request, List<String> headers, OutputStream out)
      throws IOException, InterruptedException {
    listener.onRun(this, request);
    inFlight.incrementAndGet();
    slots.acquire();
    try {
      TimeUnit.MILLISECONDS.sleep(profile.workMillis());
    } finally {
      slots.release();
      inFlight.decrementAndGet();
    }
    headers.add("X-Response-Signature: s" + SIGNATURES.incrementAndGet());
    String text = "done " + request.header("X-Request-Id").orElse("") + "\n";
    write(out, "200 OK", headers, text + "x".repeat(Math.max(0, minBodyBytes - text.length())));
  }

  private static void write(OutputStream out, String status, List<String> headers, String body)
      throws IOException {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
    headers.forEach(h -> text.append(h).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work, "runner");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    if (up) {
      crash();
    }
  }
}
