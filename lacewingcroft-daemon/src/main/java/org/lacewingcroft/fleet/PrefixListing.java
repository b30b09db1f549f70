package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import java.util.List;
import org.lacewingcroft.placement.PromptPart;

/** Lists the prompt parts that an endpoint's KV cache contains. */
public interface PrefixListing {
  /**
   * Requests the list from one endpoint.
   *
   * @param address its listen address, {@code ip:port}
   * @return the parts, in any order; fails if the endpoint does not respond
   */
  Future<List<PromptPart>> list(String address);
}
