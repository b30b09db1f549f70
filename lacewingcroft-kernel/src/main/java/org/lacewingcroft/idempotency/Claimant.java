package org.lacewingcroft.idempotency;

/**
 * The process of an entry daemon that claimed an idempotency key. A restarted daemon is a different
 * claimant, because it has no record of the outcome of its previous requests.
 *
 * @param nodeId the node id of the daemon
 * @param incarnation the start time of its process, in milliseconds
 */
public record Claimant(String nodeId, long incarnation) {}
