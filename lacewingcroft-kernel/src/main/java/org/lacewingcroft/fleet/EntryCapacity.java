package org.lacewingcroft.fleet;

/**
 * The resources of the machine that an entry runs on, as its settings state them.
 *
 * @param cores processor cores, which may be a fraction of one
 * @param linkBytesPerSecond capacity of its network link in each direction
 * @param memoryBytes memory that its process may use
 * @param fileDescriptors file descriptors that its process may have open
 */
public record EntryCapacity(
    double cores, long linkBytesPerSecond, long memoryBytes, int fileDescriptors) {}
