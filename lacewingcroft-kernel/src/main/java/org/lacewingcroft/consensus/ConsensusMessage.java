package org.lacewingcroft.consensus;

import java.util.List;
import java.util.OptionalLong;

/** The messages between the members of the control group. Each carries a term. */
public sealed interface ConsensusMessage {

  /**
   * Returns the sender's term; in a pre-vote request and in its granted response, the term of the
   * election that would follow.
   */
  long term();

  /**
   * Requests a vote or a pre-vote.
   *
   * @param term the term of the election; for a pre-vote, the term of the election that would
   *     follow
   * @param lastIndex the index of the candidate's last log entry
   * @param lastTerm the term of that entry
   * @param preVote true for a pre-vote, which determines whether an election could be won and
   *     raises no member's term
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote)
      implements ConsensusMessage {}

  /**
   * Responds to a {@link VoteRequest}.
   *
   * @param term the term of the request for a granted pre-vote, otherwise the voter's own term
   * @param granted whether the vote is granted
   * @param preVote whether the request was a pre-vote
   */
  record VoteResponse(long term, boolean granted, boolean preVote) implements ConsensusMessage {}

  /**
   * Replicates log entries; without entries it is the leader's heartbeat.
   *
   * @param term the leader's term
   * @param previousIndex the index before the first entry
   * @param previousTerm the term at that index
   * @param entries the entries, possibly none
   * @param commitIndex the leader's commit index
   * @param echoedSession the session in the last response that the leader received from this
   *     follower, which distinguishes a message sent after the follower's restart from a delayed
   *     one sent before it
   * @param sentAtMillis when the request was sent, by the leader's clock; empty from a build that
   *     does not send it
   * @param currentAtMillis a time by the follower's clock, within {@code echoedSession}: everything
   *     that the group had committed by then is at or below {@code commitIndex}; empty if the
   *     leader knows of no such time
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long echoedSession,
      OptionalLong sentAtMillis,
      OptionalLong currentAtMillis)
      implements ConsensusMessage {
    /** Copies the entries so that the message is immutable. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Responds to an {@link AppendRequest} or a {@link SnapshotRequest}.
   *
   * @param term the follower's term
   * @param accepted whether the log now matches the leader's up to {@code matchIndex}
   * @param matchIndex if accepted, the last index known to match; otherwise the last index that may
   *     match, from which the leader continues its search
   * @param storageId the id of the follower's data folder
   * @param voter whether the follower is a voter, so that its acknowledgement counts
   * @param session a random number that the follower drew at its start
   * @param requestSentAtMillis the {@code sentAtMillis} of the request; empty if the request did
   *     not carry it, was a snapshot or was of an earlier term
   * @param sentAtMillis when the response was sent, by the follower's clock; empty from a build
   *     that does not send it
   */
  record AppendResponse(
      long term,
      boolean accepted,
      long matchIndex,
      String storageId,
      boolean voter,
      long session,
      OptionalLong requestSentAtMillis,
      OptionalLong sentAtMillis)
      implements ConsensusMessage {}

  /**
   * Sends a complete snapshot to a follower that lacks entries which the leader has compacted.
   *
   * @param term the leader's term
   * @param snapshot the snapshot
   */
  record SnapshotRequest(long term, Snapshot snapshot) implements ConsensusMessage {}
}
