package org.lacewingcroft.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how the membership of the control group changes: the group grows to its target size while
 * there are instances to add, and a permanently lost member is replaced with a standby instance.
 *
 * <p>Members are changed one at a time, and a member is added before another is removed, so that
 * the number of disks that store the log never decreases while a replacement is available. An
 * unresponsive member is removed only after its replacement has joined, so a network partition that
 * heals without a replacement changes nothing.
 *
 * @param targetSize the target number of members: twice the number of tolerated failures plus one
 * @param replaceAfterMillis time without a response, in milliseconds, after which a member may be
 *     replaced
 */
public record GroupPolicy(int targetSize, long replaceAfterMillis) {

  /** Returns the members after the next change, or empty if no change is needed. */
  public Optional<Set<String>> nextMembers(Set<String> members, List<FollowerView> followers) {
    List<FollowerView> unresponsive =
        followers.stream()
            .filter(f -> members.contains(f.id()) && f.sinceResponseMillis() >= replaceAfterMillis)
            .sorted(Comparator.comparingLong(FollowerView::sinceResponseMillis).reversed())
            .toList();
    if (members.size() > targetSize && !unresponsive.isEmpty()) {
      Set<String> reduced = new TreeSet<>(members);
      reduced.remove(unresponsive.get(0).id());
      return Optional.of(reduced);
    }
    boolean needsMember =
        members.size() < targetSize || members.size() == targetSize && !unresponsive.isEmpty();
    if (!needsMember) {
      return Optional.empty();
    }
    return followers.stream()
        .filter(f -> !members.contains(f.id()) && f.voter() && f.caughtUp())
        .filter(f -> f.sinceResponseMillis() < replaceAfterMillis)
        .min(Comparator.comparing(FollowerView::id))
        .map(
            f -> {
              Set<String> extended = new TreeSet<>(members);
              extended.add(f.id());
              return extended;
            });
  }
}
