package org.lacewingcroft.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.text.MessageFormat;
import java.time.Instant;
import java.util.ResourceBundle;

/**
 * A {@link System.Logger} that writes one JSON object per line.
 *
 * <p>By convention, the message is the event name (such as {@code request.served}) and the
 * parameters are key-value pairs ({@code "request", id, "endpoint", e}); each pair becomes a field.
 * Every line begins with {@code ts}, {@code hlc}, {@code node}, {@code level} and {@code event} and
 * ends with {@code logger}, so that a line cut short still shows what happened.
 */
final class JsonLogger implements System.Logger {
  private static final JsonFactory JSON = new JsonFactory();
  private final String name;
  private final Level threshold;

  JsonLogger(String name, Level threshold) {
    this.name = name;
    this.threshold = threshold;
  }

  @Override
  public String getName() {
    return name;
  }

  @Override
  public boolean isLoggable(Level level) {
    return level.getSeverity() >= threshold.getSeverity();
  }

  @Override
  public void log(Level level, ResourceBundle bundle, String msg, Throwable thrown) {
    if (isLoggable(level)) {
      write(level, msg, new Object[0], thrown);
    }
  }

  @Override
  public void log(Level level, ResourceBundle bundle, String format, Object... params) {
    if (!isLoggable(level)) {
      return;
    }
    boolean hasPairs = params != null && params.length % 2 == 0 && !format.contains("{0");
    if (hasPairs) {
      write(level, format, params, null);
    } else {
      String text = params == null ? format : MessageFormat.format(format, params);
      write(level, text, new Object[0], null);
    }
  }

  private void write(Level level, String event, Object[] pairs, Throwable thrown) {
    StringWriter line = new StringWriter(256);
    try (JsonGenerator g = JSON.createGenerator(line)) {
      g.writeStartObject();
      g.writeStringField("ts", Instant.now().toString());
      g.writeStringField("hlc", LogContext.clock().tick());
      g.writeStringField("node", LogContext.nodeId());
      g.writeStringField("level", level.getName());
      g.writeStringField("event", event);
      for (int i = 0; i + 1 < pairs.length; i += 2) {
        g.writeStringField(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1]));
      }
      if (thrown != null) {
        g.writeStringField("error", thrown.toString());
      }
      g.writeStringField("logger", name);
      g.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing a log line into memory failed", e);
    }
    LogContext.write(level, line.toString());
  }
}
