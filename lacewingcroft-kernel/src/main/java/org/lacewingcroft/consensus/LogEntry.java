package org.lacewingcroft.consensus;

/**
 * One entry of the replicated configuration log.
 *
 * @param index position in the log, from 1 without gaps
 * @param term the leader's term that appended it
 * @param version the configuration version in force after this entry; only a {@link Command.Change}
 *     raises it, by one
 * @param command what it does
 */
public record LogEntry(long index, long term, long version, Command command) {}
