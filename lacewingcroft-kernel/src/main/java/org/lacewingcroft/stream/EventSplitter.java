package org.lacewingcroft.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits an event stream into events, so that only complete events are forwarded: if the stream is
 * interrupted, another endpoint can generate the rest of it, starting after the last event that the
 * caller received.
 *
 * <p>An event ends with an empty line; its numeric id, if any, is in a line {@code id: N}.
 */
public final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream completed = new ByteArrayOutputStream();
  private final ByteArrayOutputStream current = new ByteArrayOutputStream();
  private final boolean resumable;
  private boolean lineEmpty = true;
  private OptionalLong lastId;

  private EventSplitter(boolean resumable, OptionalLong lastId) {
    this.resumable = resumable;
    this.lastId = lastId;
  }

  /**
   * Creates a splitter of a stream that may be resumed.
   *
   * @param lastId the id of the last event forwarded so far; events up to it are dropped
   */
  public EventSplitter(OptionalLong lastId) {
    this(true, lastId);
  }

  /** Creates a splitter of a stream that is not resumed: no event is dropped for its id. */
  public static EventSplitter ofStreamWithoutIds() {
    return new EventSplitter(false, OptionalLong.empty());
  }

  /**
   * Appends bytes of the stream.
   *
   * @return the bytes of the events that are now complete and not yet forwarded, possibly none
   */
  public byte[] append(byte[] bytes) {
    completed.reset();
    for (byte b : bytes) {
      current.write(b);
      if (b == '\n') {
        if (lineEmpty) {
          completeEvent();
        }
        lineEmpty = true;
      } else if (b != '\r') {
        lineEmpty = false;
      }
    }
    return completed.toByteArray();
  }

  private void completeEvent() {
    byte[] bytes = current.toByteArray();
    current.reset();
    OptionalLong id = resumable ? idOf(bytes) : OptionalLong.empty();
    boolean alreadyForwarded =
        id.isPresent() && lastId.isPresent() && id.getAsLong() <= lastId.getAsLong();
    if (!alreadyForwarded) {
      completed.writeBytes(bytes);
      lastId = id.isPresent() ? id : lastId;
    }
  }

  private static OptionalLong idOf(byte[] event) {
    Optional<String> id =
        new String(event, StandardCharsets.ISO_8859_1)
            .lines()
            .filter(l -> l.startsWith(ID_FIELD))
            .map(l -> l.substring(ID_FIELD.length()).trim())
            .findFirst();
    try {
      return id.isPresent() ? OptionalLong.of(Long.parseLong(id.get())) : OptionalLong.empty();
    } catch (NumberFormatException notNumeric) {
      return OptionalLong.empty();
    }
  }

  /** Returns the id of the last event forwarded. */
  public OptionalLong lastId() {
    return lastId;
  }

  /** Returns the number of bytes after the last complete event. */
  public int incompleteBytes() {
    return current.size();
  }

  /** Returns the bytes after the last complete event. */
  public byte[] incompleteEvent() {
    return current.toByteArray();
  }
}
