package org.lacewingcroft.consensus;

import java.util.Optional;

/**
 * What a member must not forget between restarts besides its log.
 *
 * @param term the highest term it has seen
 * @param votedFor whom it voted for in that term, if anyone
 * @param storageId the id of its data folder, made when the folder was first used
 * @param voter whether it may vote and its acknowledgements count; false for a data folder made
 *     after the deployment's first start until the log readmits it
 */
public record HardState(long term, Optional<String> votedFor, String storageId, boolean voter) {

  /** Returns this state in another term, with the vote given in it. */
  public HardState withVote(long newTerm, Optional<String> vote) {
    return new HardState(newTerm, vote, storageId, voter);
  }

  /** Returns this state as a voter. */
  public HardState asVoter() {
    return new HardState(term, votedFor, storageId, true);
  }
}
