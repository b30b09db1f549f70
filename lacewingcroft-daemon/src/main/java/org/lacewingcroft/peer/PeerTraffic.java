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
  private final Map<Class<?>, Row> rows = new ConcurrentHashMap<>();

  private static final class Row {
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
  void sent(PeerMessage message, int receivers, int frameBytes, long encodeNanos) {
    Row row = row(message);
    row.sent.add(receivers);
    row.sentBytes.add((long) receivers * frameBytes);
    row.workNanos.add(encodeNanos);
  }

  /** Records a received message. */
  void received(PeerMessage message, int bytes, long decodeNanos) {
    Row row = row(message);
    row.received.increment();
    row.receivedBytes.add(bytes);
    row.workNanos.add(decodeNanos);
  }

  /** Records the time spent on handling a message. */
  public void handled(PeerMessage message, long nanos) {
    row(message).workNanos.add(nanos);
  }

  private Row row(PeerMessage message) {
    Object kind = message instanceof PeerMessage.Fleet fleet ? fleet.message() : message;
    return rows.computeIfAbsent(kind.getClass(), k -> new Row());
  }

  /** Returns the totals by kind, which is the simple class name of the message. */
  public Map<String, Totals> totals() {
    Map<String, Totals> totals = new TreeMap<>();
    rows.forEach(
        (kind, row) ->
            totals.put(
                kind.getSimpleName(),
                new Totals(
                    row.sent.sum(),
                    row.sentBytes.sum(),
                    row.received.sum(),
                    row.receivedBytes.sum(),
                    row.workNanos.sum())));
    return totals;
  }
}
