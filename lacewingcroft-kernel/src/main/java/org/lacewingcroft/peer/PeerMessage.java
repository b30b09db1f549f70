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
 * The typed messages daemons exchange over the peer transport, encoded by {@link MessageCodec} and
 * framed by {@link FrameCodec}.
 */
public sealed interface PeerMessage {

  /**
   * A daemon's periodic gossip: its own heartbeat and those it has heard of.
   *
   * @param sender the sending daemon's description
   * @param configVersion the configuration version in force at the sender
   * @param signs the newest sign of life of the sender, its region's members and the control group
   * @param introductions descriptions of some of those members
   * @param digests what the sender knows of some regions
   * @param asking whether the sender looks for members of its region and wants an answer
   */
  record Gossip(
      MemberInfo sender,
      long configVersion,
      List<Heartbeat> signs,
      List<MemberInfo> introductions,
      List<RegionDigest> digests,
      boolean asking)
      implements PeerMessage {
    /** Copies the collections so the message is immutable. */
    public Gossip {
      signs = List.copyOf(signs);
      introductions = List.copyOf(introductions);
      digests = List.copyOf(digests);
    }
  }

  /**
   * Tells a daemon that a configuration version is in force at the sender, without the document.
   *
   * @param version the version
   * @param replyTo the sender's peer address, to ask for the document
   */
  record ConfigNotice(long version, String replyTo) implements PeerMessage {}

  /**
   * An endpoint's announcement relayed to the other daemons of its region.
   *
   * @param endpoint the endpoint with its lease
   */
  record EndpointAnnounce(Endpoint endpoint) implements PeerMessage {}

  /**
   * A configuration version offered to a daemon, by push or in answer to {@link ConfigRequest}.
   *
   * @param version the log index that accepted it
   * @param document the YAML document
   */
  record ConfigOffer(long version, String document) implements PeerMessage {}

  /**
   * The patches that lead from a version to the one in force at the sender, in answer to {@link
   * ConfigRequest} where they are fewer bytes than the document.
   *
   * @param baseVersion the version the first patch applies to
   * @param patches the YAML of one patch a version, in order
   */
  record ConfigPatches(long baseVersion, List<String> patches) implements PeerMessage {
    /** Copies the list so the message is immutable. */
    public ConfigPatches {
      patches = List.copyOf(patches);
    }
  }

  /**
   * Asks the receiver for its configuration if it is newer than {@code haveVersion}.
   *
   * @param haveVersion the version the sender already has
   * @param replyTo the sender's peer address
   */
  record ConfigRequest(long haveVersion, String replyTo) implements PeerMessage {}

  /**
   * An at-most-once record with its outcome, sent to the other replicas of its key.
   *
   * @param entry the record
   */
  record IdempotencyRecord(IdempotencyTable.Entry entry) implements PeerMessage {}

  /**
   * Claims a key at a replica before its request is run.
   *
   * @param callId names the call in the reply
   * @param key the key
   * @param claimant who claims it
   * @param replyTo the claimant's peer address
   */
  record KeyClaim(long callId, String key, Claimant claimant, String replyTo)
      implements PeerMessage {}

  /**
   * Answers a {@link KeyClaim}.
   *
   * @param callId the call
   * @param from the replica's node id
   * @param held the record that stands in the way; empty if the claim is granted
   */
  record KeyClaimReply(long callId, String from, Optional<IdempotencyTable.Entry> held)
      implements PeerMessage {}

  /**
   * Takes a claim back: its request was refused and will not run.
   *
   * @param key the key
   * @param claimant who had claimed it
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
   * Asks the other end of a connection for a {@link Pong} on the same connection, to tell a silent
   * one from one that has nothing to say.
   */
  record Ping() implements PeerMessage {}

  /** Answers a {@link Ping}. */
  record Pong() implements PeerMessage {}
}
