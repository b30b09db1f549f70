package org.lacewingcroft.daemon;

/** What a daemon does, from {@code --role}. */
public enum Role {
  /** Serves callers, takes endpoint announcements and routes requests. */
  ENTRY,
  /** Keeps the replicated configuration log on an instance with a disk. */
  CONTROL;

  /** Returns the role as written in flags and peer messages. */
  public String spelling() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
