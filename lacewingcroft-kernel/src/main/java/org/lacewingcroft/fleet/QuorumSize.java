package org.lacewingcroft.fleet;

import java.util.Set;

/** Computes how many members must confirm a record so that a quorum has it. */
public final class QuorumSize {
  private QuorumSize() {}

  /**
   * Returns the number of members other than an instance that must confirm a record that it holds.
   *
   * @param members the group's members
   * @param self the instance, which counts towards the quorum only if it is a member
   */
  public static int requiredConfirmations(Set<String> members, String self) {
    int quorum = members.size() / 2 + 1;
    return members.contains(self) ? quorum - 1 : quorum;
  }
}
