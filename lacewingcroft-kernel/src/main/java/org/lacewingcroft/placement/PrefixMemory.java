package org.lacewingcroft.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which parts of prompts an endpoint holds in its KV cache, from the prompts sent to it.
 * A part counts only if all parts before it are cached too; the least recently used parts are
 * evicted once they exceed the capacity.
 */
final class PrefixMemory {
  /** Share of the KV cache available for prefixes; running requests need the rest. */
  private static final double USABLE_SHARE = 0.6;

  private final Map<String, Long> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long heldTokens;

  /** Returns the estimated number of the prompt's leading tokens that are cached. */
  long heldTokensOf(List<PromptPart> parts) {
    long held = 0;
    for (PromptPart part : parts) {
      if (!tokensByPart.containsKey(part.id())) {
        break;
      }
      held += part.tokens();
    }
    return held;
  }

  /** Records that the endpoint prefills a prompt. */
  void read(List<PromptPart> parts, long capacityTokens) {
    for (PromptPart part : parts) {
      Long before = tokensByPart.put(part.id(), part.tokens());
      heldTokens += part.tokens() - (before == null ? 0 : before);
    }
    Iterator<Long> oldest = tokensByPart.values().iterator();
    while (heldTokens > capacityTokens * USABLE_SHARE && oldest.hasNext()) {
      heldTokens -= oldest.next();
      oldest.remove();
    }
  }
}
