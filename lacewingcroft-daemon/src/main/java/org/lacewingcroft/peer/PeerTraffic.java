package org.lacewingcroft.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * What the messages between instances cost, by kind: how many, how many bytes, and the time spent
 * on them. It tells which kind of message fills an instance's processor or link.
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
   * @param sent messages sent, each receiver counted
   * @param sentBytes their bytes, frames included
   * @param received messages received
   * @param receivedBytes their bytes
   * @param workNanos time spent on encoding, decoding and handling them
   */
  public record Totals(
      long sent, long sentBytes, long received, long receivedBytes, long workNanos) {}

  /** Counts a message sent to some receivers. */
  void sent(PeerMessage message, int receivers, int frameBytes, long encodeNanos) {
    Row row = row(message);
    row.sent.add(receivers);
    row.sentBytes.add((long) receivers * frameBytes);
    row.workNanos.add(encodeNanos);
  }

  /** Counts a message received. */
  void received(PeerMessage message, int bytes, long decodeNanos) {
    Row row = row(message);
    row.received.increment();
    row.receivedBytes.add(bytes);
    row.workNanos.add(decodeNanos);
  }

  /** Adds the time that was spent on handling a message. */
  public void recordHandling(PeerMessage message, long nanos) {
    row(message).workNanos.add(nanos);
  }

  private Row row(PeerMessage message) {
    Object kind = message instanceof PeerMessage.Fleet fleet ? fleet.message() : message;
    return rows.computeIfAbsent(kind.getClass(), k -> new Row());
  }

  /** Returns the totals by kind. */
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
