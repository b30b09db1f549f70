package org.lacewingcroft.consensus;

/**
 * One entry of the replicated configuration log.
 *
 * @param index position in the log, from 1 without gaps
 * @param term the term of the leader that appended it
 * @param version the configuration version after this entry; only a {@link Command.Change} raises
 *     it, by one
 * @param command the command that is applied once the entry is committed
 */
public record LogEntry(long index, long term, long version, Command command) {}
