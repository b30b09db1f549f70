package org.lacewingcroft.error;

/**
 * The kinds of failure that the gateway reports to callers, operators and peers.
 *
 * <p>Each kind has an HTTP status, a stable machine-readable code and the remedy that a caller or
 * operator should apply. The kind also indicates whether a request was run: {@link #NOT_RUN} and
 * the input errors guarantee that no endpoint received the request, while {@link #OUTCOME_UNKNOWN}
 * means that an endpoint may have run it.
 */
public enum ErrorKind {
  /** The request body or a header could not be parsed. */
  MALFORMED_REQUEST(400, "malformed_request", "send a JSON body that matches the documented shape"),
  /** The request names a model that no selector lists and no endpoint serves. */
  UNKNOWN_MODEL(404, "unknown_model", "use a model listed by 'lacewingcroft endpoints'"),
  /** The daemon has no resource at the path. */
  UNKNOWN_PATH(404, "unknown_path", "use a path of docs/OPERATIONS.md, such as GET /v1/models"),
  /** The residency names no region of this deployment. */
  UNKNOWN_REGION(400, "unknown_region", "name regions listed by GET /v1/entries"),
  /** The request body exceeds the configured maximum size. */
  PAYLOAD_TOO_LARGE(413, "payload_too_large", "shorten the prompt or raise --max-body-bytes"),
  /** No endpoint within the residency can serve the request; it was not run. */
  NOT_RUN(503, "not_run", "retry after the Retry-After delay; the request was not run"),
  /** The request reached an endpoint and its outcome is unknown. */
  OUTCOME_UNKNOWN(
      502,
      "outcome_unknown",
      "resend with the same Idempotency-Key to learn the outcome; do not send a new key"),
  /** A request with the same idempotency key is running; this resend was not run. */
  IN_PROGRESS(
      409, "in_progress", "resend with the same Idempotency-Key after the Retry-After delay"),
  /** Several endpoints crashed while they ran the same request content; it was not run again. */
  CONTENT_QUARANTINED(
      503,
      "content_quarantined",
      "do not resend this content before the Retry-After delay; the request was not run"),
  /** An operator named a request content that is not quarantined. */
  NOT_QUARANTINED(
      404,
      "not_quarantined",
      "name a fingerprint listed by 'lacewingcroft quarantine --server URL'"),
  /** The organisation exceeded its admission limit; the request was not run. */
  RATE_LIMITED(429, "rate_limited", "slow down and retry after the Retry-After delay"),
  /** A configuration change was based on a version other than the latest one. */
  VERSION_CONFLICT(409, "version_conflict", "fetch the current version and rebase the change"),
  /** A configuration document has an unknown key or an invalid value. */
  INVALID_CONFIGURATION(
      422, "invalid_configuration", "fix the named key; see docs/OPERATIONS.md#selectors"),
  /** The control instances have no quorum; the change was not accepted. */
  NO_QUORUM(503, "no_quorum", "retry later; the change was not accepted"),
  /** No quorum confirmed the change in time; it may or may not have been accepted. */
  CHANGE_UNKNOWN(
      504,
      "change_unknown",
      "resend the change with the same X-Change-Id to any control daemon; it is applied once"),
  /** A peer frame or request had an authentication tag that does not match the shared secret. */
  UNAUTHENTICATED(401, "unauthenticated", "use the deployment's secret file (--secret-file)"),
  /** An order had an older fencing token than the latest one that the receiver has accepted. */
  STALE_FENCING_TOKEN(
      409, "stale_fencing_token", "re-read the current term from the control role and resend"),
  /** The daemon is shutting down and accepts no new requests; the request was not run. */
  SHUTTING_DOWN(503, "shutting_down", "send the request to another entry from GET /v1/entries");

  private final int httpStatus;
  private final String code;
  private final String remedy;

  ErrorKind(int httpStatus, String code, String remedy) {
    this.httpStatus = httpStatus;
    this.code = code;
    this.remedy = remedy;
  }

  /** Returns the HTTP status code of this kind. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the stable code that callers receive in the error body. */
  public String code() {
    return code;
  }

  /** Returns what the caller or operator should do about the failure. */
  public String remedy() {
    return remedy;
  }

  /** Returns whether the kind guarantees that no endpoint received the request. */
  public boolean guaranteesNotRun() {
    return this != OUTCOME_UNKNOWN && this != CHANGE_UNKNOWN;
  }
}
