package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.lacewingcroft.fleet.EntryCapacity;
import org.lacewingcroft.fleet.EntryPressure;

/**
 * Measures how much of an entry's capacity is in use. It has no timer of its own: it measures when
 * it is asked, about twice a second.
 *
 * <p>Confined to the event loop thread.
 */
final class PressureMeter implements Supplier<EntryPressure> {
  /** Period over which the link is averaged. */
  private static final Duration AVERAGING_PERIOD = Duration.ofSeconds(1);

  /** Descriptors of a process without HTTP connections: files, listeners, peer connections. */
  private static final int BASE_FILE_DESCRIPTORS = 200;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EntryCapacity capacity;
  private final LinkTraffic traffic;
  private final DoubleSupplier eventLoop;
  private final IntSupplier inFlight;
  private final InstantSource clock;
  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(Instant at, long receivedBytes, long sentBytes) {}

  PressureMeter(
      EntryCapacity capacity,
      LinkTraffic traffic,
      DoubleSupplier eventLoop,
      IntSupplier inFlight,
      InstantSource clock) {
    this.capacity = capacity;
    this.traffic = traffic;
    this.eventLoop = eventLoop;
    this.inFlight = inFlight;
    this.clock = clock;
  }

  @Override
  public EntryPressure get() {
    double descriptors = BASE_FILE_DESCRIPTORS + traffic.openConnections();
    return new EntryPressure(
        eventLoop.getAsDouble(),
        linkShare(),
        Math.min(1, descriptors / capacity.fileDescriptors()),
        inFlight.getAsInt());
  }

  private double linkShare() {
    Sample current = new Sample(clock.instant(), traffic.receivedBytes(), traffic.sentBytes());
    Instant periodStart = current.at().minus(AVERAGING_PERIOD);
    while (samples.size() > 1 && samples.peekFirst().at().isBefore(periodStart)) {
      samples.removeFirst();
    }
    samples.addLast(current);
    Sample first = samples.peekFirst();
    double seconds = Duration.between(first.at(), current.at()).toMillis() / MILLIS_PER_SECOND;
    if (seconds <= 0) {
      return 0;
    }
    long busierDirection =
        Math.max(
            current.receivedBytes() - first.receivedBytes(),
            current.sentBytes() - first.sentBytes());
    return Math.min(1, busierDirection / (seconds * capacity.linkBytesPerSecond()));
  }
}
