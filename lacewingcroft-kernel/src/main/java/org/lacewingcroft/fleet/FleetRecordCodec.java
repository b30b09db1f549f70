package org.lacewingcroft.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
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
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Packs and unpacks the records that fleet messages consist of, as MessagePack with the fields in
 * record order.
 */
final class FleetRecordCodec {
  /** Maximum initial capacity of a list, regardless of the length that its sender claims. */
  private static final int MAX_INITIAL_CAPACITY = 1_024;

  /** Number of fields of a {@link ServiceCapacity} on the wire. */
  private static final int CAPACITY_FIELDS = 4;

  private static final double MILLIS_PER_SECOND = 1_000;

  private FleetRecordCodec() {}

  /** Packs one element of a list. */
  interface ElementPacker<T> {
    void pack(MessagePacker p, T element) throws IOException;
  }

  /** Unpacks one element of a list. */
  interface ElementUnpacker<T> {
    T unpack(MessageUnpacker u) throws IOException;
  }

  static <T> void packAll(MessagePacker p, Collection<T> elements, ElementPacker<T> packer)
      throws IOException {
    p.packArrayHeader(elements.size());
    for (T element : elements) {
      packer.pack(p, element);
    }
  }

  static <T> List<T> unpackAll(MessageUnpacker u, ElementUnpacker<T> unpacker) throws IOException {
    int count = u.unpackArrayHeader();
    List<T> elements = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
    for (int i = 0; i < count; i++) {
      elements.add(unpacker.unpack(u));
    }
    return elements;
  }

  static void packStrings(MessagePacker p, Collection<String> texts) throws IOException {
    packAll(p, texts, MessagePacker::packString);
  }

  static List<String> unpackStrings(MessageUnpacker u) throws IOException {
    return unpackAll(u, MessageUnpacker::unpackString);
  }

  /** Returns the enum constant with the given ordinal. */
  static <E> E constantAt(E[] values, int ordinal) throws IOException {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IOException("unknown enum ordinal " + ordinal);
    }
    return values[ordinal];
  }

  static void packEntry(MessagePacker p, EntryInfo e) throws IOException {
    p.packString(e.name()).packString(e.region()).packString(e.failureDomain());
    p.packString(e.publicAddress()).packString(e.peerAddress()).packString(e.relayAddress());
  }

  static EntryInfo unpackEntry(MessageUnpacker u) throws IOException {
    return new EntryInfo(
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString());
  }

  static void packUnreachableServices(MessagePacker p, Map<String, Set<String>> byEntry)
      throws IOException {
    packAll(
        p,
        byEntry.entrySet(),
        (packer, entry) -> {
          packer.packString(entry.getKey());
          packStrings(packer, entry.getValue());
        });
  }

  static Map<String, Set<String>> unpackUnreachableServices(MessageUnpacker u) throws IOException {
    Map<String, Set<String>> byEntry = new HashMap<>();
    unpackAll(u, e -> Map.entry(e.unpackString(), Set.copyOf(unpackStrings(e))))
        .forEach(entry -> byEntry.put(entry.getKey(), entry.getValue()));
    return Map.copyOf(byEntry);
  }

  static void packCapacity(MessagePacker p, EntryCapacity c) throws IOException {
    p.packDouble(c.cores()).packLong(c.linkBytesPerSecond()).packLong(c.memoryBytes());
    p.packInt(c.fileDescriptors());
  }

  static EntryCapacity unpackCapacity(MessageUnpacker u) throws IOException {
    return new EntryCapacity(u.unpackDouble(), u.unpackLong(), u.unpackLong(), u.unpackInt());
  }

  static void packPressure(MessagePacker p, EntryPressure e) throws IOException {
    p.packDouble(e.eventLoop()).packDouble(e.link()).packDouble(e.fileDescriptors());
    p.packInt(e.inFlight());
  }

  static EntryPressure unpackPressure(MessageUnpacker u) throws IOException {
    return new EntryPressure(u.unpackDouble(), u.unpackDouble(), u.unpackDouble(), u.unpackInt());
  }

  static void packEndpointReport(MessagePacker p, FleetMessage.EndpointReport r)
      throws IOException {
    p.packString(r.endpoint()).packInt(r.running()).packInt(r.waiting()).packInt(r.slots());
    p.packInt(r.pacePercent()).packLong(r.ageMillis());
  }

  static FleetMessage.EndpointReport unpackEndpointReport(MessageUnpacker u) throws IOException {
    return new FleetMessage.EndpointReport(
        u.unpackString(),
        u.unpackInt(),
        u.unpackInt(),
        u.unpackInt(),
        u.unpackInt(),
        u.unpackLong());
  }

  static void packEndpoint(MessagePacker p, EndpointRecord r) throws IOException {
    p.packString(r.id()).packLong(r.startedAtMillis()).packString(r.service());
    p.packString(r.address()).packString(r.failureDomain()).packInt(r.slots());
    p.packInt(r.state().ordinal()).packLong(r.sequence()).packLong(r.coldMillis());
  }

  static EndpointRecord unpackEndpoint(MessageUnpacker u) throws IOException {
    return new EndpointRecord(
        u.unpackString(),
        u.unpackLong(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackInt(),
        constantAt(EndpointState.values(), u.unpackInt()),
        u.unpackLong(),
        u.unpackLong());
  }

  static void packSuspicion(MessagePacker p, Suspicion s) throws IOException {
    p.packLong(s.content().value());
    packAll(p, s.crashes(), FleetRecordCodec::packCrash);
    p.packBoolean(s.clearedAge().isPresent());
    if (s.clearedAge().isPresent()) {
      p.packLong(s.clearedAge().get().toMillis());
    }
  }

  private static void packCrash(MessagePacker p, EndpointCrash e) throws IOException {
    p.packString(e.incarnation()).packLong(e.age().toMillis()).packBoolean(e.detectedByTimeout());
  }

  private static EndpointCrash unpackCrash(MessageUnpacker u) throws IOException {
    return new EndpointCrash(
        u.unpackString(), Duration.ofMillis(u.unpackLong()), u.unpackBoolean());
  }

  static Suspicion unpackSuspicion(MessageUnpacker u) throws IOException {
    RequestFingerprint content = new RequestFingerprint(u.unpackLong());
    Set<EndpointCrash> crashes = Set.copyOf(unpackAll(u, FleetRecordCodec::unpackCrash));
    Optional<Duration> clearedAge =
        u.unpackBoolean() ? Optional.of(Duration.ofMillis(u.unpackLong())) : Optional.empty();
    return new Suspicion(content, crashes, clearedAge);
  }

  static void packLoadReport(MessagePacker p, LoadReport r) throws IOException {
    p.packString(r.from()).packBoolean(r.complete());
    packAll(p, r.loads(), FleetRecordCodec::packEndpointLoad);
  }

  static LoadReport unpackLoadReport(MessageUnpacker u) throws IOException {
    return new LoadReport(
        u.unpackString(), u.unpackBoolean(), unpackAll(u, FleetRecordCodec::unpackEndpointLoad));
  }

  private static void packEndpointLoad(MessagePacker p, EndpointLoad l) throws IOException {
    p.packString(l.endpoint()).packInt(l.running());
    packAll(p, l.pendingPrompts(), FleetRecordCodec::packPendingPrompt);
    p.packBoolean(l.rateLimit().isPresent());
    if (l.rateLimit().isPresent()) {
      packRateLimit(p, l.rateLimit().get());
    }
  }

  private static void packRateLimit(MessagePacker p, EndpointRateLimit.Report rateLimit)
      throws IOException {
    p.packBoolean(rateLimit.perSecond().isPresent());
    if (rateLimit.perSecond().isPresent()) {
      p.packDouble(rateLimit.perSecond().getAsDouble());
    }
    p.packLong(rateLimit.age().toMillis());
  }

  private static EndpointRateLimit.Report unpackRateLimit(MessageUnpacker u) throws IOException {
    OptionalDouble perSecond =
        u.unpackBoolean() ? OptionalDouble.of(u.unpackDouble()) : OptionalDouble.empty();
    return new EndpointRateLimit.Report(perSecond, Duration.ofMillis(u.unpackLong()));
  }

  private static EndpointLoad unpackEndpointLoad(MessageUnpacker u) throws IOException {
    return new EndpointLoad(
        u.unpackString(),
        u.unpackInt(),
        unpackAll(u, FleetRecordCodec::unpackPendingPrompt),
        u.unpackBoolean() ? Optional.of(unpackRateLimit(u)) : Optional.empty());
  }

  private static void packPendingPrompt(MessagePacker p, PendingPrompt prompt) throws IOException {
    p.packInt(prompt.priority()).packLong(prompt.tokens()).packLong(prompt.ageMillis());
  }

  private static PendingPrompt unpackPendingPrompt(MessageUnpacker u) throws IOException {
    return new PendingPrompt(u.unpackInt(), u.unpackLong(), u.unpackLong());
  }

  static void packPrefixRead(MessagePacker p, PrefixRead r) throws IOException {
    p.packString(r.endpoint());
    packAll(p, r.parts(), FleetRecordCodec::packPrefixPart);
  }

  static PrefixRead unpackPrefixRead(MessageUnpacker u) throws IOException {
    return new PrefixRead(u.unpackString(), unpackAll(u, FleetRecordCodec::unpackPrefixPart));
  }

  private static void packPrefixPart(MessagePacker p, PrefixPart part) throws IOException {
    p.packString(part.id()).packLong(part.tokens());
  }

  private static PrefixPart unpackPrefixPart(MessageUnpacker u) throws IOException {
    return new PrefixPart(u.unpackString(), u.unpackLong());
  }

  static void packRegionLoad(MessagePacker p, RegionLoad l) throws IOException {
    p.packString(l.region());
    packAll(p, l.services(), FleetRecordCodec::packServiceLoad);
  }

  static RegionLoad unpackRegionLoad(MessageUnpacker u) throws IOException {
    return new RegionLoad(u.unpackString(), unpackAll(u, FleetRecordCodec::unpackServiceLoad));
  }

  /**
   * Packs the capacity after the waits of all priorities, in the same array: earlier builds read
   * only the wait of a request's priority.
   */
  private static void packServiceLoad(MessagePacker p, ServiceLoad l) throws IOException {
    p.packString(l.service()).packInt(l.endpoints());
    Optional<ServiceCapacity> capacity =
        l.capacity().filter(c -> l.waitMillis().length == EndpointTracker.PRIORITY_COUNT);
    p.packArrayHeader(l.waitMillis().length + (capacity.isPresent() ? CAPACITY_FIELDS : 0));
    for (long wait : l.waitMillis()) {
      p.packLong(wait);
    }
    if (capacity.isPresent()) {
      ServiceCapacity c = capacity.get();
      p.packLong(Math.round(c.prefillTokensPerMilli() * MILLIS_PER_SECOND));
      p.packLong(Math.round(c.spareTokensPerMilli() * MILLIS_PER_SECOND));
      p.packLong(c.slots()).packLong(c.occupiedSlots());
    }
    p.packDouble(l.tokenMillis());
  }

  private static ServiceLoad unpackServiceLoad(MessageUnpacker u) throws IOException {
    String service = u.unpackString();
    int endpoints = u.unpackInt();
    long[] numbers =
        unpackAll(u, MessageUnpacker::unpackLong).stream().mapToLong(Long::longValue).toArray();
    int waitCount = Math.min(numbers.length, EndpointTracker.PRIORITY_COUNT);
    long[] waits = Arrays.copyOf(numbers, waitCount);
    long[] capacity = Arrays.copyOfRange(numbers, waitCount, numbers.length);
    return new ServiceLoad(service, endpoints, waits, u.unpackDouble(), serviceCapacity(capacity));
  }

  private static Optional<ServiceCapacity> serviceCapacity(long[] fields) throws IOException {
    if (fields.length < CAPACITY_FIELDS) {
      return Optional.empty();
    }
    if (Arrays.stream(fields).anyMatch(f -> f < 0 || f > Integer.MAX_VALUE)) {
      throw new IOException("capacity of a service out of range: " + Arrays.toString(fields));
    }
    return Optional.of(
        new ServiceCapacity(
            fields[0] / MILLIS_PER_SECOND,
            fields[1] / MILLIS_PER_SECOND,
            (int) fields[2],
            (int) fields[3]));
  }

  static void packNews(MessagePacker p, News news) throws IOException {
    packAll(p, news.loads(), FleetRecordCodec::packLoadReport);
    packAll(p, news.prefixes(), FleetRecordCodec::packPrefixRead);
    packAll(p, news.regionLoads(), FleetRecordCodec::packRegionLoad);
    packAll(p, news.serviceUsage().entrySet(), FleetRecordCodec::packAmount);
    packAll(p, news.quotaUsage(), FleetRecordCodec::packUsageReport);
  }

  private static void packAmount(MessagePacker p, Map.Entry<String, Long> entry)
      throws IOException {
    p.packString(entry.getKey()).packLong(entry.getValue());
  }

  private static Map<String, Long> unpackAmounts(MessageUnpacker u) throws IOException {
    Map<String, Long> amounts = new HashMap<>();
    unpackAll(u, element -> Map.entry(element.unpackString(), element.unpackLong()))
        .forEach(entry -> amounts.merge(entry.getKey(), entry.getValue(), Long::sum));
    return amounts;
  }

  private static void packUsageReport(MessagePacker p, UsageReport r) throws IOException {
    p.packString(r.region()).packLong(r.counter()).packLong(r.ageMillis());
    p.packInt(r.entryCount()).packInt(r.knownEntryCount());
    packAll(p, r.totals().entrySet(), FleetRecordCodec::packAmount);
    p.packMapHeader(r.includedAgeMillis().size());
    for (Map.Entry<Long, Long> included : r.includedAgeMillis().entrySet()) {
      p.packLong(included.getKey()).packLong(included.getValue());
    }
  }

  private static UsageReport unpackUsageReport(MessageUnpacker u) throws IOException {
    String region = u.unpackString();
    final long counter = u.unpackLong();
    final long ageMillis = u.unpackLong();
    final int entryCount = u.unpackInt();
    final int knownEntryCount = u.unpackInt();
    final Map<String, Long> totals = unpackAmounts(u);
    int size = u.unpackMapHeader();
    Map<Long, Long> included = new HashMap<>();
    for (int i = 0; i < size; i++) {
      included.put(u.unpackLong(), u.unpackLong());
    }
    return new UsageReport(
        region, counter, ageMillis, entryCount, knownEntryCount, totals, included);
  }

  /** Earlier builds do not send reports of quota usage. */
  private static List<UsageReport> unpackUsageReports(MessageUnpacker u) throws IOException {
    return u.hasNext() ? unpackAll(u, FleetRecordCodec::unpackUsageReport) : List.of();
  }

  static News unpackNews(MessageUnpacker u) throws IOException {
    return new News(
        unpackAll(u, FleetRecordCodec::unpackLoadReport),
        unpackAll(u, FleetRecordCodec::unpackPrefixRead),
        unpackAll(u, FleetRecordCodec::unpackRegionLoad),
        unpackAmounts(u),
        unpackUsageReports(u));
  }
}
