package org.lacewingcroft.consensus;

/**
 * A leader's view of one instance that it replicates to; input of {@link GroupPolicy}.
 *
 * @param id the instance's id
 * @param sinceResponseMillis time since its last response, in milliseconds
 * @param caughtUp whether its log matches the leader's up to the commit index
 * @param voter whether its data folder is registered, so that it may become a member
 */
public record FollowerView(String id, long sinceResponseMillis, boolean caughtUp, boolean voter) {}
