package org.lacewingcroft.placement;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The properties of a request that placement depends on.
 *
 * @param service the service that runs it
 * @param priority its priority, 0 the most urgent
 * @param promptTokens the length of its prompt; 0 for a plain service
 * @param expectedOutputTokens the estimated length of its response; 0 for a plain service
 * @param parts the prompt's parts, as far as the caller identified them
 * @param firstByteObjective the caller's objective for the time to the first byte of the response
 * @param remaining the remaining time until its deadline
 * @param excludedEndpoints ids of endpoints to which the request must not be sent, or not again
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

  /** Copies the collections, so that the request is immutable. */
  public PlacementRequest {
    parts = List.copyOf(parts);
    excludedEndpoints = Set.copyOf(excludedEndpoints);
  }

  /** Returns the parts that the prompt shares with others: all but the last. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns a key that is equal for requests with the same shared parts. */
  public String sharedKey() {
    return keyOf(sharedParts());
  }

  /** Returns a key that identifies a list of parts. */
  public static String keyOf(List<PromptPart> parts) {
    StringBuilder key = new StringBuilder();
    for (PromptPart part : parts) {
      key.append(part.id()).append('/');
    }
    return key.toString();
  }

  /** Returns the number of tokens that the prompt shares with others: all parts but the last. */
  public long sharedTokens() {
    long shared = 0;
    for (PromptPart part : sharedParts()) {
      shared += part.tokens();
    }
    return Math.min(shared, promptTokens);
  }
}
