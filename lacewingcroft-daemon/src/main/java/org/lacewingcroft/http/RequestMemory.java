package org.lacewingcroft.http;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Bounds the memory that a process holds for the requests on all of its connections, and the number
 * of these connections. Each request is within the limits of one request, but many at the same time
 * could exhaust the heap, and many connections the file descriptors.
 *
 * <p>If the bound of the memory is exceeded, the requests that are not complete are ended, the
 * largest first and the oldest of equal ones, so that small requests are served beside a crowd of
 * large ones. If this is not enough, connections are closed on which requests wait behind another
 * one. Other complete requests are kept until they have their response. Requests that are large may
 * use only a part of the memory, so that some is left for others while large ones are complete.
 *
 * <p>If there are too many connections, some are closed: first those that have never had a request,
 * then those that have been without one for longest, then those of incomplete requests, the oldest
 * connection first. If all requests are complete, the new connection is closed.
 *
 * <p>Confined to the event loop thread.
 */
public final class RequestMemory {
  /** Retry delay of a request that was ended because of the bound. */
  public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** Size of the heap divided by the bound. */
  private static final int HEAP_PER_BOUND = 3;

  /** Size of a request above which it is large. */
  private static final long LARGE_REQUEST_BYTES = 64 << 10;

  /** Part of the memory that large requests may use. */
  private static final double LARGE_REQUEST_SHARE = 0.75;

  /** Part of a bound to which the memory is reduced, so that this is not repeated at each byte. */
  private static final double REDUCED_SHARE = 0.9;

  /** Part of the file descriptors that connections may use. */
  private static final double CONNECTION_SHARE = 0.75;

  private final long maxBytes;
  private final long maxLargeBytes;
  private final int maxConnections;
  private final Observer observer;
  private final Set<RequestAccount> accounts = new LinkedHashSet<>();
  private long totalBytes;
  private long uses;

  /** Observes the requests that are ended and the connections that are closed. */
  public interface Observer {
    /**
     * Called when a request is ended because of the bound.
     *
     * @param heldBytes what was held for it
     */
    void onEnded(long heldBytes);

    /**
     * Called when connections are closed because there are too many.
     *
     * @param closed how many are closed
     */
    default void onConnectionsClosed(int closed) {}
  }

  /**
   * Creates the memory of a process without requests that has no bound for its connections.
   *
   * @param maxHeapBytes the maximum size of the heap, of which requests use a part
   */
  public RequestMemory(long maxHeapBytes, Observer observer) {
    this(maxHeapBytes, Long.MAX_VALUE, observer);
  }

  /**
   * Creates the memory of a process without requests.
   *
   * @param maxHeapBytes the maximum size of the heap, of which requests use a part
   * @param maxDescriptors how many files and connections the process may have open, of which the
   *     connections of clients use a part
   */
  public RequestMemory(long maxHeapBytes, long maxDescriptors, Observer observer) {
    this.maxConnections = (int) Math.min(Integer.MAX_VALUE, maxDescriptors * CONNECTION_SHARE);
    this.maxBytes = maxHeapBytes / HEAP_PER_BOUND;
    this.maxLargeBytes = Math.round(maxBytes * LARGE_REQUEST_SHARE);
    this.observer = observer;
  }

  /** Returns what is held for all requests. */
  public long totalBytes() {
    return totalBytes;
  }

  void add(RequestAccount account) {
    accounts.add(account);
    if (accounts.size() > maxConnections) {
      closeConnections(account);
    }
  }

  private void closeConnections(RequestAccount newest) {
    Stream<RequestAccount> idle =
        accounts.stream()
            .filter(account -> account != newest && account.isIdle())
            .sorted(
                Comparator.comparing(RequestAccount::hadRequest)
                    .thenComparingLong(RequestAccount::idleSinceUse));
    Stream<RequestAccount> incomplete = accounts.stream().filter(RequestAccount::isIncomplete);
    List<RequestAccount> unneeded =
        Stream.concat(idle, incomplete)
            .limit(accounts.size() - Math.round(maxConnections * REDUCED_SHARE))
            .toList();
    observer.onConnectionsClosed(Math.max(1, unneeded.size()));
    unneeded.forEach(RequestAccount::end);
    if (unneeded.isEmpty()) {
      newest.endAfterInstallation();
    }
  }

  /** Returns the number of this use, by which the connections' last uses are ordered. */
  long nextUse() {
    return uses++;
  }

  void remove(RequestAccount account) {
    accounts.remove(account);
  }

  /** Charges an account, and ends incomplete requests if a bound is exceeded. */
  void charge(RequestAccount account, long bytes) {
    totalBytes += bytes;
    if (isLarge(account) && totalBytes > maxLargeBytes) {
      reduce(maxLargeBytes, accounts.stream().filter(RequestMemory::isLarge).toList());
    }
    if (totalBytes > maxBytes) {
      reduce(maxBytes, List.copyOf(accounts));
    }
  }

  void release(long bytes) {
    totalBytes -= bytes;
  }

  private static boolean isLarge(RequestAccount account) {
    return account.heldBytes() > LARGE_REQUEST_BYTES;
  }

  private void reduce(long bound, List<RequestAccount> candidates) {
    reduce(bound, candidates, RequestAccount::isIncomplete);
    reduce(bound, candidates, RequestAccount::isPipelined);
  }

  private void reduce(
      long bound, List<RequestAccount> candidates, Predicate<RequestAccount> condition) {
    List<RequestAccount> largestFirst =
        candidates.stream()
            .filter(condition)
            .sorted(Comparator.comparingLong(RequestAccount::heldBytes).reversed())
            .toList();
    for (RequestAccount account : largestFirst) {
      if (totalBytes <= bound * REDUCED_SHARE) {
        return;
      }
      observer.onEnded(account.heldBytes());
      account.end();
    }
  }
}
