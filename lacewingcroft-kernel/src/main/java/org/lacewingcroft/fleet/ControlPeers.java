package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The control instances that one control instance has learned of from hello messages ({@link
 * FleetMessage.ControlHello}), on its own or from others.
 *
 * <p>The settings of an instance contain the addresses of the seeds only. A hello contains the
 * instances that are known to its sender, and its receiver sends a hello to each of them. An
 * instance counts as known only once its own hello has arrived; if addresses received from others
 * were forwarded, an instance that has been removed would never expire.
 *
 * <p>Not thread-safe: confined to the control instance's event loop thread.
 */
public final class ControlPeers {
  private final String self;
  private final Duration retention;
  private final Map<String, Instant> lastHelloAt = new HashMap<>();
  private final Map<String, Instant> lastNamedAt = new HashMap<>();

  /**
   * Creates a tracker that knows no instance yet.
   *
   * @param self the peer address of this instance
   * @param retention time after which an instance that sends no hello, or is no longer named by
   *     others, is forgotten
   */
  public ControlPeers(String self, Duration retention) {
    this.self = self;
    this.retention = retention;
  }

  /**
   * Records a hello message.
   *
   * @param from the peer address of its sender
   * @param named the peer addresses of the instances that it names
   * @return the instances learned of with this message, which should be sent a hello at once
   */
  public Set<String> onHello(String from, Collection<String> named, Instant now) {
    Set<String> learned = new TreeSet<>();
    if (!contacted().contains(from)) {
      learned.add(from);
    }
    lastHelloAt.put(from, now);
    for (String address : named) {
      if (!address.equals(self)) {
        if (!contacted().contains(address)) {
          learned.add(address);
        }
        lastNamedAt.put(address, now);
      }
    }
    return learned;
  }

  /** Removes the instances whose retention time has elapsed. */
  public void expire(Instant now) {
    lastHelloAt.values().removeIf(at -> at.plus(retention).isBefore(now));
    lastNamedAt.values().removeIf(at -> at.plus(retention).isBefore(now));
  }

  /** Returns the instances that have sent a hello themselves. */
  public Set<String> known() {
    return new TreeSet<>(lastHelloAt.keySet());
  }

  /** Returns the instances to send hello messages to: those known and those named by others. */
  public Set<String> contacted() {
    Set<String> contacted = known();
    contacted.addAll(lastNamedAt.keySet());
    return contacted;
  }
}
