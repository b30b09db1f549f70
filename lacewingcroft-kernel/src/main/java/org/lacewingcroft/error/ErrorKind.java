package org.lacewingcroft.error;

/**
 * The kinds of failure the gateway reports to callers, operators and peers.
 *
 * <p>Each kind carries the HTTP status it maps to, a stable machine-readable code and the remedy
 * that a caller or operator should apply. Whether a request was run is part of the kind: {@link
 * #NOT_RUN} and the input errors promise that no endpoint received the request, while {@link
 * #OUTCOME_UNKNOWN} says an endpoint may have run it.
 */
public enum ErrorKind {
  /** The request body or a header could not be parsed. */
  MALFORMED_REQUEST(400, "malformed_request", "send a JSON body that matches the documented shape"),
  /** The request names a model that no selector or endpoint serves. */
  UNKNOWN_MODEL(404, "unknown_model", "use a model listed by 'lacewingcroft endpoints'"),
  /** The daemon serves nothing at the path. */
  UNKNOWN_PATH(404, "unknown_path", "use a path of docs/OPERATIONS.md, such as GET /v1/models"),
  /** The residency names no region known to this deployment. */
  UNKNOWN_REGION(400, "unknown_region", "name regions listed by GET /v1/entries"),
  /** The request body is larger than the configured bound. */
  PAYLOAD_TOO_LARGE(413, "payload_too_large", "shorten the prompt or raise --max-body-bytes"),
  /** No endpoint may serve the request inside its residency; it was not run. */
  NOT_RUN(503, "not_run", "retry after the Retry-After delay; the request was not run"),
  /** The request reached an endpoint and its outcome is not known. */
  OUTCOME_UNKNOWN(
      502,
      "outcome_unknown",
      "resend with the same Idempotency-Key to learn the outcome; do not send a new key"),
  /** A request with the same idempotency key is running now; this resend was not run. */
  IN_PROGRESS(
      409, "in_progress", "resend with the same Idempotency-Key after the Retry-After delay"),
  /** Several endpoints broke off while they ran the same content; it was not run again. */
  CONTENT_QUARANTINED(
      503,
      "content_quarantined",
      "do not resend this content before the Retry-After delay; the request was not run"),
  /** An operator named a content that is not quarantined. */
  NOT_QUARANTINED(
      404,
      "not_quarantined",
      "name a fingerprint listed by 'lacewingcroft quarantine --server URL'"),
  /** The organisation sent more requests than its admission limit allows; it was not run. */
  RATE_LIMITED(429, "rate_limited", "slow down and retry after the Retry-After delay"),
  /** A configuration change was based on an older version than the one in force. */
  VERSION_CONFLICT(409, "version_conflict", "fetch the current version and rebase the change"),
  /** A configuration document has an unknown key or a bad value. */
  INVALID_CONFIGURATION(
      422, "invalid_configuration", "fix the named key; see docs/OPERATIONS.md#selectors"),
  /** The control role cannot reach a quorum; the change was not accepted. */
  NO_QUORUM(503, "no_quorum", "retry later; the change was not accepted"),
  /** No quorum confirmed the change in time; it may or may not be accepted. */
  CHANGE_UNKNOWN(
      504,
      "change_unknown",
      "resend the change with the same X-Change-Id to any control daemon; it is applied once"),
  /** A peer frame or request carried a wrong shared-secret tag. */
  UNAUTHENTICATED(401, "unauthenticated", "use the deployment's secret file (--secret-file)"),
  /** An order carried a fencing token older than the one the receiver has seen. */
  STALE_FENCING_TOKEN(
      409, "stale_fencing_token", "re-read the current term from the control role and resend"),
  /** The daemon is shutting down and takes no new work; it was not run. */
  SHUTTING_DOWN(503, "shutting_down", "send the request to another entry from GET /v1/entries");

  private final int httpStatus;
  private final String code;
  private final String remedy;

  ErrorKind(int httpStatus, String code, String remedy) {
    this.httpStatus = httpStatus;
    this.code = code;
    this.remedy = remedy;
  }

  /** Returns the HTTP status code this kind maps to. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the stable code sent to callers in the error body. */
  public String code() {
    return code;
  }

  /** Returns what the caller or operator should do about it. */
  public String remedy() {
    return remedy;
  }

  /** Returns true when the kind guarantees that no endpoint received the request. */
  public boolean guaranteesNotRun() {
    return this != OUTCOME_UNKNOWN && this != CHANGE_UNKNOWN;
  }
}
