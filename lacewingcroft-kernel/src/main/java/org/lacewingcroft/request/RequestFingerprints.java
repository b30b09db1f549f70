package org.lacewingcroft.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The fingerprints of what may make a request crash the endpoints that run it: its whole content,
 * and the parts of its prompt that other requests may have in common with it.
 *
 * @param content the fingerprint of the content, the same whenever the request is repeated
 * @param promptParts the fingerprints of the shared prompt parts, without duplicates, in prompt
 *     order
 */
public record RequestFingerprints(
    RequestFingerprint content, List<RequestFingerprint> promptParts) {
  /** Maximum number of prompt parts of a request that are identified. */
  static final int MAX_PROMPT_PARTS = 32;

  /** Copies the list so that the fingerprints are immutable. */
  public RequestFingerprints {
    promptParts = List.copyOf(promptParts);
  }

  /** Returns the fingerprints of a request without a divided prompt. */
  public static RequestFingerprints ofContent(RequestFingerprint content) {
    return new RequestFingerprints(content, List.of());
  }

  /**
   * Returns the fingerprints of a request. The last part of the prompt belongs to this request or
   * its session and is not identified by itself.
   *
   * @param promptPartIds the ids of all parts of the prompt, in prompt order
   */
  public static RequestFingerprints of(RequestFingerprint content, List<String> promptPartIds) {
    List<String> shared = promptPartIds.subList(0, Math.max(0, promptPartIds.size() - 1));
    return new RequestFingerprints(
        content,
        shared.stream()
            .distinct()
            .limit(MAX_PROMPT_PARTS)
            .map(RequestFingerprint::ofPromptPart)
            .toList());
  }

  /** Returns the fingerprint of the content and those of the prompt parts. */
  public List<RequestFingerprint> all() {
    List<RequestFingerprint> all = new ArrayList<>(promptParts.size() + 1);
    all.add(content);
    all.addAll(promptParts);
    return all;
  }

  /** Returns the fingerprints of the prompt parts as text, separated by spaces. */
  public String promptPartsText() {
    return promptParts.stream().map(RequestFingerprint::toString).collect(Collectors.joining(" "));
  }
}
