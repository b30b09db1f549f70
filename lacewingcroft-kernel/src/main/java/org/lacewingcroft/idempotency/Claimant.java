package org.lacewingcroft.idempotency;

/**
 * The run of an entry daemon that claimed a key. A restarted daemon is another claimant: it does
 * not know what became of its predecessor's requests.
 *
 * @param nodeId the daemon
 * @param incarnation the start of its process
 */
public record Claimant(String nodeId, long incarnation) {}
