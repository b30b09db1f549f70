package org.lacewingcroft.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of the requests that a server has refused on a connection. A server may send a copy of a
 * refusal late. If the request was sent again on the same connection, the id in the copy is that of
 * the request in progress, so that it does not show which send was refused.
 *
 * <p>Ids are kept as hashes, so that their size does not matter. An id with the hash of another one
 * counts as refused too, which costs a connection.
 *
 * <p>Thread-safe.
 */
final class RefusedRequests {
  /** Number of ids that are kept. */
  static final int CAPACITY = 128;

  private final Set<Integer> hashes = ConcurrentHashMap.newKeySet();

  /** Adds the id of a request that was refused. */
  void add(String requestId) {
    hashes.add(requestId.hashCode());
  }

  /** Returns whether a request was refused; may be true for one that was not. */
  boolean contains(String requestId) {
    return hashes.contains(requestId.hashCode());
  }

  /** Returns whether no other id should be added. */
  boolean isFull() {
    return hashes.size() >= CAPACITY;
  }
}
