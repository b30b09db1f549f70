package org.lacewingcroft.fleet;

import java.util.Set;

/** How many other members make a majority know what one instance knows. */
public final class MajorityCount {
  private MajorityCount() {}

  /**
   * Returns how many members besides an instance must confirm something it knows.
   *
   * @param members the group's members
   * @param self the instance, which may stand by without being a member; it does not count then
   */
  public static int othersNeeded(Set<String> members, String self) {
    int majority = members.size() / 2 + 1;
    return members.contains(self) ? majority - 1 : majority;
  }
}
