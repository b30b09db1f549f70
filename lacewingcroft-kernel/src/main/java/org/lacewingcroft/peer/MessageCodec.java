package org.lacewingcroft.peer;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.consensus.ConsensusCodec;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.fleet.FleetCodec;
import org.lacewingcroft.fleet.UnknownMessageTypeException;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.membership.Heartbeat;
import org.lacewingcroft.membership.RegionDigest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link PeerMessage}s as MessagePack: a type tag followed by the fields of the
 * message in record order.
 */
public final class MessageCodec {
  private static final int GOSSIP = 1;
  private static final int ENDPOINT_ANNOUNCE = 2;
  private static final int CONFIG_OFFER = 3;
  private static final int CONFIG_REQUEST = 4;
  private static final int IDEMPOTENCY_RECORD = 5;
  private static final int CONSENSUS = 6;
  private static final int KEY_CLAIM = 7;
  private static final int KEY_CLAIM_REPLY = 8;
  private static final int KEY_RELEASE = 9;
  private static final int CONFIG_NOTICE = 10;
  private static final int CONFIG_PATCHES = 11;
  private static final int FLEET = 12;
  private static final int PING = 13;
  private static final int PONG = 14;

  private MessageCodec() {}

  /** Returns the MessagePack encoding of a message. */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof PeerMessage.Gossip g) {
        p.packInt(GOSSIP);
        packGossip(p, g);
      } else if (message instanceof PeerMessage.ConfigPatches c) {
        p.packInt(CONFIG_PATCHES);
        p.packLong(c.baseVersion());
        packStrings(p, c.patches());
      } else if (message instanceof PeerMessage.ConfigNotice n) {
        p.packInt(CONFIG_NOTICE);
        p.packLong(n.version()).packString(n.replyTo());
      } else if (message instanceof PeerMessage.EndpointAnnounce a) {
        p.packInt(ENDPOINT_ANNOUNCE);
        packEndpoint(p, a.endpoint());
      } else if (message instanceof PeerMessage.ConfigOffer o) {
        p.packInt(CONFIG_OFFER);
        p.packLong(o.version());
        p.packString(o.document());
      } else if (message instanceof PeerMessage.ConfigRequest r) {
        p.packInt(CONFIG_REQUEST);
        p.packLong(r.senderVersion());
        p.packString(r.replyTo());
      } else if (message instanceof PeerMessage.IdempotencyRecord r) {
        p.packInt(IDEMPOTENCY_RECORD);
        packRecord(p, r.entry());
      } else if (message instanceof PeerMessage.KeyClaim c) {
        p.packInt(KEY_CLAIM);
        p.packLong(c.callId()).packString(c.key());
        packClaimant(p, c.claimant());
        p.packString(c.replyTo());
      } else if (message instanceof PeerMessage.KeyClaimReply c) {
        p.packInt(KEY_CLAIM_REPLY);
        p.packLong(c.callId()).packString(c.from()).packBoolean(c.existing().isPresent());
        if (c.existing().isPresent()) {
          packRecord(p, c.existing().get());
        }
      } else if (message instanceof PeerMessage.KeyRelease c) {
        p.packInt(KEY_RELEASE);
        p.packString(c.key());
        packClaimant(p, c.claimant());
      } else if (message instanceof PeerMessage.Consensus c) {
        p.packInt(CONSENSUS);
        p.packString(c.from());
        ConsensusCodec.packMessage(p, c.message());
      } else if (message instanceof PeerMessage.Fleet f) {
        byte[] body = FleetCodec.encode(f.message());
        p.packInt(FLEET).packBinaryHeader(body.length).writePayload(body);
      } else if (message instanceof PeerMessage.Ping) {
        p.packInt(PING);
      } else if (message instanceof PeerMessage.Pong) {
        p.packInt(PONG);
      }
      return p.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws UnknownMessageException if the type of the message is unknown
   * @throws MalformedFrameException if the bytes are not a valid message
   */
  public static PeerMessage decode(byte[] bytes) {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
      int type = u.unpackInt();
      return switch (type) {
        case GOSSIP -> unpackGossip(u);
        case CONFIG_PATCHES -> new PeerMessage.ConfigPatches(u.unpackLong(), unpackStrings(u));
        case CONFIG_NOTICE -> new PeerMessage.ConfigNotice(u.unpackLong(), u.unpackString());
        case FLEET -> new PeerMessage.Fleet(FleetCodec.decode(unpackBinary(u, bytes.length)));
        case PING -> new PeerMessage.Ping();
        case PONG -> new PeerMessage.Pong();
        case ENDPOINT_ANNOUNCE -> new PeerMessage.EndpointAnnounce(unpackEndpoint(u));
        case CONFIG_OFFER -> new PeerMessage.ConfigOffer(u.unpackLong(), u.unpackString());
        case CONFIG_REQUEST -> new PeerMessage.ConfigRequest(u.unpackLong(), u.unpackString());
        case IDEMPOTENCY_RECORD -> new PeerMessage.IdempotencyRecord(unpackRecord(u, bytes.length));
        case KEY_CLAIM ->
            new PeerMessage.KeyClaim(
                u.unpackLong(), u.unpackString(), unpackClaimant(u), u.unpackString());
        case KEY_CLAIM_REPLY ->
            new PeerMessage.KeyClaimReply(
                u.unpackLong(),
                u.unpackString(),
                u.unpackBoolean() ? Optional.of(unpackRecord(u, bytes.length)) : Optional.empty());
        case KEY_RELEASE -> new PeerMessage.KeyRelease(u.unpackString(), unpackClaimant(u));
        case CONSENSUS ->
            new PeerMessage.Consensus(u.unpackString(), ConsensusCodec.unpackMessage(u));
        default -> throw new UnknownMessageException("unknown message type " + type);
      };
    } catch (UnknownMessageTypeException e) {
      throw new UnknownMessageException(e.getMessage());
    } catch (IOException | RuntimeException e) {
      if (e instanceof MalformedFrameException m) {
        throw m;
      }
      throw new MalformedFrameException("undecodable message: " + e.getMessage());
    }
  }

  private static void packGossip(MessageBufferPacker p, PeerMessage.Gossip g) throws IOException {
    packMember(p, g.sender());
    p.packLong(g.configVersion());
    p.packArrayHeader(g.heartbeats().size());
    for (Heartbeat heartbeat : g.heartbeats()) {
      p.packString(heartbeat.nodeId())
          .packLong(heartbeat.incarnation())
          .packLong(heartbeat.counter());
      p.packBoolean(heartbeat.draining());
    }
    packMembers(p, g.memberInfos());
    p.packArrayHeader(g.digests().size());
    for (RegionDigest d : g.digests()) {
      p.packString(d.region()).packString(d.originator()).packLong(d.sequence());
      packMembers(p, d.contacts());
      packCounts(p, d.freeSlotsByModel());
    }
    p.packBoolean(g.replyRequested());
  }

  private static PeerMessage.Gossip unpackGossip(MessageUnpacker u) throws IOException {
    final MemberInfo sender = unpackMember(u);
    final long configVersion = u.unpackLong();
    List<Heartbeat> heartbeats = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      heartbeats.add(
          new Heartbeat(u.unpackString(), u.unpackLong(), u.unpackLong(), u.unpackBoolean()));
    }
    List<MemberInfo> memberInfos = unpackMembers(u);
    List<RegionDigest> digests = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      digests.add(
          new RegionDigest(
              u.unpackString(),
              u.unpackString(),
              u.unpackLong(),
              unpackMembers(u),
              unpackCounts(u)));
    }
    return new PeerMessage.Gossip(
        sender, configVersion, heartbeats, memberInfos, digests, u.unpackBoolean());
  }

  private static void packMembers(MessageBufferPacker p, List<MemberInfo> members)
      throws IOException {
    p.packArrayHeader(members.size());
    for (MemberInfo m : members) {
      packMember(p, m);
    }
  }

  private static List<MemberInfo> unpackMembers(MessageUnpacker u) throws IOException {
    List<MemberInfo> members = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      members.add(unpackMember(u));
    }
    return members;
  }

  private static void packRecord(MessageBufferPacker p, IdempotencyTable.Entry e)
      throws IOException {
    p.packString(e.key());
    p.packString(e.state().name());
    packClaimant(p, e.claimant());
    p.packInt(e.status());
    p.packString(e.contentType());
    p.packBinaryHeader(e.body().length);
    p.writePayload(e.body());
    p.packLong(e.expiresAt().toEpochMilli());
  }

  private static IdempotencyTable.Entry unpackRecord(MessageUnpacker u, int messageBytes)
      throws IOException {
    return new IdempotencyTable.Entry(
        u.unpackString(),
        IdempotencyTable.State.valueOf(u.unpackString()),
        unpackClaimant(u),
        u.unpackInt(),
        u.unpackString(),
        unpackBinary(u, messageBytes),
        Instant.ofEpochMilli(u.unpackLong()));
  }

  private static void packClaimant(MessageBufferPacker p, Claimant c) throws IOException {
    p.packString(c.nodeId()).packLong(c.incarnation());
  }

  private static Claimant unpackClaimant(MessageUnpacker u) throws IOException {
    return new Claimant(u.unpackString(), u.unpackLong());
  }

  private static void packMember(MessageBufferPacker p, MemberInfo m) throws IOException {
    p.packString(m.nodeId());
    p.packString(m.role());
    p.packString(m.region());
    p.packString(m.failureDomain());
    p.packString(m.peerAddress());
    p.packString(m.httpAddress());
    p.packLong(m.incarnation());
  }

  private static MemberInfo unpackMember(MessageUnpacker u) throws IOException {
    return new MemberInfo(
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackLong());
  }

  private static void packCounts(MessageBufferPacker p, Map<String, Integer> counts)
      throws IOException {
    p.packMapHeader(counts.size());
    for (Map.Entry<String, Integer> e : counts.entrySet()) {
      p.packString(e.getKey());
      p.packInt(e.getValue());
    }
  }

  private static Map<String, Integer> unpackCounts(MessageUnpacker u) throws IOException {
    int n = u.unpackMapHeader();
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < n; i++) {
      counts.put(u.unpackString(), u.unpackInt());
    }
    return counts;
  }

  private static void packStrings(MessageBufferPacker p, Collection<String> values)
      throws IOException {
    p.packArrayHeader(values.size());
    for (String v : values) {
      p.packString(v);
    }
  }

  /** Returns a byte array, which is not allocated if the message is shorter than it declares. */
  private static byte[] unpackBinary(MessageUnpacker u, int messageBytes) throws IOException {
    int length = u.unpackBinaryHeader();
    if (length > messageBytes - u.getTotalReadBytes()) {
      throw new MalformedFrameException(length + " bytes are longer than the message");
    }
    return u.readPayload(length);
  }

  private static List<String> unpackStrings(MessageUnpacker u) throws IOException {
    int n = u.unpackArrayHeader();
    List<String> values = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      values.add(u.unpackString());
    }
    return values;
  }

  private static void packEndpoint(MessageBufferPacker p, Endpoint e) throws IOException {
    p.packString(e.id());
    p.packString(e.baseUrl());
    p.packString(e.region());
    p.packString(e.failureDomain());
    p.packString(e.kind().name());
    p.packMapHeader(e.labels().size());
    for (Map.Entry<String, String> l : e.labels().entrySet()) {
      p.packString(l.getKey());
      p.packString(l.getValue());
    }
    packStrings(p, e.models());
    p.packInt(e.capacity());
    p.packBoolean(e.checksFencing());
    p.packBoolean(e.draining());
    p.packInt(e.reportedLoad());
    packStrings(p, e.cachedPrefixes());
    p.packLong(e.sequence());
    p.packLong(e.leaseExpiresAt().toEpochMilli());
  }

  private static Endpoint unpackEndpoint(MessageUnpacker u) throws IOException {
    String id = u.unpackString();
    String baseUrl = u.unpackString();
    String region = u.unpackString();
    String failureDomain = u.unpackString();
    EndpointKind kind = EndpointKind.valueOf(u.unpackString());
    int n = u.unpackMapHeader();
    Map<String, String> labels = new HashMap<>();
    for (int i = 0; i < n; i++) {
      labels.put(u.unpackString(), u.unpackString());
    }
    Set<String> models = new HashSet<>(unpackStrings(u));
    int capacity = u.unpackInt();
    boolean checksFencing = u.unpackBoolean();
    boolean draining = u.unpackBoolean();
    int reportedLoad = u.unpackInt();
    Set<String> cachedPrefixes = new HashSet<>(unpackStrings(u));
    long sequence = u.unpackLong();
    Instant lease = Instant.ofEpochMilli(u.unpackLong());
    return new Endpoint(
        id,
        baseUrl,
        region,
        failureDomain,
        kind,
        labels,
        models,
        capacity,
        checksFencing,
        draining,
        reportedLoad,
        cachedPrefixes,
        sequence,
        lease);
  }
}
