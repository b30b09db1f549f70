package org.lacewingcroft.daemon;

/** The role of a daemon, as set by {@code --role}. */
public enum Role {
  /** Accepts requests of callers and announcements of endpoints, and routes the requests. */
  ENTRY,
  /** Stores the replicated configuration log on an instance with a disk. */
  CONTROL;

  /** Returns the name of the role in flags, peer messages and log lines. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
