package org.lacewingcroft.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how the control group changes: it grows to its target size while there are instances to
 * add, and an instance lost for good is replaced by one that stands by.
 *
 * <p>One change at a time, adding before removing, so that the group never has fewer disks than
 * before while a replacement is at hand. A silent member is removed only once a replacement is in:
 * a cut that heals by itself costs nothing.
 *
 * @param targetSize how many members the group shall have: twice the tolerated losses plus one
 * @param replaceAfterMillis silence after which a member may be replaced
 */
public record GroupPolicy(int targetSize, long replaceAfterMillis) {

  /** Returns the members after the next change, or empty if the group shall stay as it is. */
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
