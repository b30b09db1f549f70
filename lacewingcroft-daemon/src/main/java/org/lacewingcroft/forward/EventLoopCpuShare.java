package org.lacewingcroft.forward;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.DoubleSupplier;

/**
 * The share of the event loop in use since the previous call: the processor time of its thread, as
 * a share of the time that the machine's capacity permits. Calls must be made on the event loop.
 */
final class EventLoopCpuShare implements DoubleSupplier {
  /** Minimum period to measure; a shorter one repeats the previous result. */
  private static final long MIN_PERIOD_NANOS = 400_000_000;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final double cores;
  private long lastNanos;
  private long lastCpuNanos;
  private double share;

  /**
   * Creates a measurement.
   *
   * @param cores processor cores of the machine; one thread uses at most one of them
   */
  EventLoopCpuShare(double cores) {
    this.cores = Math.min(1, cores);
  }

  @Override
  public double getAsDouble() {
    long nanos = System.nanoTime();
    if (nanos - lastNanos >= MIN_PERIOD_NANOS || lastNanos == 0) {
      long cpuNanos = threads.getCurrentThreadCpuTime();
      if (lastNanos != 0) {
        double current = (cpuNanos - lastCpuNanos) / ((nanos - lastNanos) * cores);
        // The mean of two periods of 500 ms is the average over about one second.
        share = Math.min(1, (share + Math.min(1, current)) / 2);
      }
      lastNanos = nanos;
      lastCpuNanos = cpuNanos;
    }
    return share;
  }
}
