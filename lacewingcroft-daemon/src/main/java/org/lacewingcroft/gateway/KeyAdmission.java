package org.lacewingcroft.gateway;

import org.lacewingcroft.idempotency.IdempotencyTable;

/** The result of the owner's attempt to claim an idempotency key for a request. */
sealed interface KeyAdmission {

  /** The key is claimed at every replica; the request is to be run, once. */
  record Run() implements KeyAdmission {}

  /**
   * The request was run before.
   *
   * @param record the record that holds its response
   */
  record Replay(IdempotencyTable.Entry record) implements KeyAdmission {}

  /** A request with the key is running now. */
  record InProgress() implements KeyAdmission {}

  /** A request with the key was dispatched before and its outcome is unknown. */
  record OutcomeUnknown() implements KeyAdmission {}

  /**
   * The claim could not be confirmed; the request is not run.
   *
   * @param detail the reason, such as the replicas that did not reply
   */
  record Unconfirmed(String detail) implements KeyAdmission {}
}
