package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.control.DurableFile;
import org.lacewingcroft.control.UnresponsiveFile;
import org.lacewingcroft.quarantine.EndpointCrash;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;

/** Guards against a control instance that ends at each start because of its quarantine file. */
class UnreadableQuarantineTest {
  private static final InstantSource CLOCK = InstantSource.fixed(Instant.ofEpochSecond(1_000));
  private static final byte[] WRITTEN_AT =
      ByteBuffer.allocate(Long.BYTES).putLong(CLOCK.millis()).array();

  @TempDir private Path folder;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context context = vertx.getOrCreateContext();

  private interface Content {
    void write(Path file) throws IOException;
  }

  private record Row(String name, int loaded, Content content) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static byte[] update(Duration age) throws IOException {
    Set<EndpointCrash> crashes =
        Set.of(
            new EndpointCrash("a@1", age, false),
            new EndpointCrash("b@1", age.plusSeconds(10), false),
            new EndpointCrash("c@1", age.plusSeconds(20), false));
    return FleetCodec.encode(
        new FleetMessage.SuspicionUpdate(
            "", 0, List.of(new Suspicion(new RequestFingerprint(1), crashes, Optional.empty()))));
  }

  private static Row records(String name, byte[]... records) {
    return new Row(name, 0, file -> DurableFile.replace(file, List.of(records)));
  }

  static Stream<Row> rows() throws IOException {
    byte[] update = update(Duration.ZERO);
    byte[] garbage = new byte[64];
    Arrays.fill(garbage, (byte) 0xff);
    byte[] ofAnotherType = FleetCodec.encode(new FleetMessage.StateRequest("peer"));
    byte[] longAgo = ByteBuffer.allocate(Long.BYTES).putLong(Long.MIN_VALUE).array();
    return Stream.of(
        new Row("intact", 1, f -> DurableFile.replace(f, List.of(WRITTEN_AT, update))),
        new Row("missing", 0, file -> {}),
        new Row("empty", 0, file -> Files.write(file, new byte[0])),
        new Row("zeros", 0, file -> Files.write(file, new byte[4_096])),
        new Row("garbage", 0, file -> Files.write(file, garbage)),
        new Row("a folder", 0, Files::createDirectory),
        new Row(
            "half",
            0,
            file -> {
              DurableFile.replace(file, List.of(WRITTEN_AT, update));
              byte[] bytes = Files.readAllBytes(file);
              Files.write(file, Arrays.copyOf(bytes, bytes.length / 2));
            }),
        new Row(
            "beside a folder in place of the temporary file",
            0,
            file -> Files.createDirectory(file.resolveSibling("quarantine.tmp"))),
        records("without the update", WRITTEN_AT),
        records("garbage with a checksum", WRITTEN_AT, garbage),
        records("zeros with a checksum", WRITTEN_AT, new byte[64]),
        records("half of an update with a checksum", WRITTEN_AT, Arrays.copyOf(update, 20)),
        records("of an unknown type", WRITTEN_AT, new byte[] {100}),
        records("another message", WRITTEN_AT, ofAnotherType),
        records("time out of range", longAgo, update),
        records("age out of range", WRITTEN_AT, update(Duration.ofMillis(Long.MAX_VALUE - 99_999))),
        records("time and age out of range", longAgo, update(Duration.ofDays(365_000_000))));
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @MethodSource("rows")
  void instanceStartsWithoutWhatCannotBeRead(Row row) throws Exception {
    row.content.write(folder.resolve("quarantine"));
    assertThat(loadedSize(), is(row.loaded));
  }

  /** A disk that does not respond must not hold up the other roles. */
  @Test
  void instanceStartsWhileDiskDoesNotRespond() throws Exception {
    Path file = folder.resolve("quarantine");
    try (UnresponsiveFile unresponsive = UnresponsiveFile.create(file)) {
      assertThat(loadedSize(), is(0));
    }
  }

  private int loadedSize() throws Exception {
    CompletableFuture<Integer> size = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          try {
            SuspicionExchange exchange = exchange();
            exchange
                .load()
                .onSuccess(
                    loaded -> {
                      exchange.expireAndSave();
                      size.complete(exchange.size());
                    });
          } catch (RuntimeException e) {
            size.completeExceptionally(e);
          }
        });
    return size.get(10, TimeUnit.SECONDS);
  }

  private SuspicionExchange exchange() {
    try {
      return new SuspicionExchange(
          vertx,
          "127.0.0.1:1",
          new FleetTransport(context, EntrySettings.onFreePorts("control")),
          CLOCK,
          List::of,
          List::of,
          new SuspicionStore(folder, CLOCK));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
