package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.FleetMessage.EndpointLoad;
import org.lacewingcroft.fleet.FleetMessage.LoadReport;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.fleet.FleetMessage.PendingPrompt;
import org.lacewingcroft.fleet.FleetMessage.PrefixPart;
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;
import org.lacewingcroft.fleet.FleetMessage.ServiceCapacity;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.quarantine.EndpointCrash;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;

class FleetCodecTest {
  private static final EntryInfo ENTRY =
      new EntryInfo("front-1", "north", "north-a", "10.0.0.1:80", "10.0.0.1:7", "10.0.0.1:8");
  private static final EndpointRecord ENDPOINT =
      new EndpointRecord(
          "i-1", 17, "model", "10.0.1.1:80", "north-a", 64, EndpointState.LOST, 1L << 40, 2_500);
  private static final LoadReport LOAD =
      new LoadReport(
          "front-1",
          true,
          List.of(
              new EndpointLoad(
                  "i-1",
                  2,
                  List.of(new PendingPrompt(3, 13_300, 20)),
                  Optional.of(
                      new EndpointRateLimit.Report(OptionalDouble.of(1.1), Duration.ofMillis(40)))),
              new EndpointLoad(
                  "i-2",
                  1,
                  List.of(),
                  Optional.of(new EndpointRateLimit.Report(OptionalDouble.empty(), Duration.ZERO))),
              new EndpointLoad("i-3", 0, List.of(), Optional.empty())));
  private static final PrefixRead PREFIX =
      new PrefixRead("i-1", List.of(new PrefixPart("5c1e07a2", 800), new PrefixPart("", 0)));
  private static final RegionLoad REGION =
      new RegionLoad(
          "north",
          List.of(
              new ServiceLoad("model", 9, new long[] {1, 250}, 8.25, Optional.empty()),
              new ServiceLoad(
                  "desk",
                  6,
                  new long[EndpointTracker.PRIORITY_COUNT],
                  0.5,
                  Optional.of(new ServiceCapacity(606.5, 101.25, 72, 80)))));
  private static final Suspicion SUSPICION =
      new Suspicion(
          new RequestFingerprint(-1),
          Set.of(new EndpointCrash("i-1@0", Duration.ofMillis(250), true)),
          Optional.of(Duration.ofSeconds(9)));
  private static final News NEWS =
      new News(
          List.of(LOAD),
          List.of(PREFIX),
          List.of(REGION),
          Map.of("desk", 1L << 33),
          List.of(
              new UsageReport(
                  "north", Long.MIN_VALUE, 1L << 40, 29, 30, Map.of("desk", -7L), Map.of(-5L, 9L)),
              new UsageReport("south", 3, 1, 1, 1, Map.of(), Map.of())));

  static Stream<FleetMessage> messages() {
    return Stream.of(
        new FleetMessage.EntryReport(
            ENTRY, true, false, 1L << 40, -5, Integer.MIN_VALUE, 7, 1L << 50),
        new FleetMessage.ControlPulse("c", "north", true, false, 3, -9, List.of("c", "d"), 9),
        new FleetMessage.ControlHello("c", Integer.MAX_VALUE, List.of()),
        new FleetMessage.RosterUpdate("c", 7, true, List.of(ENDPOINT, ENDPOINT)),
        new FleetMessage.RosterAck("c", 7),
        new FleetMessage.EntryList("c", List.of(ENTRY)),
        new FleetMessage.ConnectionsLost("front-1", "north", "e1", "127.0.0.1:9"),
        new FleetMessage.EntryReach("c", Map.of("front-1", Set.of("model"))),
        new FleetMessage.PressureReport(
            "front-1",
            new EntryCapacity(0.27, 656_250, 290L << 20, 2_212),
            new EntryPressure(0.5, 0.25, 0.125, 17)),
        new FleetMessage.ActiveEntries("c", List.of("front-1", "front-2")),
        new FleetMessage.EndpointReports(
            "front-1", "north", List.of(new FleetMessage.EndpointReport("i-1", 3, 0, 8, 140, 20))),
        new FleetMessage.StateRequest("front-1"),
        new FleetMessage.StateOffer(4, Long.MAX_VALUE, "{\"ä\":1}", Set.of("north-a")),
        new FleetMessage.ControlCall(
            "c", 8, FleetMessage.ControlOrder.RETURN, 9, "north-a", Long.MIN_VALUE),
        new FleetMessage.ControlReply(8, false, 9, ""),
        LOAD,
        REGION,
        PREFIX,
        new FleetMessage.EntryNews("front-1", "north", true, NEWS),
        new FleetMessage.NewsDigest("c", News.NONE),
        new FleetMessage.RemoteNews("north", NEWS),
        new FleetMessage.SuspicionUpdate("front-1", 5, List.of(SUSPICION)),
        new FleetMessage.SuspicionAck(5));
  }

  @Test
  void testsEveryMessageType() {
    assertThat(
        messages().map(Object::getClass).toList(),
        containsInAnyOrder(FleetMessage.class.getPermittedSubclasses()));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodesEncodedMessage(FleetMessage message) throws IOException {
    byte[] bytes = FleetCodec.encode(message);
    FleetMessage read = FleetCodec.decode(bytes);
    assertThat(read.getClass(), is((Object) message.getClass()));
    assertThat(FleetCodec.encode(read), is(bytes));
    if (!message.toString().contains("[J@")) {
      assertThat(read, is(message));
    }
  }

  @ParameterizedTest
  @MethodSource("messages")
  void rejectsTruncatedMessages(FleetMessage message) throws IOException {
    byte[] bytes = FleetCodec.encode(message);
    OptionalInt earlierLength = lengthInEarlierBuilds(message);
    IntStream.range(0, bytes.length)
        .filter(length -> earlierLength.isEmpty() || earlierLength.getAsInt() != length)
        .mapToObj(length -> Arrays.copyOf(bytes, length))
        .forEach(truncated -> assertThrows(IOException.class, () -> FleetCodec.decode(truncated)));
  }

  /** Earlier builds end updates before the reports of quota usage. */
  @ParameterizedTest
  @MethodSource("messages")
  void decodesUpdatesOfEarlierBuilds(FleetMessage message) throws IOException {
    OptionalInt length = lengthInEarlierBuilds(message);
    if (length.isPresent()) {
      byte[] earlier = Arrays.copyOf(FleetCodec.encode(message), length.getAsInt());
      FleetMessage expected = withoutQuotaUsage(message).orElseThrow();
      assertThat(FleetCodec.encode(FleetCodec.decode(earlier)), is(FleetCodec.encode(expected)));
    }
  }

  /** Returns the length of updates without the list of reports, the header of which is a byte. */
  private static OptionalInt lengthInEarlierBuilds(FleetMessage message) throws IOException {
    Optional<FleetMessage> without = withoutQuotaUsage(message);
    return without.isPresent()
        ? OptionalInt.of(FleetCodec.encode(without.get()).length - 1)
        : OptionalInt.empty();
  }

  private static Optional<FleetMessage> withoutQuotaUsage(FleetMessage message) {
    if (message instanceof FleetMessage.EntryNews n) {
      return Optional.of(
          new FleetMessage.EntryNews(n.from(), n.region(), n.urgent(), withoutReports(n.news())));
    } else if (message instanceof FleetMessage.NewsDigest d) {
      return Optional.of(new FleetMessage.NewsDigest(d.from(), withoutReports(d.news())));
    } else if (message instanceof FleetMessage.RemoteNews n) {
      return Optional.of(new FleetMessage.RemoteNews(n.region(), withoutReports(n.news())));
    }
    return Optional.empty();
  }

  private static News withoutReports(News news) {
    return new News(
        news.loads(), news.prefixes(), news.regionLoads(), news.serviceUsage(), List.of());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void arbitraryBytesYieldMessageOrIoException(long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = new byte[random.nextInt(40)];
      random.nextBytes(bytes);
      if (bytes.length > 0) {
        bytes[0] = (byte) random.nextInt(20);
      }
      try {
        FleetCodec.decode(bytes);
      } catch (IOException expected) {
        assertThat(expected.getMessage().isEmpty(), is(false));
      }
    }
  }
}
