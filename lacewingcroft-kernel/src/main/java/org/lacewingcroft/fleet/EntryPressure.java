package org.lacewingcroft.fleet;

/**
 * How much of an entry's capacity is in use, averaged over about one second. Shares are between 0
 * and 1.
 *
 * @param eventLoop share of the time that the event loop is busy
 * @param link share of the network link, of the busier direction
 * @param fileDescriptors share of the file descriptors
 * @param inFlight number of requests in flight
 */
public record EntryPressure(double eventLoop, double link, double fileDescriptors, int inFlight) {}
