package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import java.util.List;
import org.lacewingcroft.placement.PromptPart;

/** Asks an endpoint which parts of prompts its KV cache holds. */
public interface PrefixListing {
  /**
   * Asks one endpoint.
   *
   * @param address where it listens, {@code ip:port}
   * @return the parts, in any order; fails if it does not answer
   */
  Future<List<PromptPart>> list(String address);
}
