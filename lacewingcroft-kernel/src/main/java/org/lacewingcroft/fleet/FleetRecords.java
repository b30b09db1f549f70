package org.lacewingcroft.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
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
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.ReadPart;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;
import org.lacewingcroft.fleet.FleetMessage.UnreadPrompt;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.quarantine.EndpointCrash;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks the records that fleet messages consist of, as MessagePack with the fields in record order. */
final class FleetRecords {
  /** Maximum initial capacity of a list, regardless of the length that its sender claims. */
  private static final int MOST_FORESEEN = 1_024;

  private FleetRecords() {}

  /** Packs one element of a list. */
  interface Packing<T> {
    void pack(MessagePacker p, T element) throws IOException;
  }

  /** Unpacks one element of a list. */
  interface Unpacking<T> {
    T unpack(MessageUnpacker u) throws IOException;
  }

  static <T> void packAll(MessagePacker p, Collection<T> elements, Packing<T> packing)
      throws IOException {
    p.packArrayHeader(elements.size());
    for (T element : elements) {
      packing.pack(p, element);
    }
  }

  static <T> List<T> unpackAll(MessageUnpacker u, Unpacking<T> unpacking) throws IOException {
    int count = u.unpackArrayHeader();
    List<T> elements = new ArrayList<>(Math.min(count, MOST_FORESEEN));
    for (int i = 0; i < count; i++) {
      elements.add(unpacking.unpack(u));
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
  static <E> E constant(E[] values, int ordinal) throws IOException {
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
        constant(EndpointState.values(), u.unpackInt()),
        u.unpackLong(),
        u.unpackLong());
  }

  static void packSuspicion(MessagePacker p, Suspicion s) throws IOException {
    p.packLong(s.content().value());
    packAll(p, s.crashes(), FleetRecords::packEnd);
    p.packBoolean(s.clearedAge().isPresent());
    if (s.clearedAge().isPresent()) {
      p.packLong(s.clearedAge().get().toMillis());
    }
  }

  private static void packEnd(MessagePacker p, EndpointCrash e) throws IOException {
    p.packString(e.incarnation()).packLong(e.age().toMillis()).packBoolean(e.detectedByTimeout());
  }

  private static EndpointCrash unpackEnd(MessageUnpacker u) throws IOException {
    return new EndpointCrash(
        u.unpackString(), Duration.ofMillis(u.unpackLong()), u.unpackBoolean());
  }

  static Suspicion unpackSuspicion(MessageUnpacker u) throws IOException {
    RequestFingerprint content = new RequestFingerprint(u.unpackLong());
    Set<EndpointCrash> ends = Set.copyOf(unpackAll(u, FleetRecords::unpackEnd));
    Optional<Duration> clearedAge =
        u.unpackBoolean() ? Optional.of(Duration.ofMillis(u.unpackLong())) : Optional.empty();
    return new Suspicion(content, ends, clearedAge);
  }

  static void packLoadReport(MessagePacker p, LoadReport r) throws IOException {
    p.packString(r.from()).packBoolean(r.complete());
    packAll(p, r.loads(), FleetRecords::packEndpointLoad);
  }

  static LoadReport unpackLoadReport(MessageUnpacker u) throws IOException {
    return new LoadReport(
        u.unpackString(), u.unpackBoolean(), unpackAll(u, FleetRecords::unpackEndpointLoad));
  }

  private static void packEndpointLoad(MessagePacker p, EndpointLoad l) throws IOException {
    p.packString(l.endpoint()).packInt(l.running());
    packAll(p, l.pendingPrompts(), FleetRecords::packUnread);
    p.packBoolean(l.rate().isPresent());
    if (l.rate().isPresent()) {
      packRate(p, l.rate().get());
    }
  }

  private static void packRate(MessagePacker p, EndpointRateLimit.Report rate) throws IOException {
    p.packBoolean(rate.perSecond().isPresent());
    if (rate.perSecond().isPresent()) {
      p.packDouble(rate.perSecond().getAsDouble());
    }
    p.packLong(rate.age().toMillis());
  }

  private static EndpointRateLimit.Report unpackRate(MessageUnpacker u) throws IOException {
    OptionalDouble perSecond =
        u.unpackBoolean() ? OptionalDouble.of(u.unpackDouble()) : OptionalDouble.empty();
    return new EndpointRateLimit.Report(perSecond, Duration.ofMillis(u.unpackLong()));
  }

  private static EndpointLoad unpackEndpointLoad(MessageUnpacker u) throws IOException {
    return new EndpointLoad(
        u.unpackString(),
        u.unpackInt(),
        unpackAll(u, FleetRecords::unpackUnread),
        u.unpackBoolean() ? Optional.of(unpackRate(u)) : Optional.empty());
  }

  private static void packUnread(MessagePacker p, UnreadPrompt prompt) throws IOException {
    p.packInt(prompt.priority()).packLong(prompt.tokens()).packLong(prompt.ageMillis());
  }

  private static UnreadPrompt unpackUnread(MessageUnpacker u) throws IOException {
    return new UnreadPrompt(u.unpackInt(), u.unpackLong(), u.unpackLong());
  }

  static void packPrefixRead(MessagePacker p, PrefixRead r) throws IOException {
    p.packString(r.endpoint());
    packAll(p, r.parts(), FleetRecords::packPart);
  }

  static PrefixRead unpackPrefixRead(MessageUnpacker u) throws IOException {
    return new PrefixRead(u.unpackString(), unpackAll(u, FleetRecords::unpackPart));
  }

  private static void packPart(MessagePacker p, ReadPart part) throws IOException {
    p.packString(part.id()).packLong(part.tokens());
  }

  private static ReadPart unpackPart(MessageUnpacker u) throws IOException {
    return new ReadPart(u.unpackString(), u.unpackLong());
  }

  static void packRegionLoad(MessagePacker p, RegionLoad l) throws IOException {
    p.packString(l.region());
    packAll(p, l.services(), FleetRecords::packServiceLoad);
  }

  static RegionLoad unpackRegionLoad(MessageUnpacker u) throws IOException {
    return new RegionLoad(u.unpackString(), unpackAll(u, FleetRecords::unpackServiceLoad));
  }

  private static void packServiceLoad(MessagePacker p, ServiceLoad l) throws IOException {
    p.packString(l.service()).packInt(l.endpoints());
    p.packArrayHeader(l.waitMillis().length);
    for (long wait : l.waitMillis()) {
      p.packLong(wait);
    }
    p.packDouble(l.tokenMillis());
  }

  private static ServiceLoad unpackServiceLoad(MessageUnpacker u) throws IOException {
    String service = u.unpackString();
    int endpoints = u.unpackInt();
    long[] waits =
        unpackAll(u, MessageUnpacker::unpackLong).stream().mapToLong(Long::longValue).toArray();
    return new ServiceLoad(service, endpoints, waits, u.unpackDouble());
  }

  static void packNews(MessagePacker p, News news) throws IOException {
    packAll(p, news.loads(), FleetRecords::packLoadReport);
    packAll(p, news.prefixes(), FleetRecords::packPrefixRead);
    packAll(p, news.regionLoads(), FleetRecords::packRegionLoad);
    packAll(p, news.quotaUsage().entrySet(), FleetRecords::packQuotaUse);
  }

  private static void packQuotaUse(MessagePacker p, Map.Entry<String, Long> use)
      throws IOException {
    p.packString(use.getKey()).packLong(use.getValue());
  }

  private static Map<String, Long> unpackQuotaUses(MessageUnpacker u) throws IOException {
    Map<String, Long> uses = new HashMap<>();
    unpackAll(u, element -> Map.entry(element.unpackString(), element.unpackLong()))
        .forEach(use -> uses.merge(use.getKey(), use.getValue(), Long::sum));
    return uses;
  }

  static News unpackNews(MessageUnpacker u) throws IOException {
    return new News(
        unpackAll(u, FleetRecords::unpackLoadReport),
        unpackAll(u, FleetRecords::unpackPrefixRead),
        unpackAll(u, FleetRecords::unpackRegionLoad),
        unpackQuotaUses(u));
  }
}
