package org.lacewingcroft.daemon;

/** A setting from a flag or environment variable is missing or wrong; names flag and remedy. */
public class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param flag the flag, such as {@code --region}
   * @param environment the environment variable that may set it instead
   * @param problem what is wrong
   * @param remedy what to set instead
   */
  public SettingsException(String flag, String environment, String problem, String remedy) {
    super(flag + " (or $" + environment + "): " + problem + "; " + remedy);
  }
}
