package org.lacewingcroft.gateway;

import org.lacewingcroft.idempotency.IdempotencyTable;

/** What the owner of an idempotency key found when it tried to claim the key for a request. */
sealed interface KeyAdmission {

  /** The key is claimed at every replica: run the request, once. */
  record Run() implements KeyAdmission {}

  /** The request was run before; this is its answer. */
  record Replay(IdempotencyTable.Entry record) implements KeyAdmission {}

  /** A request with the key is running now. */
  record InProgress() implements KeyAdmission {}

  /** A request with the key was dispatched before and its outcome is not known. */
  record OutcomeUnknown() implements KeyAdmission {}

  /**
   * The claim could not be confirmed; the request is not run.
   *
   * @param detail which replica is missing
   */
  record Unconfirmed(String detail) implements KeyAdmission {}
}
