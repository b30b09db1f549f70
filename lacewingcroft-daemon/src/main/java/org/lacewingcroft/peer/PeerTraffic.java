package org.lacewingcroft.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages between instances, their bytes and the time spent on processing them, by kind of
 * message. Shows which kind of message loads the processor or the link of an instance.
 */
public final class PeerTraffic {
  private final Map<Class<?>, Counters> countersByKind = new ConcurrentHashMap<>();

  private static final class Counters {
    private final LongAdder sent = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder workNanos = new LongAdder();
  }

  /**
   * The totals of one kind of message.
   *
   * @param sent messages sent, counted once per receiver
   * @param sentBytes bytes of the sent messages, including frame overhead
   * @param received messages received
   * @param receivedBytes bytes of the received messages
   * @param workNanos time spent on encoding, decoding and handling, in nanoseconds
   */
  public record Totals(
      long sent, long sentBytes, long received, long receivedBytes, long workNanos) {}

  /** Records a message sent to a number of receivers. */
  void recordSent(PeerMessage message, int receivers, int frameBytes, long encodeNanos) {
    Counters counters = countersOf(message);
    counters.sent.add(receivers);
    counters.sentBytes.add((long) receivers * frameBytes);
    counters.workNanos.add(encodeNanos);
  }

  /** Records a received message. */
  void recordReceived(PeerMessage message, int bytes, long decodeNanos) {
    Counters counters = countersOf(message);
    counters.received.increment();
    counters.receivedBytes.add(bytes);
    counters.workNanos.add(decodeNanos);
  }

  /** Records the time spent on handling a message. */
  public void recordHandling(PeerMessage message, long nanos) {
    countersOf(message).workNanos.add(nanos);
  }

  private Counters countersOf(PeerMessage message) {
    Object kind = message instanceof PeerMessage.Fleet fleet ? fleet.message() : message;
    return countersByKind.computeIfAbsent(kind.getClass(), k -> new Counters());
  }

  /** Returns the totals by kind, which is the simple class name of the message. */
  public Map<String, Totals> totals() {
    Map<String, Totals> totals = new TreeMap<>();
    countersByKind.forEach(
        (kind, counters) ->
            totals.put(
                kind.getSimpleName(),
                new Totals(
                    counters.sent.sum(),
                    counters.sentBytes.sum(),
                    counters.received.sum(),
                    counters.receivedBytes.sum(),
                    counters.workNanos.sum())));
    return totals;
  }
}
