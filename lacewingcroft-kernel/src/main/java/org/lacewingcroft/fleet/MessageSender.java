package org.lacewingcroft.fleet;

import java.util.Collection;

/** Sends messages to peers without waiting for an acknowledgement; a message may be lost. */
@FunctionalInterface
public interface MessageSender {
  /**
   * Sends a message to several peers.
   *
   * @param peerAddresses their peer addresses
   */
  void sendAll(Collection<String> peerAddresses, FleetMessage message);
}
