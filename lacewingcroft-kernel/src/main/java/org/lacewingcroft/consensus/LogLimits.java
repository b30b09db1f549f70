package org.lacewingcroft.consensus;

/**
 * Limits of a member's log and of the messages that replicate it. Sizes are those of encoded
 * entries, in bytes.
 *
 * @param compactAfterEntries number of entries after the snapshot at which the log is compacted
 * @param compactAfterBytes size of the committed entries after the snapshot at which the log is
 *     compacted
 * @param maxUncommittedBytes size of the uncommitted entries at which a leader accepts no more
 *     changes until some are committed
 * @param maxBatchEntries maximum number of entries in one message
 * @param maxBatchBytes maximum size of the entries in one message, unless the first entry alone
 *     exceeds it
 */
public record LogLimits(
    int compactAfterEntries,
    long compactAfterBytes,
    long maxUncommittedBytes,
    int maxBatchEntries,
    long maxBatchBytes) {

  /**
   * Maximum size of a document or patch of an operator, in bytes of UTF-8. Larger ones are rejected
   * before they are proposed.
   */
  public static final int MAX_DOCUMENT_BYTES = 1 << 20;

  /** The limits of a daemon. */
  public static final LogLimits DEFAULT = new LogLimits(256, 4 << 20, 4 << 20, 64, 512 << 10);
}
