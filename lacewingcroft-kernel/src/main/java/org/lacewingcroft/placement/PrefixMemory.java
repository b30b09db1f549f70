package org.lacewingcroft.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of prompts an endpoint is believed to hold in its KV cache, from what was sent there:
 * a part counts if all parts before it are held too, and the least recently used yield once they
 * exceed the capacity.
 */
final class PrefixMemory {
  /** Share of the KV cache counted on for prefixes: running requests need the rest. */
  private static final double USABLE_SHARE = 0.6;

  private final Map<String, Long> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long heldTokens;

  /** Returns how many of the prompt's leading tokens are believed to be held. */
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

  /** Notes that a prompt was read there. */
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
