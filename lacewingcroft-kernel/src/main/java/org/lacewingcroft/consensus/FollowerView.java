package org.lacewingcroft.consensus;

/**
 * What a leader knows of one instance it replicates to; input of {@link GroupPolicy}.
 *
 * @param id the instance's id
 * @param silentMillis how long ago it answered last
 * @param caughtUp whether it holds the log up to the leader's commit index
 * @param voter whether its data folder is registered, so that it may become a member
 */
public record FollowerView(String id, long silentMillis, boolean caughtUp, boolean voter) {}
