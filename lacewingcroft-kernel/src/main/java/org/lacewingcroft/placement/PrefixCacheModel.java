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
final class PrefixCacheModel {
  /** Share of the KV cache available for prefixes; running requests need the rest. */
  private static final double USABLE_SHARE = 0.6;

  private final Map<String, Long> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;

  /** Returns the estimated number of the prompt's leading tokens that are cached. */
  long cachedTokensOf(List<PromptPart> parts) {
    long cached = 0;
    for (PromptPart part : parts) {
      if (!tokensByPart.containsKey(part.id())) {
        break;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /** Adds the parts of a prompt that the endpoint prefills. */
  void add(List<PromptPart> parts, long capacityTokens) {
    for (PromptPart part : parts) {
      Long previous = tokensByPart.put(part.id(), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    Iterator<Long> oldest = tokensByPart.values().iterator();
    while (cachedTokens > capacityTokens * USABLE_SHARE && oldest.hasNext()) {
      cachedTokens -= oldest.next();
      oldest.remove();
    }
  }
}
