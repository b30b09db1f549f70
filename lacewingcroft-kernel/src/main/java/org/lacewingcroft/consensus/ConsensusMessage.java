package org.lacewingcroft.consensus;

import java.util.List;

/** The messages between the members of the control group. Every one carries the sender's term. */
public sealed interface ConsensusMessage {

  /** Returns the sender's term; for a pre-vote the term it would campaign in. */
  long term();

  /**
   * Asks for a vote.
   *
   * @param term the term campaigned in
   * @param lastIndex the candidate's last log index
   * @param lastTerm that entry's term
   * @param preVote true to ask whether a campaign could win, without raising anybody's term
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote)
      implements ConsensusMessage {}

  /**
   * Answers a {@link VoteRequest}.
   *
   * @param term the term granted, or the voter's own term on a refusal
   * @param granted whether the vote is given
   * @param preVote whether a pre-vote is answered
   */
  record VoteResponse(long term, boolean granted, boolean preVote) implements ConsensusMessage {}

  /**
   * Replicates entries, or with none is the leader's heartbeat.
   *
   * @param term the leader's term
   * @param previousIndex the index before the first entry
   * @param previousTerm the term at that index
   * @param entries the entries, possibly none
   * @param commitIndex the leader's commit index
   * @param echoedSession the session the leader last heard from this follower, so that a message
   *     sent after the follower's restart can be told from one delayed since before
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long echoedSession)
      implements ConsensusMessage {
    /** Copies the entries so the message is immutable. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers an {@link AppendRequest} or a {@link SnapshotRequest}.
   *
   * @param term the follower's term
   * @param accepted whether the log now matches the leader's up to {@code matchIndex}
   * @param matchIndex on acceptance the last index known to match, else the follower's last index
   * @param storageId the follower's data folder
   * @param voter whether the follower is a voter, so that its acknowledgement counts
   * @param session a number the follower drew at its start
   */
  record AppendResponse(
      long term, boolean accepted, long matchIndex, String storageId, boolean voter, long session)
      implements ConsensusMessage {}

  /**
   * Sends a whole snapshot to a follower that lacks entries the leader has compacted.
   *
   * @param term the leader's term
   * @param snapshot the snapshot
   */
  record SnapshotRequest(long term, Snapshot snapshot) implements ConsensusMessage {}
}
