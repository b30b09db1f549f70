package org.lacewingcroft.control;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Stored data of a control group member that cannot be used, although it had been synced. The files
 * are left unchanged.
 */
public final class UnreadableStorageException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Why the data cannot be used. */
  public enum Kind {
    /** Synced data is missing or changed. */
    DAMAGED,
    /** A record is intact and cannot be decoded: a newer build may have written it. */
    UNKNOWN_FORMAT
  }

  private final Kind kind;

  private UnreadableStorageException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  static UnreadableStorageException damaged(Path file, String detail) {
    return new UnreadableStorageException(
        Kind.DAMAGED, file.getFileName() + " is damaged: " + detail, null);
  }

  static UnreadableStorageException unknownFormat(Path file, Throwable cause) {
    return new UnreadableStorageException(
        Kind.UNKNOWN_FORMAT,
        file.getFileName()
            + " has an intact record that this build cannot decode; start the build that wrote it",
        cause);
  }

  /** Returns why the data cannot be used. */
  public Kind kind() {
    return kind;
  }
}
