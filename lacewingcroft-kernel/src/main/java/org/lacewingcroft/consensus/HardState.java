package org.lacewingcroft.consensus;

import java.util.Optional;

/**
 * The state other than its log that a member must retain across restarts.
 *
 * @param term the highest term that it has seen
 * @param votedFor the member that it voted for in that term, if any
 * @param storageId the id of its data folder, generated when the folder was first used
 * @param voter whether it may vote and its acknowledgements count; false for a data folder created
 *     after the deployment's first start, until the log readmits the member
 */
public record HardState(long term, Optional<String> votedFor, String storageId, boolean voter) {

  /** Returns this state with the given term and the vote cast in it. */
  public HardState withVote(long newTerm, Optional<String> vote) {
    return new HardState(newTerm, vote, storageId, voter);
  }

  /** Returns this state with the voter flag set. */
  public HardState asVoter() {
    return new HardState(term, votedFor, storageId, true);
  }
}
