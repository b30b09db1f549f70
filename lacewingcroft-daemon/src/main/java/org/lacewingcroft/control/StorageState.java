package org.lacewingcroft.control;

import java.util.Locale;

/** Whether a control group member can use its data folder. */
public enum StorageState {
  /** The folder is being opened for the first time; the disk may not respond. */
  OPENING,
  /** The member runs on its data folder. */
  OPEN,
  /** A read, write or sync, or a step of the member failed; it is opened again at intervals. */
  FAILED,
  /** Synced data is damaged; the instance rejoins once the group has a quorum without it. */
  DAMAGED,
  /** A record cannot be decoded by this build; the files are kept for a build that can. */
  UNKNOWN_FORMAT;

  /** Returns the name that is shown to operators, in metrics and in responses. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  static StorageState after(Throwable cause) {
    if (cause instanceof UnreadableStorageException unreadable) {
      return switch (unreadable.kind()) {
        case DAMAGED -> DAMAGED;
        case UNKNOWN_FORMAT -> UNKNOWN_FORMAT;
      };
    }
    return FAILED;
  }
}
