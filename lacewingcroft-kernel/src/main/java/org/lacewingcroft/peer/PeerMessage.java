package org.lacewingcroft.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.idempotency.IdempotencyTable;

/**
 * The typed messages daemons exchange over the peer transport, encoded by {@link MessageCodec} and
 * framed by {@link FrameCodec}.
 */
public sealed interface PeerMessage {

  /**
   * A daemon's periodic heartbeat: who it is, what it has, and whom it knows.
   *
   * @param sender the sending daemon's description
   * @param leaving true while it shuts down gracefully and takes no new work
   * @param configVersion the configuration version in force at the sender
   * @param freeSlotsByModel free capacity of the sender's region by model, for forwarding
   * @param known other members the sender has heard from, for discovery by gossip
   */
  record Heartbeat(
      MemberInfo sender,
      boolean leaving,
      long configVersion,
      Map<String, Integer> freeSlotsByModel,
      List<MemberInfo> known)
      implements PeerMessage {
    /** Copies the collections so the message is immutable. */
    public Heartbeat {
      freeSlotsByModel = Map.copyOf(freeSlotsByModel);
      known = List.copyOf(known);
    }
  }

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
}
