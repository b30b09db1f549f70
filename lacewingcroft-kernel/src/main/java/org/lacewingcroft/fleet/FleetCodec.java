package org.lacewingcroft.fleet;

import java.io.IOException;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link FleetMessage} as MessagePack: a type tag, then the fields in record
 * order.
 *
 * <p>The fields are listed explicitly rather than found by a reflective object mapper, whose
 * reflection would run again in each starting process, when a short start-up time matters most.
 */
public final class FleetCodec {
  private static final int ENTRY_REPORT = 1;
  private static final int CONTROL_PULSE = 2;
  private static final int CONTROL_HELLO = 3;
  private static final int ROSTER_UPDATE = 4;
  private static final int ROSTER_ACK = 5;
  private static final int ENTRY_LIST = 6;
  private static final int STATE_REQUEST = 7;
  private static final int STATE_OFFER = 8;
  private static final int CONTROL_CALL = 9;
  private static final int CONTROL_REPLY = 10;
  private static final int LOAD_REPORT = 11;
  private static final int REGION_LOAD = 12;
  private static final int PREFIX_READ = 13;
  private static final int ENTRY_NEWS = 14;
  private static final int NEWS_DIGEST = 15;
  private static final int REMOTE_NEWS = 16;
  private static final int SUSPICION_UPDATE = 17;
  private static final int SUSPICION_ACK = 18;
  private static final int ENTRY_REACH = 19;
  private static final int PRESSURE_REPORT = 20;
  private static final int ACTIVE_ENTRIES = 21;
  private static final int ENDPOINT_REPORTS = 22;
  private static final int CONNECTIONS_LOST = 23;

  private FleetCodec() {}

  /**
   * Encodes a message.
   *
   * @throws IOException if the message cannot be encoded
   */
  public static byte[] encode(FleetMessage message) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, message);
      return packer.toByteArray();
    }
  }

  private static void pack(MessagePacker p, FleetMessage message) throws IOException {
    if (message instanceof FleetMessage.EntryReport r) {
      p.packInt(ENTRY_REPORT);
      FleetRecordCodec.packEntry(p, r.entry());
      p.packBoolean(r.ready()).packBoolean(r.following()).packLong(r.revision());
      p.packInt(r.rosterDigest()).packInt(r.entriesDigest()).packInt(r.quarantineDigest());
      p.packLong(r.reportId());
    } else if (message instanceof FleetMessage.ControlPulse c) {
      p.packInt(CONTROL_PULSE).packString(c.from()).packString(c.region());
      p.packBoolean(c.inMajority()).packBoolean(c.discoveryComplete()).packLong(c.revision());
      p.packInt(c.quarantineDigest());
      FleetRecordCodec.packStrings(p, c.controls());
      p.packLong(c.reportId());
    } else if (message instanceof FleetMessage.ControlHello h) {
      p.packInt(CONTROL_HELLO).packString(h.from()).packInt(h.recurringDigest());
      FleetRecordCodec.packStrings(p, h.controls());
    } else if (message instanceof FleetMessage.RosterUpdate u) {
      p.packInt(ROSTER_UPDATE).packString(u.from()).packLong(u.callId()).packBoolean(u.complete());
      FleetRecordCodec.packAll(p, u.records(), FleetRecordCodec::packEndpoint);
    } else if (message instanceof FleetMessage.RosterAck a) {
      p.packInt(ROSTER_ACK).packString(a.from()).packLong(a.callId());
    } else if (message instanceof FleetMessage.EntryList l) {
      p.packInt(ENTRY_LIST).packString(l.from());
      FleetRecordCodec.packAll(p, l.entries(), FleetRecordCodec::packEntry);
    } else if (message instanceof FleetMessage.StateRequest r) {
      p.packInt(STATE_REQUEST).packString(r.from());
    } else if (message instanceof FleetMessage.StateOffer o) {
      p.packInt(STATE_OFFER).packLong(o.revision()).packLong(o.version());
      p.packString(o.document());
      FleetRecordCodec.packStrings(p, o.evacuatedDomains());
    } else {
      packOrderOrUpdate(p, message);
    }
  }

  private static void packOrderOrUpdate(MessagePacker p, FleetMessage message) throws IOException {
    if (message instanceof FleetMessage.ControlCall c) {
      p.packInt(CONTROL_CALL).packString(c.from()).packLong(c.callId());
      p.packInt(c.order().ordinal()).packLong(c.version()).packString(c.argument());
      p.packLong(c.baseRevision());
    } else if (message instanceof FleetMessage.ControlReply r) {
      p.packInt(CONTROL_REPLY).packLong(r.callId()).packBoolean(r.committed());
      p.packLong(r.version()).packString(r.document());
    } else if (message instanceof FleetMessage.LoadReport r) {
      p.packInt(LOAD_REPORT);
      FleetRecordCodec.packLoadReport(p, r);
    } else if (message instanceof FleetMessage.RegionLoad l) {
      p.packInt(REGION_LOAD);
      FleetRecordCodec.packRegionLoad(p, l);
    } else if (message instanceof FleetMessage.PrefixRead r) {
      p.packInt(PREFIX_READ);
      FleetRecordCodec.packPrefixRead(p, r);
    } else if (message instanceof FleetMessage.EntryNews n) {
      p.packInt(ENTRY_NEWS).packString(n.from()).packString(n.region()).packBoolean(n.urgent());
      FleetRecordCodec.packNews(p, n.news());
    } else if (message instanceof FleetMessage.NewsDigest d) {
      p.packInt(NEWS_DIGEST).packString(d.from());
      FleetRecordCodec.packNews(p, d.news());
    } else if (message instanceof FleetMessage.RemoteNews n) {
      p.packInt(REMOTE_NEWS).packString(n.region());
      FleetRecordCodec.packNews(p, n.news());
    } else if (message instanceof FleetMessage.SuspicionUpdate u) {
      p.packInt(SUSPICION_UPDATE).packString(u.from()).packLong(u.callId());
      FleetRecordCodec.packAll(p, u.suspicions(), FleetRecordCodec::packSuspicion);
    } else if (message instanceof FleetMessage.SuspicionAck a) {
      p.packInt(SUSPICION_ACK).packLong(a.callId());
    } else if (message instanceof FleetMessage.EntryReach r) {
      p.packInt(ENTRY_REACH).packString(r.from());
      FleetRecordCodec.packUnreachableServices(p, r.unreachableServices());
    } else if (message instanceof FleetMessage.ConnectionsLost l) {
      p.packInt(CONNECTIONS_LOST).packString(l.entry()).packString(l.region());
      p.packString(l.endpoint()).packString(l.address());
    } else if (message instanceof FleetMessage.PressureReport r) {
      p.packInt(PRESSURE_REPORT).packString(r.entry());
      FleetRecordCodec.packCapacity(p, r.capacity());
      FleetRecordCodec.packPressure(p, r.pressure());
    } else if (message instanceof FleetMessage.ActiveEntries a) {
      p.packInt(ACTIVE_ENTRIES).packString(a.from());
      FleetRecordCodec.packStrings(p, a.names());
    } else if (message instanceof FleetMessage.EndpointReports r) {
      p.packInt(ENDPOINT_REPORTS).packString(r.from()).packString(r.region());
      FleetRecordCodec.packAll(p, r.reports(), FleetRecordCodec::packEndpointReport);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws UnknownMessageTypeException if the type of the message is unknown
   * @throws IOException if the bytes are not a message
   */
  public static FleetMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpack(unpacker);
    } catch (MessagePackException e) {
      throw new IOException("malformed fleet message: " + e.getMessage(), e);
    }
  }

  private static FleetMessage unpack(MessageUnpacker u) throws IOException {
    int type = u.unpackInt();
    return switch (type) {
      case ENTRY_REPORT ->
          new FleetMessage.EntryReport(
              FleetRecordCodec.unpackEntry(u),
              u.unpackBoolean(),
              u.unpackBoolean(),
              u.unpackLong(),
              u.unpackInt(),
              u.unpackInt(),
              u.unpackInt(),
              u.unpackLong());
      case CONTROL_PULSE ->
          new FleetMessage.ControlPulse(
              u.unpackString(),
              u.unpackString(),
              u.unpackBoolean(),
              u.unpackBoolean(),
              u.unpackLong(),
              u.unpackInt(),
              FleetRecordCodec.unpackStrings(u),
              u.unpackLong());
      case CONTROL_HELLO ->
          new FleetMessage.ControlHello(
              u.unpackString(), u.unpackInt(), FleetRecordCodec.unpackStrings(u));
      case ROSTER_UPDATE ->
          new FleetMessage.RosterUpdate(
              u.unpackString(),
              u.unpackLong(),
              u.unpackBoolean(),
              FleetRecordCodec.unpackAll(u, FleetRecordCodec::unpackEndpoint));
      case ROSTER_ACK -> new FleetMessage.RosterAck(u.unpackString(), u.unpackLong());
      case ENTRY_LIST ->
          new FleetMessage.EntryList(
              u.unpackString(), FleetRecordCodec.unpackAll(u, FleetRecordCodec::unpackEntry));
      case STATE_REQUEST -> new FleetMessage.StateRequest(u.unpackString());
      case STATE_OFFER ->
          new FleetMessage.StateOffer(
              u.unpackLong(),
              u.unpackLong(),
              u.unpackString(),
              Set.copyOf(FleetRecordCodec.unpackStrings(u)));
      case CONTROL_CALL ->
          new FleetMessage.ControlCall(
              u.unpackString(),
              u.unpackLong(),
              unpackOrder(u),
              u.unpackLong(),
              u.unpackString(),
              u.unpackLong());
      case CONTROL_REPLY ->
          new FleetMessage.ControlReply(
              u.unpackLong(), u.unpackBoolean(), u.unpackLong(), u.unpackString());
      case LOAD_REPORT -> FleetRecordCodec.unpackLoadReport(u);
      case REGION_LOAD -> FleetRecordCodec.unpackRegionLoad(u);
      case PREFIX_READ -> FleetRecordCodec.unpackPrefixRead(u);
      case ENTRY_NEWS ->
          new FleetMessage.EntryNews(
              u.unpackString(),
              u.unpackString(),
              u.unpackBoolean(),
              FleetRecordCodec.unpackNews(u));
      case NEWS_DIGEST ->
          new FleetMessage.NewsDigest(u.unpackString(), FleetRecordCodec.unpackNews(u));
      case REMOTE_NEWS ->
          new FleetMessage.RemoteNews(u.unpackString(), FleetRecordCodec.unpackNews(u));
      case SUSPICION_UPDATE ->
          new FleetMessage.SuspicionUpdate(
              u.unpackString(),
              u.unpackLong(),
              FleetRecordCodec.unpackAll(u, FleetRecordCodec::unpackSuspicion));
      case SUSPICION_ACK -> new FleetMessage.SuspicionAck(u.unpackLong());
      case ENTRY_REACH ->
          new FleetMessage.EntryReach(
              u.unpackString(), FleetRecordCodec.unpackUnreachableServices(u));
      case PRESSURE_REPORT ->
          new FleetMessage.PressureReport(
              u.unpackString(),
              FleetRecordCodec.unpackCapacity(u),
              FleetRecordCodec.unpackPressure(u));
      case ACTIVE_ENTRIES ->
          new FleetMessage.ActiveEntries(u.unpackString(), FleetRecordCodec.unpackStrings(u));
      case ENDPOINT_REPORTS ->
          new FleetMessage.EndpointReports(
              u.unpackString(),
              u.unpackString(),
              FleetRecordCodec.unpackAll(u, FleetRecordCodec::unpackEndpointReport));
      case CONNECTIONS_LOST ->
          new FleetMessage.ConnectionsLost(
              u.unpackString(), u.unpackString(), u.unpackString(), u.unpackString());
      default -> throw new UnknownMessageTypeException(type);
    };
  }

  private static FleetMessage.ControlOrder unpackOrder(MessageUnpacker u) throws IOException {
    return FleetRecordCodec.constantAt(FleetMessage.ControlOrder.values(), u.unpackInt());
  }
}
