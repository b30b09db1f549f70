package org.lacewingcroft.routing;

import java.util.Map;

/**
 * The free capacity of another region, as reported in that region's digests.
 *
 * @param region the region's name
 * @param freeSlotsByModel the number of free slots that its endpoints reported, by model or service
 */
public record RegionSummary(String region, Map<String, Integer> freeSlotsByModel) {

  /** Copies the map so that the record is immutable. */
  public RegionSummary {
    freeSlotsByModel = Map.copyOf(freeSlotsByModel);
  }

  /** Returns the number of free slots for the model, 0 if the region does not serve it. */
  public int freeSlots(String model) {
    return freeSlotsByModel.getOrDefault(model, 0);
  }
}
