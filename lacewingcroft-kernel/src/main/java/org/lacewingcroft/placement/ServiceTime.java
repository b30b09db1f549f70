package org.lacewingcroft.placement;

import java.util.OptionalDouble;

/**
 * Averages the time from sending a request to the end of its response, and the part of it in which
 * the request occupied a slot, which excludes its wait for the slot. An estimate of waits from the
 * whole time would count the wait twice and grow with each queue.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class ServiceTime {
  /** Service time of a request at a plain service, assumed before the first measurement. */
  private static final double INITIAL_MILLIS = 30;

  /** Weight of a new sample, which covers about ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private final PaceReference pace = new PaceReference();
  private double totalMillis = INITIAL_MILLIS;
  private double slotMillis = INITIAL_MILLIS;
  private int sampleCount;

  /**
   * Adds a sample.
   *
   * @param millis the time from sending the request to the end of the response
   * @param queuedPerSlot how many requests per slot were estimated to be queued before it
   * @param currentPace the endpoint's pace, if reported
   */
  void addSample(double millis, double queuedPerSlot, OptionalDouble currentPace) {
    totalMillis += SAMPLE_WEIGHT * (millis - totalMillis);
    sampleCount++;
    // The first samples count in full: an entry may send an endpoint only one request in some
    // seconds, and the initial value is a fortieth of an engine's response.
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / sampleCount);
    slotMillis += weight * (millis / (1 + queuedPerSlot) - slotMillis);
    pace.addSample(currentPace, weight);
  }

  /** Returns the time including the wait for a slot, in ms. */
  double totalMillis() {
    return totalMillis;
  }

  /** Returns the time in a slot at the endpoint's current pace, in ms. */
  double slotMillis(OptionalDouble currentPace) {
    return slotMillis * pace.factor(currentPace);
  }
}
