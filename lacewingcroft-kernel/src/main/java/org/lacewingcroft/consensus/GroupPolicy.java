package org.lacewingcroft.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how the membership of the control group changes: the group grows to its target size while there are instances to add, and a permanently lost member is replaced by a standby instance.
 *
 * <p>Members are changed one at a time, and a member is added before another is removed, so that the group never has fewer disks than before while a replacement is available. An unresponsive member is removed only after its replacement has joined, so a network partition that heals without a replacement changes nothing.
 *
 * @param targetSize the target number of members: twice the number of tolerated failures plus one
 * @param replaceAfterMillis time without a response, in milliseconds, after which a member may be replaced
 */
public record GroupPolicy(int targetSize, long replaceAfterMillis) {

  /**
   * Returns the members after the next change, or empty if no change is needed.
   */
  public Optional<Set<String>> next(Set<String> members, List<FollowerView> followers) {
    List<FollowerView> silent =
        followers.stream()
            .filter(f -> members.contains(f.id()) && f.silentMillis() >= replaceAfterMillis)
            .sorted(Comparator.comparingLong(FollowerView::silentMillis).reversed())
            .toList();
    if (members.size() > targetSize && !silent.isEmpty()) {
      Set<String> fewer = new TreeSet<>(members);
      fewer.remove(silent.get(0).id());
      return Optional.of(fewer);
    }
    boolean wanted =
        members.size() < targetSize || members.size() == targetSize && !silent.isEmpty();
    if (!wanted) {
      return Optional.empty();
    }
    return followers.stream()
        .filter(f -> !members.contains(f.id()) && f.voter() && f.caughtUp())
        .filter(f -> f.silentMillis() < replaceAfterMillis)
        .min(Comparator.comparing(FollowerView::id))
        .map(
            f -> {
              Set<String> more = new TreeSet<>(members);
              more.add(f.id());
              return more;
            });
  }
}
