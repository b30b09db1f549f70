package org.lacewingcroft.consensus;

/**
 * A leader's view of one instance that it replicates to; input of {@link GroupPolicy}.
 *
 * @param id the instance's id
 * @param sinceResponseMillis time since its last response, in milliseconds
 * @param caughtUp whether it stores what the leader had committed a short time ago
 * @param voter whether its data folder is registered, so that it may become a member
 */
public record FollowerView(String id, long sinceResponseMillis, boolean caughtUp, boolean voter) {}
