package org.lacewingcroft.placement;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * What placement needs to know of a request.
 *
 * @param service the service that shall run it
 * @param priority its rank, 0 the most urgent
 * @param promptTokens the length of its prompt; 0 for a plain service
 * @param expectedOutputTokens how many tokens its answer is expected to have; 0 for a plain service
 * @param parts the prompt's parts, as far as the caller named them
 * @param firstByteObjective the time to the first byte of the answer that the caller wants
 * @param remaining what is left of its deadline
 * @param excludedEndpoints endpoints not to be tried (again)
 */
public record PlacementRequest(
    String service,
    int priority,
    long promptTokens,
    long expectedOutputTokens,
    List<PromptPart> parts,
    Duration firstByteObjective,
    Duration remaining,
    Set<String> excludedEndpoints) {

  /** Copies the collections so the request is immutable. */
  public PlacementRequest {
    parts = List.copyOf(parts);
    excludedEndpoints = Set.copyOf(excludedEndpoints);
  }

  /** Returns the parts that the prompt shares with others: all but the last. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns a key that requests with the same shared parts (all but the last) have in common. */
  public String sharedKey() {
    return keyOf(sharedParts());
  }

  /** Returns a key of some leading parts. */
  public static String keyOf(List<PromptPart> parts) {
    StringBuilder key = new StringBuilder();
    for (PromptPart part : parts) {
      key.append(part.id()).append('/');
    }
    return key.toString();
  }

  /** Returns the length of what the prompt shares with others: all parts but the last. */
  public long sharedTokens() {
    long shared = 0;
    for (PromptPart part : sharedParts()) {
      shared += part.tokens();
    }
    return Math.min(shared, promptTokens);
  }
}
