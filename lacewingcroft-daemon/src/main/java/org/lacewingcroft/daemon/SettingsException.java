package org.lacewingcroft.daemon;

/**
 * Thrown if a setting is missing or wrong; the message names the flag, its variable and a remedy.
 */
public class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param flag the flag, such as {@code --region}
   * @param environment the environment variable that may set it instead
   * @param problem what is wrong with the value
   * @param remedy how to correct it
   */
  public SettingsException(String flag, String environment, String problem, String remedy) {
    super(flag + " (or $" + environment + "): " + problem + "; " + remedy);
  }
}
