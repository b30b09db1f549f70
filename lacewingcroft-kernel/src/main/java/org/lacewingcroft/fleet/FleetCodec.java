package org.lacewingcroft.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** The MessagePack form of {@link FleetMessage}: records as arrays behind a type tag. */
public final class FleetCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  private FleetCodec() {}

  /** Returns the bytes of a message. */
  public static byte[] encode(FleetMessage message) throws IOException {
    return MAPPER.writerFor(FleetMessage.class).writeValueAsBytes(message);
  }

  /**
   * Reads a message.
   *
   * @throws IOException if the bytes are not a known message
   */
  public static FleetMessage decode(byte[] bytes) throws IOException {
    return MAPPER.readValue(bytes, FleetMessage.class);
  }
}
