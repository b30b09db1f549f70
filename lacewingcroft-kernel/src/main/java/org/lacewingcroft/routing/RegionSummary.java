package org.lacewingcroft.routing;

import java.util.Map;

/**
 * What a gateway knows of another region, from that region's heartbeats.
 *
 * @param region the region's name
 * @param freeSlotsByModel for each model or service, the free capacity its endpoints reported
 */
public record RegionSummary(String region, Map<String, Integer> freeSlotsByModel) {

  /** Copies the map so the summary is immutable. */
  public RegionSummary {
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }

  /** Returns the free capacity for the model, 0 if the region does not serve it. */
  public int freeSlots(String model) {
    return freeSlotsByModel.getOrDefault(model, 0);
  }
}
