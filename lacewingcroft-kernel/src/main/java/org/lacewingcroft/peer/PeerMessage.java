package org.lacewingcroft.peer;

import java.util.List;
import java.util.Optional;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.membership.Heartbeat;
import org.lacewingcroft.membership.RegionDigest;

/**
 * A message that daemons exchange over the peer transport, encoded by {@link MessageCodec} and
 * framed by {@link FrameCodec}.
 */
public sealed interface PeerMessage {

  /**
   * The periodic gossip of a daemon, with its own heartbeat and heartbeats that it has received.
   *
   * @param sender the sending daemon's description
   * @param configVersion the active configuration version of the sender
   * @param heartbeats the latest heartbeats of the sender, its region's members and the control
   *     group
   * @param memberInfos descriptions of some of those members
   * @param digests the latest digests of some regions
   * @param replyRequested whether the sender requests a reply with members of its region
   */
  record Gossip(
      MemberInfo sender,
      long configVersion,
      List<Heartbeat> heartbeats,
      List<MemberInfo> memberInfos,
      List<RegionDigest> digests,
      boolean replyRequested)
      implements PeerMessage {
    /** Copies the collections so that the message is immutable. */
    public Gossip {
      heartbeats = List.copyOf(heartbeats);
      memberInfos = List.copyOf(memberInfos);
      digests = List.copyOf(digests);
    }
  }

  /**
   * Announces the active configuration version of the sender, without the document.
   *
   * @param version the configuration version
   * @param replyTo the sender's peer address, for a {@link ConfigRequest}
   */
  record ConfigNotice(long version, String replyTo) implements PeerMessage {}

  /**
   * An endpoint's announcement, relayed to the other daemons of its region.
   *
   * @param endpoint the endpoint with its lease
   */
  record EndpointAnnounce(Endpoint endpoint) implements PeerMessage {}

  /**
   * A configuration version, pushed to a daemon or sent in reply to a {@link ConfigRequest}.
   *
   * @param version the configuration version, assigned by the control group
   * @param document the YAML document
   */
  record ConfigOffer(long version, String document) implements PeerMessage {}

  /**
   * The patches from a configuration version to the active one of the sender, sent in reply to a
   * {@link ConfigRequest} if they are smaller than the document.
   *
   * @param baseVersion the version that the first patch applies to
   * @param patches one YAML patch per version, in order
   */
  record ConfigPatches(long baseVersion, List<String> patches) implements PeerMessage {
    /** Copies the list so that the message is immutable. */
    public ConfigPatches {
      patches = List.copyOf(patches);
    }
  }

  /**
   * Requests the configuration of the receiver if it is newer than {@code senderVersion}.
   *
   * @param senderVersion the configuration version of the sender
   * @param replyTo the sender's peer address
   */
  record ConfigRequest(long senderVersion, String replyTo) implements PeerMessage {}

  /**
   * An at-most-once record, replicated to the other replicas of its key.
   *
   * @param entry the record
   */
  record IdempotencyRecord(IdempotencyTable.Entry entry) implements PeerMessage {}

  /**
   * Claims an idempotency key at a replica before the request is run.
   *
   * @param callId the id of the call, which the reply repeats
   * @param key the idempotency key
   * @param claimant the process that claims it
   * @param replyTo the claimant's peer address
   */
  record KeyClaim(long callId, String key, Claimant claimant, String replyTo)
      implements PeerMessage {}

  /**
   * The reply to a {@link KeyClaim}.
   *
   * @param callId the id of the call
   * @param from the replica's node id
   * @param existing the existing record of the key; empty if the claim is granted
   */
  record KeyClaimReply(long callId, String from, Optional<IdempotencyTable.Entry> existing)
      implements PeerMessage {}

  /**
   * Releases a claim whose request was refused and will not run.
   *
   * @param key the idempotency key
   * @param claimant the process that claimed it
   */
  record KeyRelease(String key, Claimant claimant) implements PeerMessage {}

  /**
   * A message between members of the control group.
   *
   * @param from the sending member's node id
   * @param message the message
   */
  record Consensus(String from, ConsensusMessage message) implements PeerMessage {}

  /**
   * A message between the entries and control instances of a fleet.
   *
   * @param message the message
   */
  record Fleet(FleetMessage message) implements PeerMessage {}

  /**
   * Requests a {@link Pong} on the same connection, to distinguish an unresponsive peer from an
   * idle one.
   */
  record Ping() implements PeerMessage {}

  /** The reply to a {@link Ping}. */
  record Pong() implements PeerMessage {}
}
