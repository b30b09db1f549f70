package org.lacewingcroft.logging;

/**
 * Provides a {@link JsonLogger} for every {@link System.Logger} of the process. Registered through
 * {@code META-INF/services/java.lang.System$LoggerFinder}.
 *
 * <p>The level is read from the environment variable {@code LWC_LOG_LEVEL} (default and fallback
 * for an invalid value: {@code INFO}).
 */
public final class JsonLoggerFinder extends System.LoggerFinder {
  private final System.Logger.Level threshold = levelFromEnvironment();

  @Override
  public System.Logger getLogger(String name, Module module) {
    return new JsonLogger(name, threshold);
  }

  private static System.Logger.Level levelFromEnvironment() {
    String value = System.getenv().getOrDefault("LWC_LOG_LEVEL", "INFO");
    try {
      return System.Logger.Level.valueOf(value.toUpperCase(java.util.Locale.ROOT));
    } catch (IllegalArgumentException e) {
      return System.Logger.Level.INFO;
    }
  }
}
