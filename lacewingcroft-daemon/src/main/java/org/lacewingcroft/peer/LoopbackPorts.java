package org.lacewingcroft.peer;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free ports for a program that starts a whole deployment on this machine and needs the
 * addresses before anything listens on them.
 *
 * <p>The ports are below the ephemeral range, from which the kernel assigns ports to outgoing
 * connections. A port obtained by binding port 0 and releasing it is in that range, so an outgoing
 * connection may take it before its listener does.
 */
public final class LoopbackPorts {
  /** The lowest port allocated, above most ports that are registered for well-known services. */
  static final int MIN_PORT = 20_000;

  /** One above the highest port allocated: the ephemeral range starts at 32768 on Linux. */
  static final int MAX_PORT_EXCLUSIVE = 32_000;

  private static final int MAX_ATTEMPTS = 1_000;
  private static final Set<Integer> ALLOCATED = new HashSet<>();

  private LoopbackPorts() {}

  /**
   * Returns a port that is free on every local address. It is not returned again in this process.
   *
   * @throws IOException if no free port is found
   */
  public static int allocatePort() throws IOException {
    return allocateConsecutivePorts(1);
  }

  /**
   * Returns the first of a range of consecutive ports that are free on every local address. None of
   * them is returned again in this process.
   *
   * @param count the number of ports
   * @throws IOException if no such range is found
   */
  public static synchronized int allocateConsecutivePorts(int count) throws IOException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT_EXCLUSIVE - count + 1);
      if (areFree(first, count)) {
        for (int port = first; port < first + count; port++) {
          ALLOCATED.add(port);
        }
        return first;
      }
    }
    throw new BindException(
        "no "
            + count
            + " consecutive ports are free from "
            + MIN_PORT
            + " to "
            + (MAX_PORT_EXCLUSIVE - 1));
  }

  private static boolean areFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      if (ALLOCATED.contains(port) || !isFree(port)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
